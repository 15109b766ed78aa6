package gateway

import (
	"slices"
	"time"

	"dandelionrelay/gossip"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

// startupSkew is the time within which entries that start together receive each other's
// first reports. All admissions of an entry that started less than startupSkew before
// this one are charged to the token buckets of this one.
const startupSkew = time.Second

// Report implements gossip.Reporter.
func (g *Gateway) Report() gossip.Report {
	// The age is read first: the offset is then at least that which it confirms.
	age, confirmed := g.ConfigFeed.Age()
	next, _ := g.ConfigFeed.NextOffset()
	if !confirmed {
		next = 0
	}
	return gossip.Report{
		Config:     gossip.Confirmation{Next: next, Age: age},
		Endpoints:  placement.Report{Loads: g.table.LocalLoads(), Failing: g.table.FailingEndpoints(), Ramps: g.table.Ramps(g.Clock())},
		Counts:     gossip.Counts{ByCustomer: g.localCounts()},
		OtherCells: gossip.Counts{ByCustomer: g.otherCellCounts.Sum(nil)},
		LogLostFor: g.jobsFollower.LostFor(),
		Leaving:    g.Leaving(),
	}
}

// CellCounts implements gossip.Reporter.
func (g *Gateway) CellCounts() map[quota.Key]quota.Count {
	return g.ownCellCounts.Sum(g.localCounts())
}

// PeerReport implements gossip.Listener.
func (g *Gateway) PeerReport(name string, incarnation uint64, r gossip.Report) {
	if r.Leaving {
		g.leavingEntries.Store(name, true)
	} else {
		g.leavingEntries.Delete(name)
	}
	g.table.SetPeer(name, r.Endpoints)
	g.table.AdoptRamps(g.Clock(), r.Endpoints.Ramps)
	g.ownCellCounts.Add(g.countAdmissions(name, incarnation, r, r.Counts))
	g.table.Observe(g.Clock())
	g.table.PreemptBatch()
	g.jobs.Wake()
}

// entryLeaving reports whether another entry's last report said that it is shutting down.
func (g *Gateway) entryLeaving(name string) bool {
	_, leaving := g.leavingEntries.Load(name)
	return leaving
}

// forgetLeavingExcept forgets which entries are shutting down except for the given ones: the
// others are no longer members.
func (g *Gateway) forgetLeavingExcept(entries []string) {
	g.leavingEntries.Range(func(name, _ any) bool {
		if !slices.Contains(entries, name.(string)) {
			g.leavingEntries.Delete(name)
		}
		return true
	})
}

// CellReport implements gossip.Listener.
func (g *Gateway) CellReport(source string, incarnation uint64, r gossip.Report) {
	g.otherCellCounts.Add(g.countAdmissions(source, incarnation, r, r.Counts))
}

// OtherCellsReport implements gossip.Listener.
func (g *Gateway) OtherCellsReport(source string, incarnation uint64, r gossip.Report) {
	g.countAdmissions(source, incarnation, r, r.OtherCells)
}

// SourceEnded implements gossip.Listener.
func (g *Gateway) SourceEnded(source string) {
	g.limits.Forget(source)
	g.coldLimits.Forget(source)
}

// countAdmissions charges the token buckets with the admissions in c, which is a part of
// report r. It returns by how much each count has grown since the last report of source.
func (g *Gateway) countAdmissions(source string, incarnation uint64, r gossip.Report, c gossip.Counts) map[quota.Key]int32 {
	now := g.Clock()
	report := quota.Report{Full: c.Full, FromZero: r.Uncounted && r.Uptime < now-g.started+startupSkew}
	if g.coldInUse.Load() {
		g.coldLimits.Observe(now, source, incarnation, c.ByCustomer, report)
	}
	return g.limits.Observe(now, source, incarnation, c.ByCustomer, report)
}

// PeerTimedOut implements gossip.Listener.
func (g *Gateway) PeerTimedOut(name string) {
	g.table.ForgetPeer(name)
	g.storeReads.forget(name)
	g.jobs.Wake()
}

// CellsChanged implements gossip.Listener.
func (g *Gateway) CellsChanged() { g.assignEndpoints() }
