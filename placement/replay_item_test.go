package placement

import (
	"slices"
	"time"
)

// preempt preempts items of an entry where they are due to be.
func (r *replay) preempt(e *replayEntry) {
	e.table.Observe(r.now)
	e.table.PreemptBatch()
}

// startItem starts an item if it may start now, and reports whether it did.
func (r *replay) startItem(it *replayItem) bool {
	e := it.entry
	w := &work{batch: true, events: r.itemEvents - it.events}
	var server *replayServer
	var grant *Grant
	var far time.Duration
	preempt := func() {
		w.cancelled = true
		r.after(far, func() { server.cancel(w) })
		// The run ends in another goroutine.
		r.after(time.Millisecond, func() {
			if !it.running {
				return
			}
			it.running = false
			r.itemPreempted(it, w)
			grant.Release(r.now, Aborted, 0)
			r.wake(e)
		})
	}
	grant = e.table.PlaceBatch(r.now, Request{Deployment: model, Item: r.times(it)}, preempt)
	if grant == nil {
		return false
	}
	server = r.servers[grant.Key()]
	far = delay(e.dataCentre, server.DataCentre)
	it.running = true
	it.runs++
	w.begun = func() {}
	w.ended = func() {
		r.after(far, func() {
			if w.cancelled {
				return
			}
			it.running = false
			grant.Release(r.now, Done, w.gap)
			r.itemCompleted(it)
			r.wake(e)
		})
	}
	w.rejected = func() {
		r.after(far, func() {
			if w.cancelled {
				return
			}
			it.running = false
			it.notBefore = r.now + notRunDelay
			grant.Release(r.now, Full, 0)
			r.after(notRunDelay, func() { r.wake(e) })
		})
	}
	r.after(far, func() { server.arrive(w) })
	return true
}

// itemPreempted counts a preemption and the events that the run brought.
func (r *replay) itemPreempted(it *replayItem, w *work) {
	events := 0
	if w.started && r.now >= w.firstAt {
		events = min(1+int((r.now-w.firstAt)/w.gap), w.events-1)
	}
	it.events += events
	if !r.measuring() {
		return
	}
	r.replayed.eventsOfItems += events
	r.replayed.preempted++
	if events == 0 {
		r.replayed.preemptedBeforeEvent++
	}
}

// itemCompleted removes an item and counts it.
func (r *replay) itemCompleted(it *replayItem) {
	e := it.entry
	i := slices.Index(e.items, it)
	e.items = slices.Delete(e.items, i, i+1)
	if !r.measuring() {
		return
	}
	r.replayed.eventsOfItems += r.itemEvents - it.events
	r.replayed.completed++
	r.replayed.runsOfCompleted += it.runs
	if r.now > it.due {
		r.replayed.late++
	}
}

// times returns what an entry knows of the time of an item.
func (r *replay) times(it *replayItem) ItemTimes {
	return ItemTimes{
		Remaining: time.Duration(r.itemEvents-it.events) * itemTokens * stepTime(replaySlots),
		Due:       true,
		UntilDue:  it.due - r.now,
	}
}

// compareItems orders the items of an entry.
func (r *replay) compareItems(a, b *replayItem) int { return r.times(a).Compare(r.times(b)) }
