package placement

import "time"

// PlaceBatch reserves a slot for a batch item at an endpoint that has more than
// reservedSlots free, or returns nil if there is none, if it is another entry's turn to take
// them or if the item is to wait for a trough of the online load. preempt is called without
// locks when the slot is needed for an online request; it must not block.
func (t *Table) PlaceBatch(now time.Duration, req Request, preempt func()) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.beginRamps(now)
	t.observeLoad(now)
	best := t.chooseForBatch(now, t.batchRequest(now, req), t.takeColdToken)
	if best == nil {
		return nil
	}
	grant := t.newGrant(best, Batch, now, preempt)
	grant.item, grant.loadAtStart = req.Item, t.loadOf(req.Deployment)
	return grant
}

// batchRequest returns the request of a batch item. Cold endpoints are left to online
// requests while others are listed.
func (t *Table) batchRequest(now time.Duration, req Request) Request {
	req.warmOnly = !allCold(now, t.group(req.Deployment).preferred(), req)
	return req
}

// chooseForBatch returns the endpoint for a batch item, or nil if there is none; see choose.
func (t *Table) chooseForBatch(now time.Duration, req Request, takeToken func(time.Duration, *endpoint) bool) *endpoint {
	if !t.itemMayStart(now, req) {
		return nil
	}
	for {
		best := t.selectForBatch(now, req)
		if best == nil || takeToken(now, best) {
			return best
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
	scarce := !otherCell && t.scarce(candidates)
	mayStartElsewhere := t.mayStartElsewhere(now, req, candidates)
	for _, e := range candidates {
		if e.DataCentre != t.dataCentre && !mayStartElsewhere {
			continue
		}
		if e.limit != nil && !includeLimited {
			continue
		}
		if !e.eligible(now, req) || now < e.suspendedUntil || now < e.fullUntil || !includeFailing && e.excluded(req) || !t.withinRamp(e, now) {
			continue
		}
		free := e.freeForBatch()
		if free <= 0 || otherCell && !t.takesOtherCellItem(e) || scarce && !t.mayTakeFree(e, now, free) {
			continue
		}
		score := t.batchScore(e, group.slowness(e)) + t.random.Float64()
		if best == nil || score > highest {
			best, highest = e, score
		}
	}
	return best
}

// freeForBatch returns the slots of e that batch items may take.
func (e *endpoint) freeForBatch() int { return e.Slots - reservedSlots - e.online() - e.batch() }

// batchScore returns how well e suits a batch item, without the random part.
func (t *Table) batchScore(e *endpoint, slowness float64) float64 {
	score := float64(e.freeForBatch()) / slowness
	if e.DataCentre == t.dataCentre {
		score++
	}
	return score
}

// PreemptBatch preempts batch items of this entry at endpoints that have more requests
// than slots, or in the rise of a wave fewer free slots than peakHeadroom. Entries with the
// same counts agree without further messages on how many items each preempts: the entry with
// the most items at an endpoint that are not firm preempts the first.
func (t *Table) PreemptBatch() {
	var callbacks []func()
	t.mu.Lock()
	for _, e := range t.ordered {
		for range t.preemptionsDue(e) {
			g := t.nextGrantToPreempt(e)
			if g == nil {
				break
			}
			g.preempting, g.loadAtPreemption = true, t.loadOf(e.Deployment)
			callbacks = append(callbacks, g.preempt)
		}
	}
	t.mu.Unlock()
	for _, preempt := range callbacks {
		preempt()
	}
}
