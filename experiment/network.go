package experiment

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// network is TCP on loopback on which addresses can be made unreachable.
type network struct {
	mu          sync.Mutex
	unreachable map[string]bool                     // by address
	conns       map[string]map[*connection]struct{} // open connections by dialled address
}

func newNetwork() *network {
	return &network{unreachable: make(map[string]bool), conns: make(map[string]map[*connection]struct{})}
}

// connection is a net.Conn that is removed from its network when it is closed.
type connection struct {
	net.Conn
	network *network
	addr    string
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.network.unregister(c)
	return c.Conn.Close()
}

// Listen implements fleet.Network.
func (n *network) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// Dial implements fleet.Network.
func (n *network) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &connection{Conn: conn, network: n, addr: addr}
	if !n.register(c) {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return c, nil
}

// register adds an open connection. It returns false if its address is unreachable.
func (n *network) register(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.unreachable[c.addr] {
		return false
	}
	if n.conns[c.addr] == nil {
		n.conns[c.addr] = make(map[*connection]struct{})
	}
	n.conns[c.addr][c] = struct{}{}
	return true
}

func (n *network) unregister(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns[c.addr], c)
}

// setUnreachable closes all connections to addrs and refuses new ones, or makes addrs
// reachable again.
func (n *network) setUnreachable(unreachable bool, addrs ...string) {
	for _, addr := range addrs {
		for _, c := range n.mark(addr, unreachable) {
			_ = c.Conn.Close()
		}
	}
}

// mark sets whether an address is unreachable and returns the connections that the
// caller must close.
func (n *network) mark(addr string, unreachable bool) []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.unreachable[addr] = unreachable
	if !unreachable {
		return nil
	}
	var open []*connection
	for c := range n.conns[addr] {
		open = append(open, c)
	}
	return open
}
