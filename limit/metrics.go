package limit

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Values of the label shares: how many of a customer's shares replied.
const (
	reachAll  = "all"
	reachSome = "some"
	reachNone = "none"
)

// metrics counts the requests that one entry refused.
type metrics struct{ refusals *prometheus.CounterVec }

// newMetrics returns the metrics of a Service, registered with reg unless that
// is nil.
func newMetrics(reg prometheus.Registerer) *metrics {
	m := &metrics{refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_limit_refusals_total",
		Help: "Requests that the limit refused, by how many of the customer's shares answered: " +
			"all, some or none. With some or none the request may have been inside the rate.",
	}, []string{"shares"})}
	for _, shares := range []string{reachAll, reachSome, reachNone} {
		m.refusals.WithLabelValues(shares) // exported as 0, so that the first increase is visible
	}
	if reg != nil {
		reg.MustRegister(m.refusals)
	}
	return m
}

// countRefusal counts the refusal of the request of a.
func (m *metrics) countRefusal(a *Acquisition, now time.Time) {
	m.refusals.WithLabelValues(a.repliedShares(now)).Inc()
}

// repliedShares returns how many of the customer's shares replied, as a
// value of the label shares.
func (a *Acquisition) repliedShares(now time.Time) string {
	replied := 0
	for _, s := range a.sources {
		if s.called && !s.failed {
			replied++
		}
	}
	switch {
	case now.Before(a.exhaustedUntil), replied == a.limits.Shares():
		return reachAll // a customer is marked exhausted only when all its shares replied
	case replied == 0:
		return reachNone
	}
	return reachSome
}
