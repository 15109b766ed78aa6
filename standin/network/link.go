package network

import (
	"bytes"
	"net"
	"os"
	"sync"
	"time"
)

// link is the network link between two zones.
type link struct {
	mu   sync.Mutex
	up   chan struct{} // closed while the link is up
	down bool
}

func newLink() *link {
	lk := &link{up: make(chan struct{})}
	close(lk.up)
	return lk
}

// setDown takes the link down, or up again.
func (lk *link) setDown(down bool) {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	if lk.down == down {
		return
	}
	lk.down = down
	if down {
		lk.up = make(chan struct{})
		return
	}
	close(lk.up)
}

// whenUp returns a channel that is closed if the link is up, or as soon as it is.
func (lk *link) whenUp() <-chan struct{} {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return lk.up
}

// isUp reports whether the link is up.
func (lk *link) isUp() bool {
	lk.mu.Lock()
	defer lk.mu.Unlock()
	return !lk.down
}

// linkConn is one end of a connection over a link.
type linkConn struct {
	net.Conn
	link     *link
	closed   chan struct{}
	once     sync.Once
	deadline deadline // of reads

	mu      sync.Mutex
	pending [][]byte // written while the link was down
}

func newLinkConn(c net.Conn, lk *link) net.Conn {
	return &linkConn{Conn: c, link: lk, closed: make(chan struct{})}
}

// Read implements net.Conn. The end of the connection is not reported while the
// link is down.
func (c *linkConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err == nil || n > 0 {
		return n, err
	}
	if waitErr := c.waitUp(&c.deadline); waitErr != nil {
		return 0, waitErr
	}
	return 0, err
}

// Write implements net.Conn. Data written while the link is down is buffered, as TCP
// does, and sent once the link is up.
func (c *linkConn) Write(p []byte) (int, error) {
	if c.buffer(p) {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// buffer buffers p if the link is down or earlier data is still buffered. It
// returns false if p can be written at once.
func (c *linkConn) buffer(p []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == nil && c.link.isUp() {
		return false
	}
	if c.pending == nil {
		go c.flush()
	}
	c.pending = append(c.pending, bytes.Clone(p))
	return true
}

// flush sends the buffered writes once the link is up.
func (c *linkConn) flush() {
	for {
		if err := c.waitUp(&deadline{}); err != nil {
			return
		}
		p := c.nextPending()
		if p == nil {
			return
		}
		if _, err := c.Conn.Write(p); err != nil {
			return
		}
		c.dropPending()
	}
}

// nextPending returns the oldest buffered write. If there is none, it returns nil
// and later writes are no longer buffered.
func (c *linkConn) nextPending() []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pending) == 0 {
		c.pending = nil
		return nil
	}
	return c.pending[0]
}

// dropPending removes the oldest buffered write.
func (c *linkConn) dropPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = c.pending[1:]
}

// waitUp blocks until the link is up. It fails if the deadline expires or the
// connection is closed at this end.
func (c *linkConn) waitUp(d *deadline) error {
	for {
		expired, changed, stop := d.timer()
		select {
		case <-c.link.whenUp():
			stop()
			return nil
		case <-c.closed:
			stop()
			return net.ErrClosed
		case <-expired:
			return os.ErrDeadlineExceeded
		case <-changed:
			stop()
		}
	}
}

// Close implements net.Conn.
func (c *linkConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// SetDeadline implements net.Conn.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.deadline.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.deadline.set(t)
	return c.Conn.SetReadDeadline(t)
}

// deadline is a point in time that can be changed during a wait for it. The zero
// time means no deadline.
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

// timer returns a channel that receives at the deadline, one that is closed when
// the deadline is changed, and a function that stops the timer.
func (d *deadline) timer() (expired <-chan time.Time, changed <-chan struct{}, stop func()) {
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
		// A timer of duration 0 can't be used here: the runtime does not support it in
		// a synctest bubble under the race detector.
		past := make(chan time.Time)
		close(past)
		return past, d.changed, func() {}
	}
	t := time.NewTimer(left)
	return t.C, d.changed, func() { t.Stop() }
}
