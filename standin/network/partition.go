package network

import (
	"context"
	"net"
)

// SetZone says in which zone the listener on addr is.
func (n *Network) SetZone(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// SetPartitioned cuts two zones off from each other, or joins them again. Nothing is
// refused meanwhile: what is sent, and the end of a connection, arrives once
// they are joined.
func (n *Network) SetPartitioned(a, b string, on bool) {
	n.gateOf(a, b).set(on)
}

// DialFrom connects from a zone to the listener on addr.
func (n *Network) DialFrom(ctx context.Context, zone, addr string) (net.Conn, error) {
	n.mu.Lock()
	far := n.zones[addr]
	n.mu.Unlock()
	if zone == "" || far == "" || zone == far {
		return n.DialContext(ctx, "tcp", addr)
	}
	g := n.gateOf(zone, far)
	select {
	case <-g.joined():
		return n.dial(ctx, addr, g)
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// gateOf returns the gate between two zones.
func (n *Network) gateOf(a, b string) *gate {
	if a > b {
		a, b = b, a
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := [2]string{a, b}
	if n.gates[pair] == nil {
		n.gates[pair] = newGate()
	}
	return n.gates[pair]
}
