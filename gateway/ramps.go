package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/placement"
)

// enableRamps lets endpoints that start or recover begin with few concurrent requests. Each
// step is logged and counted.
func (g *Gateway) enableRamps() {
	steps := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_endpoint_ramp_steps_total",
		Help: "Steps of the ramps of endpoints that have started or recovered, by event and reason.",
	}, []string{"event", "reason"})
	g.Registry.MustRegister(steps)
	steps.WithLabelValues(string(placement.RampBegun), placement.RampReasonStarted)
	g.table.EnableRamps(func(c placement.RampChange) {
		steps.WithLabelValues(string(c.Event), c.Reason).Inc()
		g.Log.Info().Str("endpoint", c.Endpoint.ID).Int64("born", c.Endpoint.StartMs).Str("event", string(c.Event)).Str("reason", c.Reason).
			Int("bound", c.Bound).Int("slots", c.Endpoint.Slots).Uint32("round", c.Round).Msg("ramp of an endpoint")
	})
}
