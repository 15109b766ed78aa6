// Package network is a stand-in for TCP between processes: connections in
// memory that work inside a testing/synctest bubble and can be cut by address or
// between zones.
package network

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// Network connects listeners and dialers in one process.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	refused   map[string]bool
	zones     map[string]string   // of addresses
	gates     map[[2]string]*gate // between two zones, in order
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		refused:   make(map[string]bool),
		zones:     make(map[string]string),
		gates:     make(map[[2]string]*gate),
	}
}

// Listen returns a listener on addr.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{addr: address(addr), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// DialContext connects to the listener on addr; it fits http.Transport.
func (n *Network) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return n.dial(ctx, addr, nil)
}

// dial connects to the listener on addr, through a gate if there is one.
func (n *Network) dial(ctx context.Context, addr string, g *gate) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[addr], n.refused[addr]
	n.mu.Unlock()
	if l == nil || refused {
		return nil, refuse()
	}
	near, far := net.Pipe()
	if g != nil {
		near, far = gated(near, g), gated(far, g)
	}
	l.add(far)
	select {
	case l.accept <- far:
		return near, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = near.Close()
	return nil, refuse()
}

// CloseConnections closes all connections to addr.
func (n *Network) CloseConnections(addr string) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l != nil {
		l.cut()
	}
}

// SetRefusing makes new connections to addr fail, or work again.
func (n *Network) SetRefusing(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refused[addr] = on
}

func refuse() error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
}

type address string

func (address) Network() string  { return "tcp" }
func (a address) String() string { return string(a) }

type listener struct {
	addr   address
	accept chan net.Conn
	closed chan struct{}
	once   sync.Once

	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return l.addr }

func (l *listener) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

func (l *listener) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}
