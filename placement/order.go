package placement

import (
	"slices"
	"time"
)

// Entries with the same counts, which are some 30 ms old within a data centre, choose the
// same endpoint for its last free slots: one of the requests then waits there or is rejected.
// Where online requests take more than half of the slots of an endpoint, each entry
// therefore goes by an order of its own, from rendezvous hashing, instead of a random time;
// and the last free slots of an endpoint belong to the entries of its data centre that
// come first for it, as many as there are slots. Others use them if their own are taken.
const (
	// othersSlotPenalty is the additional wait that is accepted to leave a slot to the entry
	// to which it belongs. It is less than the wait for a slot at a full endpoint and less
	// than crossDataCentrePenalty, so that others' slots come before both.
	othersSlotPenalty = 40 * time.Millisecond
)

// busy reports whether online requests take more than half of the slots of e.
func (e *endpoint) busy() bool { return 2*e.online() > e.Slots }

// tieBreak returns the time that is added to the expected wait at e, below costJitter but
// for othersSlotPenalty, so that entries with the same counts choose different endpoints.
func (t *Table) tieBreak(e *endpoint) time.Duration {
	if !e.busy() || len(t.entries) < 2 {
		return time.Duration(t.random.Int64N(int64(costJitter)))
	}
	cost := costJitter * time.Duration(e.rank) / time.Duration(len(t.entries))
	if free := e.Slots - e.online(); e.DataCentre == t.dataCentre && free > 0 && e.nearRank >= free {
		cost += othersSlotPenalty
	}
	return cost
}

// SetNearEntries replaces the names of those entries of SetEntries that are in this entry's
// data centre, this entry included.
func (t *Table) SetNearEntries(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.nearEntries = names
	for _, e := range t.endpoints {
		e.nearRank = t.rankAmong(e, names)
	}
}

// mayStartElsewhere reports whether a batch item may start at an endpoint in another data centre:
// in a wave only if it ends before the peak, would be late otherwise, or may run at no
// candidate in this one. This entry learns up to 200 ms later of
// requests there for which its item must be preempted.
func (t *Table) mayStartElsewhere(now time.Duration, req Request, candidates []*endpoint) bool {
	w := t.waves[req.Deployment]
	if w == nil || !w.known(now) || !t.anyNear(candidates, req) {
		return true
	}
	it := req.Item
	return it.Remaining > 0 && it.Remaining <= w.lowLeft(now) || w.slack(it) < w.period()
}

// anyNear reports whether one of the endpoints in this entry's data centre may run a request.
func (t *Table) anyNear(endpoints []*endpoint, req Request) bool {
	return slices.ContainsFunc(endpoints, func(e *endpoint) bool {
		return e.DataCentre == t.dataCentre && e.usable(req)
	})
}
