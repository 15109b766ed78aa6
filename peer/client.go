package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"sync/atomic"
	"time"
)

// DialTimeout is the timeout for connecting to a peer.
const DialTimeout = 500 * time.Millisecond

// MaxConnections is the maximum number of connections that a Pool keeps. When
// another one is needed, the Pool closes an arbitrary one.
const MaxConnections = 256

// MaxConsecutiveTimeouts is the number of calls that time out in a row after
// which a connection is closed.
const MaxConsecutiveTimeouts = 8

// Dialer opens a connection to a peer's RPC address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP is the Dialer used in production. It fails after DialTimeout.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Pool keeps one connection to each peer that was called, up to MaxConnections.
// It is safe for concurrent use.
type Pool struct {
	dial    Dialer
	meter   *meter
	mu      sync.Mutex
	clients map[string]*client
}

// client is a connection to one peer.
type client struct {
	*rpc.Client
	timeouts atomic.Int32 // calls that timed out since the last reply
}

// NewPool returns an empty pool. A nil dial means DialTCP.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, meter: newMeter(sideCaller), clients: make(map[string]*client)}
}

// SetMetrics makes the pool count the bytes of all calls in m. It must be called
// before the first call.
func (p *Pool) SetMetrics(m *Metrics) { p.meter.Metrics = m }

// Call calls method at addr and stores its reply in reply, which must be a
// pointer. An Unreachable error means that the peer may or may not have run the
// call; any other error was returned by the method or says that the peer has no
// such method.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.clientFor(ctx, addr)
	if err != nil {
		return Unreachable.Wrap(err, "dial %s", addr)
	}
	// A reply that arrives after ctx has ended must not be written to reply, which
	// then belongs to the caller again.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, received.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if c.timeouts.Add(1) >= MaxConsecutiveTimeouts {
			p.drop(addr, c)
		}
		return Unreachable.Wrap(ctx.Err(), "call %s at %s", method, addr)
	}
	var serverError rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &serverError) {
		p.drop(addr, c)
		return Unreachable.Wrap(call.Error, "call %s at %s", method, addr)
	}
	c.timeouts.Store(0)
	reflect.ValueOf(reply).Elem().Set(received.Elem())
	return call.Error
}

// clientFor returns the connection to addr, and dials addr if there is none.
func (p *Pool) clientFor(ctx context.Context, addr string) (*client, error) {
	p.mu.Lock()
	known, ok := p.clients[addr]
	p.mu.Unlock()
	if ok {
		return known, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	fresh := &client{Client: rpc.NewClientWithCodec(clientCodec{newCodec(conn, p.meter)})}
	p.mu.Lock()
	defer p.mu.Unlock()
	if other, ok := p.clients[addr]; ok {
		_ = fresh.Close()
		return other, nil
	}
	p.evict()
	p.clients[addr] = fresh
	return fresh, nil
}

// evict closes an arbitrary connection if the pool is full. The caller holds p.mu.
func (p *Pool) evict() {
	if len(p.clients) < MaxConnections {
		return
	}
	for addr, c := range p.clients {
		delete(p.clients, addr)
		_ = c.Close()
		return
	}
}

// drop closes c and removes it from the pool if it is still the connection to
// addr.
func (p *Pool) drop(addr string, c *client) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Close closes all connections. Calls in flight fail with Unreachable.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		delete(p.clients, addr)
		_ = c.Close()
	}
}
