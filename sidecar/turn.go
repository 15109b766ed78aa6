package sidecar

import "context"

// takeTurn has a suspect item take the turn to run alone; others need none. It
// returns false if another suspect has it.
func (r *itemRun) takeTurn() bool {
	if !r.Suspect {
		return true
	}
	x := newSuspect(r.Customer)
	x.batch = true
	if r.Idempotent {
		x.cut = r.stop
	}
	if r.runner.gate.queue(x) != nil {
		return false
	}
	r.turn = x
	return true
}

// endTurn gives up the turn, if the item has it.
func (r *itemRun) endTurn() {
	if r.turn != nil {
		r.runner.gate.dequeue(r.turn)
	}
}

// enter notes that the item goes to the endpoint. It returns false if that has
// crashed, or if a suspect has to wait for long.
func (r *itemRun) enter(ctx context.Context) bool {
	if r.turn == nil && !r.runner.gate.enter(r.id, false) || r.turn != nil && !r.enterAlone(ctx) {
		return false
	}
	if !r.runner.endpointAnswers(ctx) {
		r.runner.gate.leave(r.id, false)
		return false
	}
	return true
}

// enterAlone has the other items return to their owners and waits for what
// runs.
func (r *itemRun) enterAlone(ctx context.Context) bool {
	r.runner.evict()
	ctx, cancel := context.WithTimeout(ctx, holdTime)
	defer cancel()
	return r.runner.gate.enterAlone(ctx, r.id)
}
