package placement

import (
	"cmp"
	"time"
)

// Batch items start and are preempted by what is known of a wave of online requests (see
// type wave) and of the items' times. The decisions are meant for a load whose peaks need
// slots that items use in between: without them items are started and preempted
// several times while requests wait for their slots. Without a wave they change nothing.
const (
	// earlyShare is the share of a trough that must be left for an item to start that ends
	// after it: a later start gains little before its preemption.
	earlyShare = 0.6
	// minStartShare is the same for an item that would be late otherwise.
	minStartShare = 0.125
	// firmShare is the share of the peak's length below which the time left makes an item
	// firm: its slot is free again while the peak lasts.
	firmShare = 0.5
	// riseHeight is the height of the load between the trough (0) and the peak (1) from
	// which the load counts as rising. Random arrivals in a trough stay below.
	riseHeight = 0.3
	// fallHeight is the height below which the load counts as falling.
	fallHeight = 0.85
	// peakHeadroom is the number of slots of each endpoint that items leave free while the
	// load rises, so that requests find one while the items before them are cancelled.
	peakHeadroom = 1
	// turnLength is the time for which the same entries may take the free slots of an
	// endpoint. Most entries know of a start by then.
	turnLength = 60 * time.Millisecond
)

// ItemTimes is what is known of the time of a batch item. The zero value says nothing.
type ItemTimes struct {
	Remaining time.Duration // estimated time that it still runs; 0: unknown
	Due       bool          // it has a due time
	UntilDue  time.Duration // negative: it is late
}

// inTime reports whether the item can still complete by its due time.
func (i ItemTimes) inTime() bool { return !i.Due || i.UntilDue >= i.Remaining }

// Urgent reports whether the item can still complete by its due time and must run for more
// than half of the time until then.
func (i ItemTimes) Urgent() bool { return i.Due && i.inTime() && i.UntilDue < 2*i.Remaining }

// Compare orders items by when they are to start: those that can still complete by their due
// time by this time, then the others by the time that they still take, as an item that has
// begun is of no use until it is complete.
func (i ItemTimes) Compare(o ItemTimes) int {
	switch a, b := i.inTime(), o.inTime(); {
	case a && !b:
		return -1
	case b && !a:
		return 1
	case a && i.Due && o.Due && i.UntilDue != o.UntilDue:
		return cmp.Compare(i.UntilDue, o.UntilDue)
	}
	return cmp.Compare(i.Remaining, o.Remaining)
}

// itemMayStart reports whether a batch item may start in the present phase of a wave: while
// the items fit beside the peak, if it ends before the next peak, early in the trough, or if
// it would be late otherwise. Without a wave it may.
func (t *Table) itemMayStart(now time.Duration, req Request) bool {
	w := t.waves[req.Deployment]
	if w == nil || !w.known(now) {
		return true
	}
	if slots, batch := t.group(req.Deployment).batchLoad(); batch < slots-w.highest {
		return true
	}
	left := w.lowLeft(now)
	if left == 0 {
		return false
	}
	share := float64(left) / float64(w.lowLength())
	it := req.Item
	if share >= earlyShare || it.Remaining > 0 && it.Remaining <= left {
		return true
	}
	return share >= minStartShare && w.slack(it) < w.period()
}

// batchLoad returns the slots of the endpoints and the batch items at them.
func (g *group) batchLoad() (slots, batch int) {
	for _, e := range g.endpoints {
		slots += e.Slots
		batch += e.batch()
	}
	return slots, batch
}

// slack returns the time that an item may wait and still be in time, if it runs in troughs
// only; the most there is without a due time.
func (w *wave) slack(it ItemTimes) time.Duration {
	if !it.Due {
		return 1<<63 - 1
	}
	stretch := float64(w.period()) / float64(w.lowLength())
	return it.UntilDue - time.Duration(stretch*float64(it.Remaining))
}

// scarce reports whether the endpoints have fewer free slots beyond the reserved ones than
// there are entries that may take them.
func (t *Table) scarce(endpoints []*endpoint) bool {
	free := 0
	for _, e := range endpoints {
		free += max(0, e.freeForBatch())
	}
	return free < len(t.entries)
}

// mayTakeFree reports whether it is this entry's turn to start an item at e, which has
// that many free slots, while slots are scarce. The entries take turns, in an order of their
// own for each endpoint, as many at a time as there are free slots. It prevents entries at
// which items wait from all taking the same slot before they know of one another.
func (t *Table) mayTakeFree(e *endpoint, now time.Duration, free int) bool {
	n := max(len(t.entries), 1)
	return free >= n || (e.rank+int(now/turnLength))%n < free
}

// headroom returns the slots of e that items leave ahead of the requests of a peak: while
// the load of a wave rises, and then for half of a request's time, in which the rise ends.
func (t *Table) headroom(e *endpoint) int {
	w := t.waves[e.Deployment]
	if w == nil || !w.known(t.clock) || !w.rising(t.clock, t.serviceTime/2) {
		return 0
	}
	return peakHeadroom
}
