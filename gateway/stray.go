package gateway

import (
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/upstream"
)

// strayReporter registers the counter of stray responses and returns a function that counts
// and logs one.
func (g *Gateway) strayReporter() func(upstream.Stray) {
	counter := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "relay_stray_responses_total",
		Help: "Responses of endpoints where that to another request was expected, by kind: other (they name another request) or unnamed.",
	}, []string{"kind"})
	g.Registry.MustRegister(counter)
	for _, kind := range upstream.StrayKinds() {
		counter.WithLabelValues(string(kind))
	}
	return func(s upstream.Stray) {
		counter.WithLabelValues(string(s.Kind)).Inc()
		g.Log.Info().EmbedObject(s).Msg("stray response")
	}
}
