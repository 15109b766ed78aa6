package ingress

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	guard  *Guard
	holder holder // guarded by guard.mu

	// inHead is set while what is read belongs to the head of a request, or to a message, and
	// nothing of the response has been written.
	inHead   atomic.Bool
	secure   bool        // TLS lies above: no response can be written here
	refused  atomic.Bool // reads fail
	answered atomic.Bool // by respond: writes fail

	closeOnce sync.Once
	lingers   atomic.Bool // the other side is to read what respond has written
}

// errRefused is returned by reads of a connection that was refused, in a net.OpError: servers
// respond to others.
var errRefused = errors.New("refused at a limit of the listener")

// writePieceBytes is the part of a response of which the other side must take something before
// it counts as silent.
const writePieceBytes = 64 << 10

// pastDeadline interrupts reads.
var pastDeadline = time.Unix(1, 0)

// Lingering close, so that the other side can read a refusal while it still sends.
const (
	refusalTimeout = 100 * time.Millisecond // for writing it
	lingerTimeout  = 500 * time.Millisecond
	lingerBytes    = 256 << 10
)

// Read implements net.Conn.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	reason, ok := ReasonMemory, !c.refused.Load()
	if ok && n > 0 && c.inHead.Load() {
		reason, ok = c.guard.receive(c, b[:n])
	}
	if ok {
		return n, err
	}
	c.respond(reason)
	return 0, &net.OpError{Op: "read", Net: c.RemoteAddr().Network(), Addr: c.RemoteAddr(), Err: errRefused}
}

// Write implements net.Conn. The connection may give way to others while the other side takes
// nothing. It fails once respond has written a response, as servers may take a head that breaks
// off for a malformed one.
func (c *Conn) Write(b []byte) (int, error) {
	if c.answered.Load() {
		return 0, &net.OpError{Op: "write", Net: c.RemoteAddr().Network(), Addr: c.RemoteAddr(), Err: errRefused}
	}
	defer c.guard.endWrite(c)
	written := 0
	for {
		c.guard.beginWrite(c)
		n, err := c.Conn.Write(b[written:min(len(b), written+writePieceBytes)])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// respond tells the other side why its request is refused, unless a handler serves it.
func (c *Conn) respond(r Reason) {
	if !c.inHead.CompareAndSwap(true, false) {
		return
	}
	c.answered.Store(true)
	response := c.guard.refusal
	if r == ReasonHead {
		response = headTooLarge
	}
	if c.secure || response == nil {
		return
	}
	// Errors mean that the connection is closed.
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
	_, _ = c.Conn.Write(response)
	c.lingers.Store(true)
}

// interrupt makes reads fail.
func (c *Conn) interrupt() {
	c.refused.Store(true)
	_ = c.Conn.SetReadDeadline(pastDeadline) // fails only on a closed connection
}

// SetReadDeadline implements net.Conn. It does not put off an interruption.
func (c *Conn) SetReadDeadline(t time.Time) error {
	err := c.Conn.SetReadDeadline(t)
	if c.refused.Load() {
		return c.Conn.SetReadDeadline(pastDeadline)
	}
	return err
}

// SetDeadline implements net.Conn. It does not put off an interruption.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.Conn.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	var err error
	c.closeOnce.Do(func() {
		if c.lingers.Load() {
			go c.linger()
			return
		}
		c.guard.release(c)
		err = c.Conn.Close()
	})
	return err
}

// linger closes the connection once the other side has closed it, or after lingerTimeout.
func (c *Conn) linger() {
	// Errors mean that the connection is closed.
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
	c.guard.release(c)
	_ = c.Conn.Close()
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
