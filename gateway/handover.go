package gateway

import (
	"context"
	"math/rand/v2"

	"dandelionrelay/gossip"
)

// maxHandovers is the number of other entries to which a call on a job is handed over, one
// after the other.
const maxHandovers = 2

// HandoverTargets returns the entries that can serve a call on a job which this entry can't
// serve, as they reach the store: those of this data centre first.
func (g *Gateway) HandoverTargets() []gossip.Member {
	var local, remote []gossip.Member
	for _, m := range g.node.MembersReachingLog() {
		if m.DataCentre == g.Settings.DataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	for _, list := range [][]gossip.Member{local, remote} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	targets := append(local, remote...)
	return targets[:min(maxHandovers, len(targets))]
}

// RegisterPeerService serves the methods of service to other entries under name. It must be
// called before Run.
func (g *Gateway) RegisterPeerService(name string, service any) { g.peers.Register(name, service) }

// CallPeer calls a method that another entry has registered.
func (g *Gateway) CallPeer(ctx context.Context, address, method string, args, reply any) error {
	return g.peerPool.Call(ctx, address, method, args, reply)
}
