package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/pipeline"
	"dandelionrelay/quota"
)

// newRateRefusals registers the counter of requests refused for their customer's rate.
func newRateRefusals(reg prometheus.Registerer) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_rate_refusals_total",
		Help: "Requests refused for their customer's rate. left: level if the bucket had a token, which was kept for unreported admissions; nothing if not.",
	}, []string{"left"})
	reg.MustRegister(c)
	for _, left := range []string{"level", "nothing"} {
		c.WithLabelValues(left)
	}
	return c
}

// rateRefused counts and logs a request that is refused for its customer's rate, with what
// this entry knew. The wait of the decision is the one that the caller is told.
func (g *Gateway) rateRefused(c *pipeline.Call, d quota.Decision) {
	left := "nothing"
	if d.Level >= 1 {
		left = "level"
	}
	g.rateRefusals.WithLabelValues(left).Inc()
	g.Log.Info().Str("request", c.ID).Str("customer", c.Customer).Float64("level", d.Level).Float64("share", d.Share).
		Float64("part", d.Part).Float64("reserve", d.Reserve).Dur("reports_age_ms", d.Age).Dur("token_due_ms", d.Wait).
		Float64("rate", d.Limit.Rate).Float64("burst", d.Limit.Burst).Msg("customer over its rate")
}
