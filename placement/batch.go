package placement

import (
	"cmp"
	"slices"
	"time"
)

// PlaceBatch reserves a slot for a batch item at an endpoint that has more than
// reservedSlots free, or returns nil if there is none. preempt is called without locks
// when the slot is needed for an online request; it must not block.
func (t *Table) PlaceBatch(now time.Duration, req Request, preempt func()) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginRamps(now)
	// Cold endpoints are left to online requests while others are listed.
	req.warmOnly = !allCold(now, t.group(req.Deployment).preferred(), req)
	for {
		best := t.selectForBatch(now, req)
		if best == nil {
			return nil
		}
		if t.takeColdToken(now, best) {
			return t.newGrant(best, Batch, now, preempt)
		}
	}
}

// selectForBatch returns the endpoint to use for a batch item, or nil if there is none.
func (t *Table) selectForBatch(now time.Duration, req Request) *endpoint {
	var best *endpoint
	var highest float64
	group := t.group(req.Deployment)
	includeFailing := group.tooManyFailing()
	// The limits that endpoints name are left to online requests while others have none.
	candidates, otherCell := t.preferredFor(req)
	includeLimited := allLimited(candidates)
	for _, e := range candidates {
		if e.limit != nil && !includeLimited {
			continue
		}
		if !e.eligible(now, req) || now < e.suspendedUntil || now < e.fullUntil || !includeFailing && e.excluded(req) || !t.withinRamp(e, now) {
			continue
		}
		free := e.Slots - reservedSlots - e.online() - e.batch()
		if free <= 0 || otherCell && !t.takesOtherCellItem(e) {
			continue
		}
		score := float64(free) / group.slowness(e)
		if e.DataCentre == t.dataCentre {
			score++
		}
		score += t.random.Float64()
		if best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// PreemptBatch preempts batch items of this entry at endpoints that have more requests
// than slots. Entries with the same counts agree without further messages on how many
// items each preempts: the entry with the most items at an endpoint preempts the first.
func (t *Table) PreemptBatch() {
	var callbacks []func()
	t.mu.Lock()
	for _, e := range t.endpoints {
		for range t.preemptionsDue(e) {
			g := e.newestGrant()
			if g == nil {
				break
			}
			g.preempting = true
			callbacks = append(callbacks, g.preempt)
		}
	}
	t.mu.Unlock()
	for _, preempt := range callbacks {
		preempt()
	}
}

// entryItems is the number of batch items of an entry at an endpoint.
type entryItems struct {
	id    string
	items int
}

// preemptionsDue returns how many more of this entry's batch items at e must be
// preempted.
func (t *Table) preemptionsDue(e *endpoint) int {
	excess := e.online() + e.batch() - e.Slots
	if excess <= 0 || e.local.Batch == 0 {
		return 0
	}
	counts := []entryItems{{id: t.self, items: e.local.Batch}}
	for id, r := range t.peers {
		if n := r.Loads[e.key].Batch; n > 0 {
			counts = append(counts, entryItems{id: id, items: n})
		}
	}
	slices.SortFunc(counts, func(a, b entryItems) int { return cmp.Compare(a.id, b.id) })
	due := 0
	for range min(excess, e.batch()) {
		largest := 0
		for i, c := range counts {
			if c.items > counts[largest].items {
				largest = i
			}
		}
		counts[largest].items--
		if counts[largest].id == t.self {
			due++
		}
	}
	for g := range e.grants {
		if g.preempting {
			due--
		}
	}
	return due
}

// newestGrant returns the latest batch grant at e that is not preempted yet, or nil if
// there is none.
func (e *endpoint) newestGrant() *Grant {
	var newest *Grant
	for g := range e.grants {
		if g.preempting {
			continue
		}
		if newest == nil || g.start > newest.start {
			newest = g
		}
	}
	return newest
}
