package peer

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// DialTimeout bounds the time that connecting to a peer may take.
const DialTimeout = 500 * time.Millisecond

// MaxClients is the number of connections kept; an idle one is closed when
// more are needed.
const MaxClients = 256

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
	mu      sync.Mutex
	clients map[string]*rpc.Client
}

// NewPool returns an empty pool. A nil dial means DialTCP.
func NewPool(dial Dialer) *Pool {
	if dial == nil {
		dial = DialTCP
	}
	return &Pool{dial: dial, clients: make(map[string]*rpc.Client)}
}

// Call calls method at addr and fills reply, a pointer. An Unreachable error
// means that the peer may or may not have run the call; any other error is the
// method's own answer.
func (p *Pool) Call(ctx context.Context, addr, method string, args, reply any) error {
	client, err := p.client(ctx, addr)
	if err != nil {
		return Unreachable.Wrap(err, "dial %s", addr)
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
	case <-ctx.Done():
		// The reply may still arrive: the connection goes, so that it can
		// no longer be written to.
		p.drop(addr, client)
		<-call.Done
		return Unreachable.Wrap(ctx.Err(), "call %s at %s", method, addr)
	}
	var answer rpc.ServerError
	if call.Error == nil || errors.As(call.Error, &answer) {
		return call.Error
	}
	p.drop(addr, client)
	return Unreachable.Wrap(call.Error, "call %s at %s", method, addr)
}

func (p *Pool) client(ctx context.Context, addr string) (*rpc.Client, error) {
	p.mu.Lock()
	client, ok := p.clients[addr]
	p.mu.Unlock()
	if ok {
		return client, nil
	}
	conn, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	fresh := rpc.NewClientWithCodec(clientCodec{newCodec(conn)})
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
	if len(p.clients) < MaxClients {
		return
	}
	for addr, client := range p.clients {
		delete(p.clients, addr)
		_ = client.Close()
		return
	}
}

func (p *Pool) drop(addr string, client *rpc.Client) {
	p.mu.Lock()
	if p.clients[addr] == client {
		delete(p.clients, addr)
	}
	p.mu.Unlock()
	_ = client.Close()
}

// Close ends all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, client := range p.clients {
		delete(p.clients, addr)
		_ = client.Close()
	}
}
