package upstream

import (
	"bufio"
	"context"
	"hash/maphash"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Limits of idle connections.
const (
	// maxIdlePerEndpoint is the maximum number of idle connections to one endpoint.
	maxIdlePerEndpoint = 16
	// defaultIdleTimeout is assumed if an endpoint does not send its idle timeout.
	defaultIdleTimeout = 10 * time.Second
	// idleMargin is how long before the endpoint's own timeout an idle connection
	// is closed, so that no request is sent while the endpoint closes it.
	idleMargin      = 700 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxRequestsPerConn bounds the memory for the IDs that a connection has carried.
	maxRequestsPerConn = 1024
)

// Dialer opens a connection to addr, which has the form ip:port.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// Pool is a pool of connections to endpoints. It is safe for concurrent use.
type Pool struct {
	idHeader string // header in which endpoints echo the ID of a request
	seed     maphash.Seed
	dial     Dialer
	onDial   func()

	// OnStray, if set before the first request, is called for each stray response.
	OnStray func(Stray)

	mu   sync.Mutex
	idle map[string][]*conn // by address, the most recently used last
}

// NewPool returns a Pool. Endpoints echo the ID of a request in the header
// idHeader. onDial is called for each new connection. A nil dial means DialTCP.
func NewPool(idHeader string, dial Dialer, onDial func()) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{idHeader: idHeader, seed: maphash.MakeSeed(), dial: dial, onDial: onDial, idle: make(map[string][]*conn)}
}

// DialTCP opens a TCP connection with short keep-alive and user timeouts, so that an
// unresponsive endpoint is detected within a few seconds.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2},
		Control:         setUserTimeout,
	}
	return d.DialContext(ctx, "tcp", addr)
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// get returns an idle connection to addr that is still alive and hasn't carried the request id,
// or a new one. An ID alone doesn't tell the responses to two sendings of one request apart.
func (p *Pool) get(ctx context.Context, addr, id string) (*conn, error) {
	now := time.Now()
	for {
		c := p.pop(addr, p.hash(id))
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

// Reachable reports whether the endpoint at addr accepts connections. The connection
// is added to the pool.
func (p *Pool) Reachable(ctx context.Context, addr string) bool {
	c, err := p.connect(ctx, addr)
	if err != nil {
		return false
	}
	p.putBack(c)
	return true
}

// putBack adds a connection that was not used since get to the pool.
func (p *Pool) putBack(c *conn) {
	idle := defaultIdleTimeout - idleMargin
	if !c.expires.IsZero() {
		idle = time.Until(c.expires)
	}
	p.put(c, idle)
}

func (p *Pool) hash(id string) uint64 { return maphash.String(p.seed, id) }

// pop removes the most recently used idle connection to addr that hasn't carried the request
// with the given hash of its ID. It returns nil if there is none.
func (p *Pool) pop(addr string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[addr]
	for i := len(conns) - 1; i >= 0; i-- {
		if c := conns[i]; !slices.Contains(c.carried, id) {
			p.idle[addr] = slices.Delete(conns, i, i+1)
			return c
		}
	}
	return nil
}

// recordSent records that a request is sent on c.
func (p *Pool) recordSent(c *conn, id string) {
	c.requests++
	c.carried = append(c.carried, p.hash(id))
}

// put adds a connection to the pool, for at most idle. It closes the connection if
// idle is not positive, the pool is full or the connection has carried maxRequestsPerConn.
func (p *Pool) put(c *conn, idle time.Duration) {
	if idle <= 0 || c.requests >= maxRequestsPerConn {
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
	conns := p.idle[c.addr]
	if len(conns) >= maxIdlePerEndpoint {
		c.close()
		return
	}
	p.idle[c.addr] = append(conns, c)
}

// CloseIdle closes the idle connections to addr.
func (p *Pool) CloseIdle(addr string) {
	p.mu.Lock()
	conns := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range conns {
		c.close()
	}
}

// Prune closes idle connections that have expired and those to addresses for which
// keep returns false.
func (p *Pool) Prune(keep func(addr string) bool) {
	now := time.Now()
	var closing []*conn
	p.mu.Lock()
	for addr, conns := range p.idle {
		var remaining []*conn
		for _, c := range conns {
			if keep(addr) && now.Before(c.expires) {
				remaining = append(remaining, c)
			} else {
				closing = append(closing, c)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, addr)
		} else {
			p.idle[addr] = remaining
		}
	}
	p.mu.Unlock()
	for _, c := range closing {
		c.close()
	}
}

// isAlive reports whether an idle connection is open and has nothing to read.
// Anything to read would be the end of the stream or bytes that belong to no request.
func isAlive(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		alive = err == unix.EAGAIN
		return true
	})
	return err == nil && alive
}

// keepAliveTimeout returns the idle timeout that the sender of h announces, or else
// defaultIdleTimeout, minus idleMargin. It returns 0 if the timeout is malformed.
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
