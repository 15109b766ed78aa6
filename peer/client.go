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

// DialTimeout bounds the time that connecting to a peer may take.
const DialTimeout = 500 * time.Millisecond

// MaxConnections is the number of connections kept; an idle one is closed when
// more are needed.
const MaxConnections = 256

// MaxConsecutiveTimeouts is the number of calls in a row that may time out before a
// connection is given up.
const MaxConsecutiveTimeouts = 8

// Dialer opens a connection to a peer's RPC address.
type Dialer func(ctx context.Context, addr string) (net.Conn, error)

// DialTCP is the Dialer of production.
func DialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: DialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// Pool keeps one connection to each peer that was called.
type Pool struct {
	dial    Dialer
	meter   *meter
	mu      sync.Mutex
	clients map[string]*client
}

// client is one connection.
type client struct {
	*rpc.Client
	timeouts atomic.Int32 // calls that timed out since the last answer
}

// NewPool returns an empty pool. A nil dial means DialTCP.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, meter: newMeter(caller), clients: make(map[string]*client)}
}

// SetMetrics has the bytes of all calls counted in m. It must be called before the
// first call.
func (p *Pool) SetMetrics(m *Metrics) { p.meter.Metrics = m }

// Call calls method at addr and fills reply, a pointer. An Unreachable error
// means that the peer may or may not have run the call; any other error is the
// method's own answer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	c, err := p.client(ctx, addr)
	if err != nil {
		return Unreachable.Wrap(err, "dial %s", addr)
	}
	// An answer after the timeout goes into a value that nobody reads.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	call := c.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		if c.timeouts.Add(1) >= MaxConsecutiveTimeouts {
			p.drop(addr, c)
		}
		return Unreachable.Wrap(ctx.Err(), "call %s at %s", method, addr)
	}
	var refused rpc.ServerError
	if call.Error != nil && !errors.As(call.Error, &refused) {
		p.drop(addr, c)
		return Unreachable.Wrap(call.Error, "call %s at %s", method, addr)
	}
	c.timeouts.Store(0)
	reflect.ValueOf(reply).Elem().Set(answer.Elem())
	return call.Error
}

func (p *Pool) client(ctx context.Context, addr string) (*client, error) {
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

// evict makes room for one more connection. The caller holds the lock.
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

func (p *Pool) drop(addr string, c *client) {
	p.mu.Lock()
	if p.clients[addr] == c {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = c.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, c := range p.clients {
		delete(p.clients, addr)
		_ = c.Close()
	}
}
