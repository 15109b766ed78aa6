package ingress

import (
	"bytes"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// logInterval is the minimum time between two log lines of a Guard about connections that it
// has closed.
const logInterval = time.Second

// Guard enforces the limits of one listener. It is safe for concurrent use.
type Guard struct {
	name    string
	log     zerolog.Logger
	metrics *listenerMetrics
	// headBytes returns the maximum size of the head of a request; nil: the connections carry no
	// heads.
	headBytes func() int64
	refusal   []byte // response to a request that is refused for ReasonMemory; nil: none

	mu      sync.Mutex
	ledger  *ledger
	closed  map[Reason]int // connections closed since the last log line
	nextLog time.Time
}

// Reason says why a connection was closed. Its values are label values of
// relay_ingress_closed_total.
type Reason string

const (
	// ReasonConns means that there were too many connections.
	ReasonConns Reason = "connections"
	// ReasonMemory means that the requests that are received or served held too much memory.
	ReasonMemory Reason = "memory"
	// ReasonHead means that the head of a request was too large.
	ReasonHead Reason = "head"
)

// reasons lists all values of Reason.
var reasons = []Reason{ReasonConns, ReasonMemory, ReasonHead}

// readAheadBytes is the size of net/http's buffer: so many bytes of the body may be read
// together with the end of a head.
const readAheadBytes = 4 << 10

// newGuard returns a Guard with the limits l for the named listener.
func newGuard(name string, l Limits, log zerolog.Logger, m *metrics) *Guard {
	return &Guard{name: name, log: log, metrics: m.of(name), ledger: newLedger(l), closed: make(map[Reason]int)}
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
	g.metrics.conns.Set(float64(g.ledger.conns))
}

// enter records that the other side of c was heard of or answered, and what c waits for now.
// It returns false if c was refused.
func (g *Guard) enter(c *Conn, p phase) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !c.holder.admitted() {
		return false
	}
	g.ledger.enter(&c.holder, p, time.Now())
	return true
}

// beginWrite records that the other side of c, whose request is served, is to take a part of the
// response.
func (g *Guard) beginWrite(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.holder.phase == phaseServing || c.holder.phase == phaseWriting {
		g.ledger.enter(&c.holder, phaseWriting, time.Now())
	}
}

// endWrite records that the other side of c has taken that part, or that the write has failed.
func (g *Guard) endWrite(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.holder.phase == phaseWriting {
		g.ledger.enter(&c.holder, phaseServing, time.Now())
	}
}

// receive records that b was read of the head of a request, or of a message without one. It
// returns the reason for which c is refused, if it is.
func (g *Guard) receive(c *Conn, b []byte) (Reason, bool) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	switch c.holder.phase {
	case phaseNone, phaseClosing:
		return ReasonMemory, false
	case phaseServing:
		return "", true // net/http has read a byte ahead
	}
	g.ledger.enter(&c.holder, phaseReceiving, now)
	c.holder.head += int64(len(b))
	cost := copies * int64(len(b))
	if g.headBytes != nil {
		if c.holder.head > g.headBytes()+readAheadBytes {
			g.refuse(c, ReasonHead, now)
			return ReasonHead, false
		}
		cost += lineBytes * int64(bytes.Count(b, []byte{'\n'}))
	}
	c.holder.headMemory += cost
	return ReasonMemory, g.reserve(c, cost, now)
}

// reserveBody charges n more bytes to the request of c, which a handler serves. It fails with
// errRefused if the request is refused, and with a *http.MaxBytesError if it could not be served
// beside no others either.
func (g *Guard) reserveBody(c *Conn, n int64, now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if most := g.ledger.limits.large(); c.holder.bytes+n > most {
		return &http.MaxBytesError{Limit: most}
	}
	if !c.holder.admitted() || !g.reserve(c, n, now) {
		return errRefused
	}
	return nil
}

// reserve charges n more bytes to the request of c, or refuses it. Other requests may give way.
func (g *Guard) reserve(c *Conn, n int64, now time.Time) bool {
	evicted, ok := g.ledger.reserve(&c.holder, n, now)
	for _, h := range evicted {
		if h.phase == phaseNone {
			_ = h.conn.Conn.Close() // its write fails, which is all that is left to do
		} else {
			h.conn.interrupt()
		}
		g.record(ReasonMemory, now)
	}
	if !ok {
		g.refuse(c, ReasonMemory, now)
	}
	g.metrics.bytes.Set(float64(g.ledger.bytes))
	return ok
}

// refuse refuses the request of c, which its reader has to tell the other side.
func (g *Guard) refuse(c *Conn, r Reason, now time.Time) {
	g.ledger.refuse(&c.holder)
	c.refused.Store(true)
	g.record(r, now)
}

// release removes c.
func (g *Guard) release(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ledger.remove(&c.holder)
	g.metrics.conns.Set(float64(g.ledger.conns))
	g.metrics.bytes.Set(float64(g.ledger.bytes))
}

// record counts a connection that is closed for r, and logs how many were at most once in
// logInterval.
func (g *Guard) record(r Reason, now time.Time) {
	g.metrics.closed[r].Inc()
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
