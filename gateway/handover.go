package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/locality"
)

// maxHandovers is the number of other entries to which a call on a job is handed over, one
// after the other.
const maxHandovers = 2

// HandoverTargets returns the entries that can serve a call on a job which this entry can't
// serve: they have read the store since this one last failed to, and so in an outage for
// all there is none. Those of this data centre come first. Each is in one of the homes of
// the call or in the region of this entry.
func (g *Gateway) HandoverTargets(homes ...locality.Homes) []gossip.Member {
	lostFor := g.jobsFollower.LostFor()
	if lostFor == 0 {
		return nil
	}
	var local, remote []gossip.Member
	regions := g.regions()
	for _, m := range g.storeReads.since(g.Clock()-lostFor, g.node.MembersReachingLog()) {
		if !mayReceive(regions, g.Settings.DataCentre, m, homes) {
			continue
		}
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

// storeReads holds when other entries have last read the store.
type storeReads struct {
	mu     sync.Mutex
	byName map[string]time.Duration // times of this entry's clock, by entry
}

// record records that an entry read the store at a time of this entry's clock.
func (s *storeReads) record(name string, at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byName == nil {
		s.byName = make(map[string]time.Duration)
	}
	s.byName[name] = max(s.byName[name], at)
}

// forget forgets an entry.
func (s *storeReads) forget(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

// since returns those of the entries that have read the store after at, a time of this
// entry's clock.
func (s *storeReads) since(at time.Duration, members []gossip.Member) []gossip.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []gossip.Member
	for _, m := range members {
		if s.byName[m.Name] > at {
			list = append(list, m)
		}
	}
	return list
}
