package peer

import (
	"reflect"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownMethod stands for methods that only the other end names, so that it
// can't add series.
const unknownMethod = "unknown"

// Metrics counts the bytes of calls by method, as encoded: what TLS, TCP and
// IP add is not in them. A nil Metrics counts nothing.
type Metrics struct {
	sent     *prometheus.CounterVec
	received *prometheus.CounterVec
}

// NewMetrics returns Metrics registered with reg.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	labels := []string{"method", "side"}
	m := &Metrics{
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_peer_sent_bytes_total",
			Help: "Bytes of messages sent to peers, by method and by whether this process called or served.",
		}, labels),
		received: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_peer_received_bytes_total",
			Help: "Bytes of messages received from peers, by method and by whether this process called or served.",
		}, labels),
	}
	reg.MustRegister(m.sent, m.received)
	return m
}

// side is the end of a connection that a process is.
type side string

const (
	caller side = "caller"
	server side = "server"
)

// meter counts the bytes of the connections of one end.
type meter struct {
	*Metrics
	side  side
	mu    sync.RWMutex
	known map[string]struct{} // methods that were registered or called here
}

func newMeter(s side) *meter { return &meter{side: s, known: make(map[string]struct{})} }

// know allows a method as a label.
func (m *meter) know(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.known[method] = struct{}{}
}

func (m *meter) knows(method string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.known[method]
	return ok
}

// label returns method, or a common label for those that only the other end
// names.
func (m *meter) label(method string) string {
	if m.knows(method) {
		return method
	}
	return unknownMethod
}

func (m *meter) wrote(method string, n int) {
	if m.Metrics != nil {
		m.sent.WithLabelValues(m.label(method), string(m.side)).Add(float64(n))
	}
}

func (m *meter) read(method string, n int) {
	if m.Metrics != nil {
		m.received.WithLabelValues(m.label(method), string(m.side)).Add(float64(n))
	}
}

// methodsOf returns the methods that net/rpc may serve of a service.
func methodsOf(name string, service any) []string {
	t := reflect.TypeOf(service)
	var out []string
	for i := range t.NumMethod() {
		out = append(out, name+"."+t.Method(i).Name)
	}
	return out
}
