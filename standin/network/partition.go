package network

import (
	"context"
	"net"
)

// SetZone sets the zone of the listener on addr.
func (n *Network) SetZone(addr, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[addr] = zone
}

// SetPartitioned partitions two zones from each other while on is true. Nothing is
// refused meanwhile: dials block, and data and the end of a connection arrive once
// the partition is over.
func (n *Network) SetPartitioned(a, b string, on bool) {
	n.linkBetween(a, b).setDown(on)
}

// DialFrom connects from a zone to the listener on addr.
func (n *Network) DialFrom(ctx context.Context, zone, addr string) (net.Conn, error) {
	n.mu.Lock()
	remote := n.zones[addr]
	n.mu.Unlock()
	if zone == "" || remote == "" || zone == remote {
		return n.DialContext(ctx, "tcp", addr)
	}
	lk := n.linkBetween(zone, remote)
	select {
	case <-lk.whenUp():
		return n.dial(ctx, addr, lk)
	case <-ctx.Done():
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
}

// linkBetween returns the link between two zones, whose order does not matter.
func (n *Network) linkBetween(a, b string) *link {
	if a > b {
		a, b = b, a
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	pair := [2]string{a, b}
	if n.links[pair] == nil {
		n.links[pair] = newLink()
	}
	return n.links[pair]
}
