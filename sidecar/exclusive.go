package sidecar

import "context"

// takeTurn has a suspect item take the turn to run alone; others need none. It
// returns false if another suspect has it.
func (r *itemRun) acquireExclusive() bool {
	if !r.Suspect {
		return true
	}
	x := newSuspect(r.Customer)
	x.batch = true
	if r.Idempotent {
		x.preempt = r.stop
	}
	if r.runner.gate.enqueue(x) != nil {
		return false
	}
	r.exclusive = x
	return true
}

// endTurn gives up the turn, if the item has it.
func (r *itemRun) releaseExclusive() {
	if r.exclusive != nil {
		r.runner.gate.release(r.exclusive)
	}
}

// enter notes that the item goes to the endpoint. It returns false if that has
// crashed, or if a suspect has to wait for long.
func (r *itemRun) begin(ctx context.Context) bool {
	if r.exclusive == nil && !r.runner.gate.begin(r.id, false) || r.exclusive != nil && !r.beginExclusive(ctx) {
		return false
	}
	if !r.runner.endpointHealthy(ctx) {
		r.runner.gate.end(r.id, false)
		return false
	}
	return true
}

// enterAlone has the other items return to their owners and waits for what
// runs.
func (r *itemRun) beginExclusive(ctx context.Context) bool {
	r.runner.evictItems()
	ctx, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()
	return r.runner.gate.beginExclusive(ctx, r.id)
}
