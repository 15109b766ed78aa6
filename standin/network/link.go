package network

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"
)

// gate is the state of the way between two zones.
type gate struct {
	mu   sync.Mutex
	open chan struct{} // closed while the zones are joined
	cut  bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

// set cuts the way, or joins it again.
func (g *gate) set(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.cut == cut {
		return
	}
	g.cut = cut
	if cut {
		g.open = make(chan struct{})
		return
	}
	close(g.open)
}

// joined returns a channel that is closed while, or once, the way is open.
func (g *gate) joined() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

// isOpen says whether the way is open.
func (g *gate) isOpen() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut
}

// gatedConn is one end of a connection through a gate.
type gatedConn struct {
	net.Conn
	gate     *gate
	closed   chan struct{}
	once     sync.Once
	deadline deadline // of reads

	mu      sync.Mutex
	pending [][]byte // written while the gate was cut
}

func gated(c net.Conn, g *gate) net.Conn {
	return &gatedConn{Conn: c, gate: g, closed: make(chan struct{})}
}

// Read implements net.Conn. The end of the connection is not seen while the
// gate is cut.
func (c *gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || n > 0 {
		return n, err
	}
	if waitErr := c.wait(&c.deadline); waitErr != nil {
		return 0, waitErr
	}
	return 0, err
}

// Write implements net.Conn. What is written while the gate is cut is kept, as
// the buffers of TCP do, and sent once it is open.
func (c *gatedConn) Write(p []byte) (int, error) {
	if c.keep(p) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// keep keeps p for later if it can't be sent now.
func (c *gatedConn) keep(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil && c.gate.isOpen() {
		return false
	}
	if c.pending == nil {
		go c.flush()
	}
	c.pending = append(c.pending, bytes.Clone(p))
	return true
}

// flush sends what was kept, once the gate is open.
func (c *gatedConn) flush() {
	for {
		if err := c.wait(&deadline{}); err != nil {
			return
		}
		p := c.next()
		if p == nil {
			return
		}
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
		c.sent()
	}
}

// next returns the oldest part that was kept; with none, writes go through.
func (c *gatedConn) next() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.pending = nil
		return nil
	}
	return c.pending[0]
}

// sent drops the oldest part that was kept.
func (c *gatedConn) sent() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = c.pending[1:]
}

// wait returns once the gate is open, the deadline is over or the connection
// is closed at this end.
func (c *gatedConn) wait(d *deadline) error {
	for {
		over, changed, stop := d.timer()
		select {
		case <-c.gate.joined():
			stop()
			return nil
		case <-c.closed:
			stop()
			return net.ErrClosed
		case <-over:
			return os.ErrDeadlineExceeded
		case <-changed:
			stop()
		}
	}
}

// Close implements net.Conn.
func (c *gatedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *gatedConn) SetDeadline(t time.Time) error {
	c.deadline.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *gatedConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return c.Conn.SetReadDeadline(t)
}

// deadline is a time that can change while it is waited for; zero is never.
type deadline struct {
	mu      sync.Mutex
	at      time.Time
	changed chan struct{}
}

func (d *deadline) set(at time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = at
	if d.changed != nil {
		close(d.changed)
		d.changed = nil
	}
}

// timer returns a channel for the deadline, one for its change, and a function
// that frees the timer.
func (d *deadline) timer() (over <-chan time.Time, changed <-chan struct{}, stop func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.changed == nil {
		d.changed = make(chan struct{})
	}
	if d.at.IsZero() {
		return nil, d.changed, func() {}
	}
	left := time.Until(d.at)
	if left <= 0 {
		// No timer: the runtime can't take one of 0 in a synctest bubble under the
		// race detector.
		past := make(chan time.Time)
		close(past)
		return past, d.changed, func() {}
	}
	t := time.NewTimer(left)
	return t.C, d.changed, func() { t.Stop() }
}
