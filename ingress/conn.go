package ingress

import (
	"crypto/tls"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	guard  *Guard
	holder holder      // guarded by guard.mu
	inHead atomic.Bool // what is read belongs to the head of a request
}

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.inHead.Load() {
		c.guard.enter(c, phaseReceiving)
	}
	return n, err
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	if !c.guard.release(c) {
		return nil // closed already
	}
	return c.Conn.Close()
}

// CloseWrite shuts down the writing side. net/http uses it before it closes a connection from
// which it has not read everything, so that the other side can read the response.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connOf returns the Conn beneath c, or nil if there is none.
func connOf(c net.Conn) *Conn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	guarded, _ := c.(*Conn)
	return guarded
}

// Pauses of a Listener after an error that passes, such as a lack of descriptors.
const (
	minAcceptPause = 5 * time.Millisecond
	maxAcceptPause = time.Second
)

// Listener is a net.Listener whose connections a Guard bounds.
type Listener struct {
	net.Listener
	guard *Guard
}

// NewListener returns a Listener that accepts the connections of l.
func NewListener(l net.Listener, g *Guard) *Listener { return &Listener{Listener: l, guard: g} }

// Accept implements net.Listener. It does not return errors that pass.
func (l *Listener) Accept() (net.Conn, error) {
	pause := minAcceptPause
	for {
		raw, err := l.Listener.Accept()
		if err == nil {
			c := &Conn{Conn: raw, guard: l.guard}
			c.holder.conn = c
			c.inHead.Store(true)
			l.guard.admit(c)
			return c, nil
		}
		if !passes(err) {
			return nil, err
		}
		l.guard.log.Error().Err(err).Str("listener", l.guard.name).Dur("pause_ms", pause).Msg("connection could not be accepted")
		time.Sleep(pause)
		pause = min(2*pause, maxAcceptPause)
	}
}

// passes reports whether an error of Accept says nothing of later connections.
func passes(err error) bool {
	for _, e := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}
