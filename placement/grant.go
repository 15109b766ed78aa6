package placement

import "time"

// Grant is a slot, or a place in the queue, that this entry holds at an endpoint.
type Grant struct {
	Endpoint   Endpoint
	Kind       Kind
	Load       Load // of the endpoint over all entries, just before the grant
	table      *Table
	state      *endpoint
	start      time.Duration // clock at the grant
	preempt    func()        // nil for online requests
	preempting bool          // preempt was called or is about to be
	item       ItemTimes     // at the grant

	loadAtStart, loadAtPreemption BatchLoad // of batch items

	coldLimited bool // the endpoint has a limit while it is cold
	coldToken   bool // a token was taken at the grant, as it is cold
}

// newGrant adds a request to this entry's load at e and returns its grant.
func (t *Table) newGrant(e *endpoint, kind Kind, now time.Duration, preempt func()) *Grant {
	g := &Grant{
		Endpoint: e.Endpoint,
		Kind:     kind,
		Load:     Load{Online: e.online(), Batch: e.batch()},
		table:    t,
		state:    e,
		start:    now,
		preempt:  preempt,

		coldLimited: e.cold != nil,
		coldToken:   e.isCold(now),
	}
	t.takeToken(e, now)
	if kind == Online {
		e.local.Online++
	} else {
		e.local.Batch++
		e.grants[g] = struct{}{}
	}
	t.notify()
	return g
}

// notify reports a change of this entry's load.
func (t *Table) notify() {
	if t.onChange != nil {
		t.onChange()
	}
}

// Key returns the key of the grant's endpoint.
func (g *Grant) Key() Key { return g.state.key }

// Release returns the slot, or the place in the queue, at now, with the result of the
// request. gap is the mean time between the events of the response; 0 if unknown.
func (g *Grant) Release(now time.Duration, result Result, gap time.Duration) {
	t, e := g.table, g.state
	t.mu.Lock()
	defer t.mu.Unlock()
	defer t.observeLoad(now)
	if g.Kind == Online {
		e.local.Online--
	} else {
		e.local.Batch--
		delete(e.grants, g)
	}
	if gap > 0 {
		e.eventGap = movingAverage(e.eventGap, gap)
		t.group(e.Deployment).invalidateMedian()
	}
	t.applyResultToRamp(g, now, result, gap)
	if result == Done || result == Full || result == ErrorResponse {
		e.heardAt = now
	}
	switch result {
	case Done:
		e.consecutiveFailures = 0
		e.recordResponse(false)
		if g.Kind == Online {
			t.serviceTime = movingAverage(t.serviceTime, now-g.start)
		}
	case Full:
		e.fullUntil = now + fullTTL
	case ErrorResponse:
		e.recordResponse(true)
		if e.failing() {
			e.suspend(now)
		}
	case Failed:
		e.suspend(now)
	case Replaced:
		e.replaced = true
	}
	t.notify()
}

// suspend suspends e for a time that doubles with each consecutive failure, up to
// maxSuspension.
func (e *endpoint) suspend(now time.Duration) {
	e.suspendedUntil = now + min(minSuspension<<min(e.consecutiveFailures, 6), maxSuspension)
	e.consecutiveFailures++
}
