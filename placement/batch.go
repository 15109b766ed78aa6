package placement

import (
	"cmp"
	"slices"
	"time"
)

// PlaceBatch takes a slot that neither online requests nor batch items use, or
// returns nil. yield is called without locks when the slot is wanted back; it
// must not block.
func (t *Table) PlaceBatch(now time.Duration, ask Request, yield func()) *Grant {
	t.mu.Lock()
	defer t.mu.Unlock()
	var best *endpoint
	var most float64
	group := t.group(ask.Deployment)
	spare := group.tooManyErr()
	for _, e := range group.own() {
		if !e.takes(ask) || now < e.suspended || now < e.full || !spare && e.passedOver(ask) {
			continue
		}
		free := e.Slots - reserve - e.online() - e.batch()
		if free <= 0 {
			continue
		}
		room := float64(free) / group.slowness(e)
		if e.DataCentre == t.dataCentre {
			room++
		}
		room += t.random.Float64()
		if best == nil || room > most {
			best, most = e, room
		}
	}
	if best == nil {
		return nil
	}
	return t.grant(best, Batch, now, yield)
}

// PreemptBatch has batch items give their slots to online requests that wait. Entries
// decide alike from the same counts: the one with the most items at an
// endpoint gives first.
func (t *Table) PreemptBatch() {
	var ask []func()
	t.mu.Lock()
	for _, e := range t.endpoints {
		for range t.owed(e) {
			g := e.youngest()
			if g == nil {
				break
			}
			g.yielding = true
			ask = append(ask, g.yield)
		}
	}
	t.mu.Unlock()
	for _, yield := range ask {
		yield()
	}
}

// holder is one entry with batch items at an endpoint.
type holder struct {
	id    string
	items int
}

// owed returns how many of this entry's items must leave e.
func (t *Table) owed(e *endpoint) int {
	excess := e.online() + e.batch() - e.Slots
	if excess <= 0 || e.own.Batch == 0 {
		return 0
	}
	holders := []holder{{id: t.self, items: e.own.Batch}}
	for id, r := range t.peers {
		if n := r.Loads[e.key].Batch; n > 0 {
			holders = append(holders, holder{id: id, items: n})
		}
	}
	slices.SortFunc(holders, func(a, b holder) int { return cmp.Compare(a.id, b.id) })
	own := 0
	for range min(excess, e.batch()) {
		giver := 0
		for i, h := range holders {
			if h.items > holders[giver].items {
				giver = i
			}
		}
		holders[giver].items--
		if holders[giver].id == t.self {
			own++
		}
	}
	for g := range e.grants {
		if g.yielding {
			own--
		}
	}
	return own
}

// youngest returns the grant that has run for the shortest time and is not
// yielding yet; nil if there is none.
func (e *endpoint) youngest() *Grant {
	var found *Grant
	for g := range e.grants {
		if g.yielding {
			continue
		}
		if found == nil || g.since > found.since {
			found = g
		}
	}
	return found
}
