package gateway

import (
	"context"
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/origin"
	"dandelionrelay/placement"
)

// EndpointList is a change of the endpoints that discovery lists.
type EndpointList struct {
	Listed  []placement.Endpoint
	Removed []placement.Endpoint // listed since the last change, however briefly, or with another version
	Gap     bool                 // others may have been listed in between

	Cold map[placement.Key]placement.ColdNotice // how long endpoints remain cold, where they say so anew
}

// listing returns the versions in a list of endpoints.
func (l EndpointList) listing() origin.Listing {
	return origin.Listing{Listed: origins(l.Listed), Removed: origins(l.Removed), Gap: l.Gap}
}

// origins returns the origins that streams at the endpoints have.
func origins(endpoints []placement.Endpoint) []origin.Origin {
	list := make([]origin.Origin, len(endpoints))
	for i, e := range endpoints {
		list[i] = e.Origin()
	}
	return list
}

// SetEndpoints replaces the list of endpoints.
func (g *Gateway) SetEndpoints(l EndpointList) {
	addrs := make(map[string]bool, len(l.Listed))
	for _, e := range l.Listed {
		addrs[e.Address] = true
	}
	g.listed.SetListed(l.listing())
	g.mu.Lock()
	g.endpoints = l.Listed
	g.endpointAddrs = addrs
	g.mu.Unlock()
	g.assignEndpoints()
	g.stateCold(l.Cold)
	g.silences.SetListed(incarnationsOf(l.Listed))
}

// incarnationsOf returns a function that reports whether an incarnation is in the list.
func incarnationsOf(list []placement.Endpoint) func(id string, startMs int64) bool {
	starts := make(map[string]int64, len(list))
	for _, e := range list {
		starts[e.ID] = e.StartMs
	}
	return func(id string, startMs int64) bool {
		start, ok := starts[id]
		return ok && start == startMs
	}
}

// EndpointRegistered records that discovery has read a registration of an endpoint, whether or
// not it changes the list.
func (g *Gateway) EndpointRegistered(e placement.Endpoint) {
	if g.silences.Empty() {
		return
	}
	if age, ok := g.EndpointFeed.Age(); ok {
		g.silences.Registered(e.ID, e.StartMs, g.Clock()-age)
	}
}

// assignEndpoints replaces the endpoints in the placement table and sets OtherCell on
// those that this entry's cell does not use.
func (g *Gateway) assignEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	var available []gossip.Endpoint
	for _, e := range g.endpoints {
		if !e.Draining {
			available = append(available, gossip.Endpoint{ID: e.ID, DataCentre: e.DataCentre})
		}
	}
	own := g.node.OwnEndpoints(available)
	entries := g.node.CellMembers()
	g.table.SetEntries(entries)
	g.table.SetColdEntries(g.Clock(), entries, g.entryLeaving)
	g.forgetLeavingExcept(entries)
	g.table.SetNearEntries(g.node.NearMembers())
	list := make([]placement.Endpoint, len(g.endpoints))
	for i, e := range g.endpoints {
		e.OtherCell = !e.Draining && !own[e.ID]
		list[i] = e
	}
	g.table.SetEndpoints(list)
	g.jobs.Wake()
}

// confirmEndpoints reads the list of endpoints unless it was read since the call began. It
// returns false if the store can't be reached.
func (g *Gateway) confirmEndpoints(ctx context.Context) bool {
	asked := g.Clock()
	select {
	case g.confirming <- struct{}{}:
		defer func() { <-g.confirming }()
	case <-ctx.Done():
		return false
	}
	if g.endpointsConfirmedSince(asked) {
		return true
	}
	if g.EndpointFeed.LostFor() > 0 {
		return false
	}
	return g.EndpointFeed.Refresh(ctx) == nil && g.endpointsConfirmedSince(asked)
}

// endpointsConfirmedSince reports whether the list of endpoints is known to be that of at,
// a time of the clock, or a later one.
func (g *Gateway) endpointsConfirmedSince(at time.Duration) bool {
	age, ok := g.EndpointFeed.Age()
	return ok && g.Clock()-age >= at
}
