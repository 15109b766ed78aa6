package gateway

import (
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

// meeting is by how much earlier than this entry another may have started for
// all that it admitted to count here: the time until entries that start
// together hear one another.
const meeting = time.Second

// Report implements gossip.Source.
func (g *Gateway) Report() gossip.Report {
	return gossip.Report{
		Endpoints: placement.Report{Loads: g.table.Own(), Erring: g.table.Erring()},
		Counts:    gossip.Counts{ByCustomer: g.limits.Own()},
		Outside:   gossip.Counts{ByCustomer: g.otherCells.Sum(nil)},
		LogLost:   g.index.LostFor(),
		Leaving:   g.Leaving(),
	}
}

// CellCounts implements gossip.Source.
func (g *Gateway) CellCounts() map[quota.Key]quota.Count { return g.cellMates.Sum(g.limits.Own()) }

// PeerReport implements gossip.Listener.
func (g *Gateway) PeerReport(name string, incarnation uint64, r gossip.Report) {
	g.table.SetPeer(name, r.Endpoints)
	g.limits.Observe(g.Clock(), name, incarnation, r.Counts.ByCustomer, g.quotaReport(r, r.Counts))
	g.cellMates.Observe(name, incarnation, r.Counts.ByCustomer, g.quotaReport(r, r.Counts))
	g.table.Yield()
	g.jobs.Wake()
}

// CellReport implements gossip.Listener.
func (g *Gateway) CellReport(source string, incarnation uint64, r gossip.Report) {
	g.limits.Observe(g.Clock(), source, incarnation, r.Counts.ByCustomer, g.quotaReport(r, r.Counts))
	g.otherCells.Observe(source, incarnation, r.Counts.ByCustomer, g.quotaReport(r, r.Counts))
}

// OutsideReport implements gossip.Listener.
func (g *Gateway) OutsideReport(source string, incarnation uint64, r gossip.Report) {
	g.limits.Observe(g.Clock(), source, incarnation, r.Outside.ByCustomer, g.quotaReport(r, r.Outside))
}

// SourceGone implements gossip.Listener.
func (g *Gateway) SourceGone(source string) {
	g.limits.Forget(source)
	g.otherCells.Forget(source)
}

func (g *Gateway) quotaReport(r gossip.Report, c gossip.Counts) quota.Report {
	return quota.Report{Whole: c.Whole, Young: r.Uptime < g.Clock()-g.started+meeting}
}

// PeerSilent implements gossip.Listener.
func (g *Gateway) PeerSilent(name string) {
	g.table.ForgetPeer(name)
	g.jobs.Wake()
}

// CellsChanged implements gossip.Listener.
func (g *Gateway) CellsChanged() { g.assignEndpoints() }

// assignEndpoints tells the table which endpoints this entry's cell uses.
func (g *Gateway) assignEndpoints() {
	g.mu.Lock()
	defer g.mu.Unlock()
	list := make([]placement.Endpoint, len(g.endpoints))
	for i, e := range g.endpoints {
		e.Foreign = !g.node.Serves(e.ID, e.DataCentre)
		list[i] = e
	}
	g.table.SetEndpoints(list)
	g.jobs.Wake()
}
