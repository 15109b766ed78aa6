package placement

import (
	"cmp"
	"slices"
	"time"
)

// entryItems is the number of batch items of an entry at an endpoint.
type entryItems struct {
	id    string
	items int
	firm  int // of items
}

// preemptionsDue returns how many more of this entry's batch items at e must be
// preempted.
func (t *Table) preemptionsDue(e *endpoint) int {
	if e.local.Batch == 0 {
		return 0 // most endpoints: this is asked for all of them with each report
	}
	excess := e.online() + e.batch() + t.headroom(e) - e.Slots
	if excess <= 0 {
		return 0
	}
	counts := []entryItems{{id: t.self, items: e.local.Batch, firm: t.firmItems(e)}}
	for id, r := range t.peers {
		if l := r.Loads[e.key]; l.Batch > 0 {
			counts = append(counts, entryItems{id: id, items: l.Batch, firm: min(l.Firm, l.Batch)})
		}
	}
	slices.SortFunc(counts, func(a, b entryItems) int { return cmp.Compare(a.id, b.id) })
	due := 0
	for range min(excess, e.batch()) {
		next := nextEntryToPreempt(counts)
		counts[next].items--
		counts[next].firm = min(counts[next].firm, counts[next].items)
		if counts[next].id == t.self {
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

// nextEntryToPreempt returns the index of the entry that preempts the next item: the one with
// the most items that are not firm or, if all are, with the most items.
func nextEntryToPreempt(counts []entryItems) int {
	next := 0
	for i, c := range counts {
		n := counts[next]
		if order := cmp.Compare(c.items-c.firm, n.items-n.firm); order > 0 || order == 0 && c.items > n.items {
			next = i
		}
	}
	return next
}

// nextGrantToPreempt returns the batch grant at e that is preempted next, or nil if there is
// none: one that is not firm before those that are, then the one with the longest time
// left, then the newest.
func (t *Table) nextGrantToPreempt(e *endpoint) *Grant {
	var next *Grant
	for g := range e.grants {
		if !g.preempting && (next == nil || t.preemptedBefore(g, next)) {
			next = g
		}
	}
	return next
}

// preemptedBefore reports whether a is preempted before b.
func (t *Table) preemptedBefore(a, b *Grant) bool {
	if firm := t.firm(a); firm != t.firm(b) {
		return !firm
	}
	if a.item.Remaining > 0 && b.item.Remaining > 0 && a.remaining(t.clock) != b.remaining(t.clock) {
		return a.remaining(t.clock) > b.remaining(t.clock)
	}
	return a.start > b.start
}

// firmItems returns the number of this entry's items at e that are preempted last.
func (t *Table) firmItems(e *endpoint) int {
	n := 0
	for g := range e.grants {
		if t.firm(g) {
			n++
		}
	}
	return n
}

// firm reports whether an item is preempted last in a wave: it is nearly complete, or it is
// in time only if it runs on.
func (t *Table) firm(g *Grant) bool {
	w := t.waves[g.Endpoint.Deployment]
	if w == nil || g.item.Remaining == 0 || !w.known(t.clock) {
		return false
	}
	left := g.remaining(t.clock)
	if left < time.Duration(firmShare*float64(w.highLength())) {
		return true
	}
	slack := g.item.UntilDue - (t.clock - g.start) - left
	return g.item.Due && slack >= 0 && slack < w.highLength()
}

// remaining returns the time that the item of g still takes at now.
func (g *Grant) remaining(now time.Duration) time.Duration {
	return max(0, g.item.Remaining-(now-g.start))
}
