package upstream

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of kept connections.
const (
	// maxIdlePerEndpoint is the number of idle connections kept for one endpoint.
	maxIdlePerEndpoint = 16
	// defaultIdleTimeout is used where an endpoint does not say how long it keeps
	// idle connections.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the endpoint's own limit a connection is
	// given up, so that a request does not cross its end.
	idleMargin      = 700 * time.Millisecond
	readBufferBytes = 4 << 10
)

// Dialer opens a connection to addr, an ip:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool keeps connections to endpoints.
type Pool struct {
	idHeader string // in which endpoints repeat a request's id
	dial     Dialer
	onDial   func()

	mu   sync.Mutex
	idle map[string][]*conn // by address, the newest last
}

// NewPool returns a Pool. Endpoints repeat a request's id in the header
// idHeader. onDial is called for each new connection. A nil dial means TCP.
func NewPool(idHeader string, dial Dialer, onDial func()) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{idHeader: idHeader, dial: dial, onDial: onDial, idle: make(map[string][]*conn)}
}

// DialTCP connects such that a peer that went silent is noticed soon.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", addr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// get returns a kept connection that is still sound, or a new one.
func (p *Pool) get(ctx context.Context, addr string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if now.Before(c.expires) && isAlive(c.Conn) {
			return c, nil
		}
		c.close()
	}
	return p.connect(ctx, addr)
}

func (p *Pool) connect(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	p.onDial()
	c := &conn{Conn: raw, addr: addr}
	c.reader = bufio.NewReaderSize(c, readBufferBytes)
	return c, nil
}

// Reachable reports whether the endpoint at addr still takes connections. The
// one that it takes is kept for the next request.
func (p *Pool) Reachable(ctx context.Context, addr string) bool {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return false
	}
	p.put(c, defaultIdleTimeout-idleMargin)
	return true
}

func (p *Pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[addr]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[addr] = kept[:len(kept)-1]
	return c
}

// put keeps a connection for at most idle.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 {
		c.close()
		return
	}
	if err := c.SetDeadline(time.Time{}); err != nil {
		c.close()
		return
	}
	c.expires = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[c.addr]
	if len(kept) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[c.addr] = append(kept, c)
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	kept := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range kept {
		c.close()
	}
}

// Prune closes idle connections to addresses that keep does not want, and
// those that are too old.
func (p *Pool) Prune(keep func(addr string) bool) {
	now := time.Now()
	var ended []*conn
	p.mu.Lock()
	for addr, kept := range p.idle {
		var left []*conn
		for _, c := range kept {
			if keep(addr) && now.Before(c.expires) {
				left = append(left, c)
			} else {
				ended = append(ended, c)
			}
		}
		if len(left) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = left
		}
	}
	p.mu.Unlock()
	for _, c := range ended {
		c.close()
	}
}

// isAlive reports whether an idle connection is open and has nothing to read.
// Anything to read would be an end or bytes that belong to no request.
func isAlive(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	sound := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		sound = err == unix.EAGAIN
		return true
	})
	return err == nil && sound
}

// keepAliveTimeout returns how long the sender of h keeps the connection, less a
// margin.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return 0
		}
		return time.Duration(seconds)*time.Second - idleMargin
	}
	return defaultIdleTimeout - idleMargin
}
