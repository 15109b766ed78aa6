package experiment

import (
	"context"
	"net"
	"sync"
	"syscall"
)

// network is TCP on loopback whose connections can be cut by address.
type network struct {
	mu    sync.Mutex
	off   map[string]bool                     // addresses that are cut off
	conns map[string]map[*connection]struct{} // by address that was dialled
}

func newNetwork() *network {
	return &network{off: make(map[string]bool), conns: make(map[string]map[*connection]struct{})}
}

// connection is one that leaves its network when it is closed.
type connection struct {
	net.Conn
	network *network
	addr    string
}

// Close implements net.Conn.
func (c *connection) Close() error {
	c.network.forget(c)
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
	if !n.keep(c) {
		_ = conn.Close()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	return c, nil
}

// keep notes an open connection; it returns false if its address is cut off.
func (n *network) keep(c *connection) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.off[c.addr] {
		return false
	}
	if n.conns[c.addr] == nil {
		n.conns[c.addr] = make(map[*connection]struct{})
	}
	n.conns[c.addr][c] = struct{}{}
	return true
}

func (n *network) forget(c *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns[c.addr], c)
}

// cut closes all connections to addrs and refuses new ones, or lets them
// through again.
func (n *network) cut(off bool, addrs ...string) {
	for _, addr := range addrs {
		for _, c := range n.set(addr, off) {
			_ = c.Conn.Close()
		}
	}
}

// set cuts an address off or not and returns the connections to close.
func (n *network) set(addr string, off bool) []*connection {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.off[addr] = off
	if !off {
		return nil
	}
	var open []*connection
	for c := range n.conns[addr] {
		open = append(open, c)
	}
	return open
}
