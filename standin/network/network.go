// Package network is a stand-in for TCP between processes: connections in memory
// that work inside a testing/synctest bubble. Connections to an address can be
// closed or refused, and zones can be partitioned from each other.
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
	listeners map[string]*listener // by address
	refusing  map[string]bool      // by address
	zones     map[string]string    // by address
	links     map[[2]string]*link  // by the two zones, sorted
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		refusing:  make(map[string]bool),
		zones:     make(map[string]string),
		links:     make(map[[2]string]*link),
	}
}

// Listen returns a listener on addr. It replaces the previous listener, if any.
func (n *Network) Listen(addr string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{addr: address(addr), accept: make(chan net.Conn), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l
}

// DialContext connects to the listener on addr. It has the signature that
// http.Transport requires.
func (n *Network) DialContext(ctx context.Context, _, addr string) (net.Conn, error) {
	return n.dial(ctx, addr, nil)
}

// dial connects to the listener on addr, over lk if it is not nil.
func (n *Network) dial(ctx context.Context, addr string, lk *link) (net.Conn, error) {
	n.mu.Lock()
	l, refused := n.listeners[addr], n.refusing[addr]
	n.mu.Unlock()
	if l == nil || refused {
		return nil, refusedError()
	}
	client, server := net.Pipe()
	if lk != nil {
		client, server = newLinkConn(client, lk), newLinkConn(server, lk)
	}
	l.track(server)
	select {
	case l.accept <- server:
		return client, nil
	case <-l.closed:
	case <-ctx.Done():
	}
	_ = client.Close()
	return nil, refusedError()
}

// CloseConnections closes all open connections to addr. New ones can be made.
func (n *Network) CloseConnections(addr string) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l != nil {
		l.closeConns()
	}
}

// SetRefusing makes new connections to addr fail with ECONNREFUSED while on is
// true.
func (n *Network) SetRefusing(addr string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refusing[addr] = on
}

func refusedError() error {
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

func (l *listener) track(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns = append(l.conns, c)
}

func (l *listener) closeConns() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
	l.conns = nil
}
