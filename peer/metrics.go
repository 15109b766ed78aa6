package peer

import (
	"reflect"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// unknownMethod is the label of methods that this process neither registered
// nor called, so that a peer can't add series by naming methods.
const unknownMethod = "unknown"

// Metrics counts the bytes of calls by method, as encoded: the overhead of TLS,
// TCP and IP is not included. A nil Metrics counts nothing.
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

// side says whether this process is the caller or the server of a connection.
type side string

const (
	sideCaller side = "caller"
	sideServer side = "server"
)

// meter counts the bytes of all connections of a Pool or a Server.
type meter struct {
	*Metrics
	side    side
	mu      sync.RWMutex
	methods map[string]struct{} // methods that were registered or called here
}

func newMeter(s side) *meter { return &meter{side: s, methods: make(map[string]struct{})} }

// addMethod allows method as a label.
func (m *meter) addMethod(method string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.methods[method] = struct{}{}
}

// hasMethod reports whether method is allowed as a label.
func (m *meter) hasMethod(method string) bool {
	m.mu.RLock()
	defer m.mu.RUnlock()
	_, ok := m.methods[method]
	return ok
}

// label returns method, or unknownMethod if this process neither registered nor
// called it.
func (m *meter) label(method string) string {
	if m.hasMethod(method) {
		return method
	}
	return unknownMethod
}

// recordSent counts n bytes of a message sent.
func (m *meter) recordSent(method string, n int) {
	if m.Metrics != nil {
		m.sent.WithLabelValues(m.label(method), string(m.side)).Add(float64(n))
	}
}

// recordReceived counts n bytes of a message received.
func (m *meter) recordReceived(method string, n int) {
	if m.Metrics != nil {
		m.received.WithLabelValues(m.label(method), string(m.side)).Add(float64(n))
	}
}

// methodsOf returns the full names of all exported methods of a service, which
// include those that net/rpc serves.
func methodsOf(name string, service any) []string {
	t := reflect.TypeOf(service)
	var out []string
	for i := range t.NumMethod() {
		out = append(out, name+"."+t.Method(i).Name)
	}
	return out
}
