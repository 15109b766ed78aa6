package sidecar

import "context"

// acquireExclusive reserves the endpoint for a suspect item, which must run
// alone; it does nothing for other items. It returns false if another suspect
// holds or awaits the reservation.
func (r *itemRun) acquireExclusive() bool {
	if !r.Suspect {
		return true
	}
	s := newSuspect(r.Customer)
	s.batch = true
	if r.Idempotent {
		s.preempt = r.stop
	}
	if r.runner.gate.enqueue(s) != nil {
		return false
	}
	r.exclusive = s
	return true
}

// releaseExclusive releases the reservation of acquireExclusive, if any.
func (r *itemRun) releaseExclusive() {
	if r.exclusive != nil {
		r.runner.gate.release(r.exclusive)
	}
}

// begin registers the item as in flight at the endpoint. It returns false if the endpoint
// is evacuated or fails its health check, if the item is not a suspect and a suspect runs or
// waits here, or if the item is a suspect and other attempts still run after maxStartWait
// or at the end of ctx.
func (r *itemRun) begin(ctx context.Context) bool {
	if r.runner.evacuated() {
		return false
	}
	if r.exclusive == nil && !r.runner.gate.begin(r.id, false) || r.exclusive != nil && !r.beginExclusive(ctx) {
		return false
	}
	if !r.runner.endpointHealthy(ctx) {
		r.runner.gate.end(r.id, false)
		return false
	}
	return true
}

// beginExclusive returns the other idempotent items to their owners and waits
// until no other attempt runs.
func (r *itemRun) beginExclusive(ctx context.Context) bool {
	r.runner.evictItems()
	ctx, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()
	return r.runner.gate.beginExclusive(ctx, r.id)
}
