package ingress

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"
)

// logInterval is the minimum time between two log lines of a Guard about connections that it
// has closed.
const logInterval = time.Second

// Guard enforces the limits of one listener. It is safe for concurrent use.
type Guard struct {
	name    string
	log     zerolog.Logger
	metrics *Metrics

	mu      sync.Mutex
	ledger  *ledger
	closed  map[Reason]int // connections closed since the last log line
	nextLog time.Time
}

// Reason says why a connection was closed. Its values are label values of
// relay_ingress_closed_total.
type Reason string

// ReasonConns means that there were too many connections.
const ReasonConns Reason = "connections"

// reasons lists all values of Reason.
var reasons = []Reason{ReasonConns}

// NewGuard returns a Guard with the limits l. name is the label value of its listener.
func NewGuard(name string, l Limits, log zerolog.Logger, m *Metrics) *Guard {
	m.add(name)
	return &Guard{name: name, log: log, metrics: m, ledger: newLedger(l), closed: make(map[Reason]int)}
}

// admit records a new connection. It closes the one that gives way to it.
func (g *Guard) admit(c *Conn) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if evicted := g.ledger.add(&c.holder, now); evicted != nil {
		_ = evicted.conn.Conn.Close() // nobody is told, as it is closed in any case
		g.record(ReasonConns, now)
	}
	g.metrics.setConns(g.name, g.ledger.conns)
}

// enter records that the other side of c was heard of or answered, and what c waits for now.
func (g *Guard) enter(c *Conn, p phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.holder.phase != phaseNone {
		g.ledger.enter(&c.holder, p, time.Now())
	}
}

// release removes c, and reports whether its socket is still open.
func (g *Guard) release(c *Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	open := g.ledger.remove(&c.holder)
	g.metrics.setConns(g.name, g.ledger.conns)
	return open
}

// record counts a connection that is closed for r, and logs how many were at most once in
// logInterval.
func (g *Guard) record(r Reason, now time.Time) {
	g.metrics.countClosed(g.name, r)
	g.closed[r]++
	if now.Before(g.nextLog) {
		return
	}
	g.nextLog = now.Add(logInterval)
	event := g.log.Warn().Str("listener", g.name).Int("connections", g.ledger.conns)
	for reason, n := range g.closed {
		event.Int("closed_for_"+string(reason), n)
	}
	clear(g.closed)
	event.Msg("connections closed at a limit")
}

// Metrics are the metrics of the guards of a process.
type Metrics struct {
	conns  *prometheus.GaugeVec
	closed *prometheus.CounterVec
}

// NewMetrics returns Metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		conns: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "relay_ingress_connections",
			Help: "Open connections by listener.",
		}, []string{"listener"}),
		closed: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "relay_ingress_closed_total",
			Help: "Connections closed at a limit, by listener and limit.",
		}, []string{"listener", "limit"}),
	}
	r.MustRegister(m.conns, m.closed)
	return m
}

// add creates the series of a listener.
func (m *Metrics) add(listener string) {
	m.setConns(listener, 0)
	for _, r := range reasons {
		m.closed.WithLabelValues(listener, string(r))
	}
}

func (m *Metrics) setConns(listener string, n int) { m.conns.WithLabelValues(listener).Set(float64(n)) }

func (m *Metrics) countClosed(listener string, r Reason) {
	m.closed.WithLabelValues(listener, string(r)).Inc()
}
