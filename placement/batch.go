package placement

import "time"

// PlaceBatch reserves a slot for a batch item at an endpoint that has more than
// reservedSlots free, or returns nil if there is none, if it is another entry's turn to take
// them or if the item is to wait for a trough of the online load. preempt is called without locks
// when the slot is needed for an online request; it must not block.
func (t *Table) PlaceBatch(now time.Duration, req Request, preempt func()) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLoad(now)
	if !t.itemMayStart(now, req) {
		return nil
	}
	var best *endpoint
	var highest float64
	group := t.group(req.Deployment)
	includeFailing := group.tooManyFailing()
	scarce := t.scarce(group.preferred())
	// The limits that endpoints name are left to online requests while others have none.
	includeLimited := allLimited(group.preferred())
	mayStartAway := t.mayStartAway(now, req)
	for _, e := range group.preferred() {
		if e.DataCentre != t.dataCentre && !mayStartAway {
			continue
		}
		if e.limit != nil && !includeLimited {
			continue
		}
		if !e.eligible(now, req) || now < e.suspendedUntil || now < e.fullUntil || !includeFailing && e.excluded(req) {
			continue
		}
		free := e.Slots - reservedSlots - e.online() - e.batch()
		if free <= 0 || scarce && !t.mayTakeFree(e, now, free) {
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
	if best == nil {
		return nil
	}
	grant := t.newGrant(best, Batch, now, preempt)
	grant.item, grant.knownAtStart = req.Item, t.known(req.Deployment)
	return grant
}

// PreemptBatch preempts batch items of this entry at endpoints that have more requests
// than slots, or in the rise of a wave fewer free slots than peakHeadroom. Entries with the same counts agree without further messages on how many
// items each preempts: the entry with the most items at an endpoint that are not firm preempts the first.
func (t *Table) PreemptBatch() {
	var callbacks []func()
	t.mu.Lock()
	for _, e := range t.ordered {
		for range t.preemptionsDue(e) {
			g := t.nextPreempted(e)
			if g == nil {
				break
			}
			g.preempting, g.knownAtPreemption = true, t.known(e.Deployment)
			callbacks = append(callbacks, g.preempt)
		}
	}
	t.mu.Unlock()
	for _, preempt := range callbacks {
		preempt()
	}
}
