package ingress

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of the guards of a process.
type metrics struct {
	conns  *prometheus.GaugeVec
	bytes  *prometheus.GaugeVec
	closed *prometheus.CounterVec
}

// newMetrics returns metrics that are registered with r.
func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		conns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relay_ingress_connections",
			Help: "Open connections by listener.",
		}, []string{"listener"}),
		bytes: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relay_ingress_request_bytes",
			Help: "Estimated memory of the requests that are received or served, by listener.",
		}, []string{"listener"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_ingress_closed_total",
			Help: "Connections closed at a limit, by listener and limit.",
		}, []string{"listener", "limit"}),
	}
	r.MustRegister(m.conns, m.bytes, m.closed)
	return m
}

// listenerMetrics are the metrics of one listener.
type listenerMetrics struct {
	conns, bytes prometheus.Gauge
	closed       map[Reason]prometheus.Counter
}

// of returns the metrics of the named listener.
func (m *metrics) of(listener string) *listenerMetrics {
	l := &listenerMetrics{
		conns:  m.conns.WithLabelValues(listener),
		bytes:  m.bytes.WithLabelValues(listener),
		closed: make(map[Reason]prometheus.Counter),
	}
	for _, r := range reasons {
		l.closed[r] = m.closed.WithLabelValues(listener, string(r))
	}
	return l
}
