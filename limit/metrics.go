package limit

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// How many of a customer's shares answered.
const (
	reachAll  = "all"
	reachSome = "some"
	reachNone = "none"
)

// metrics counts the refusals of one entry.
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
		m.refusals.WithLabelValues(shares) // shown with 0, so that the first increase is seen
	}
	if reg != nil {
		reg.MustRegister(m.refusals)
	}
	return m
}

// refused counts the refusal of the request of g.
func (m *metrics) refused(g *Acquisition, now time.Time) {
	m.refusals.WithLabelValues(g.reach(now)).Inc()
}

// reach says how many of the customer's shares answered.
func (g *Acquisition) reach(now time.Time) string {
	answered := 0
	for _, s := range g.sources {
		if s.asked && !s.failed {
			answered++
		}
	}
	switch {
	case now.Before(g.barred), answered == g.limits.Shares():
		return reachAll // a bar is set only when all had answered
	case answered == 0:
		return reachNone
	}
	return reachSome
}
