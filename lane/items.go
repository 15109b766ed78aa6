package lane

import (
	"slices"
	"time"
)

// item is one batch item that the queue knows.
type item struct {
	Item
	running  bool
	yielding bool // it is being cut
	started  time.Time
	tokens   float64 // generated since started
	arrival  uint64
	fresh    bool // it has never run here
}

// batchCount counts running items.
type batchCount struct {
	running  int
	yielding int // of them, being cut
	fixed    int // of them, not preemptible
}

// fixedShare is the part of the slots that items which can't be cut may take,
// at least one slot.
const fixedShare = 4

// IdleBatchSlots returns how many more items the queue could start now.
func (q *Queue) IdleBatchSlots() int {
	if q.fair.size > 0 {
		return 0
	}
	return max(0, q.room()-len(q.parked))
}

// WaitingItems returns the number of items that wait for an idle slot.
func (q *Queue) WaitingItems() int { return len(q.parked) }

// RunningItems returns the number of items at the endpoint.
func (q *Queue) RunningItems() int { return q.batch.running }

// AddItem takes an item: it starts in an idle slot or waits for one.
func (q *Queue) AddItem(now time.Time, i Item) Decision {
	q.begin()
	it := &item{Item: i, arrival: q.fair.seq, fresh: true}
	q.items[i.ID] = it
	q.parked = append(q.parked, it)
	return q.decide(now)
}

// RecordProgress tells the queue how many tokens a running item has generated.
func (q *Queue) RecordProgress(id string, tokens float64) {
	if it, ok := q.items[id]; ok {
		it.tokens = tokens
	}
}

// FinishItem tells the queue that an item has left the endpoint, whether it was cut
// or is complete, and forgets it.
func (q *Queue) FinishItem(now time.Time, id string) Decision {
	q.begin()
	q.forget(now, id)
	return q.decide(now)
}

// RequeueItem tells the queue that a cut item has left the endpoint and waits at the
// sidecar for an idle slot, before the others.
func (q *Queue) RequeueItem(now time.Time, id string, prompt float64) Decision {
	q.begin()
	it, ok := q.items[id]
	if !ok || !it.running {
		return q.out
	}
	q.stop(now, it)
	it.PromptTokens = prompt
	it.tokens = 0
	q.parked = slices.Insert(q.parked, 0, it)
	return q.decide(now)
}

// CancelItem forgets an item that waits for an idle slot. It returns false if
// the item doesn't wait.
func (q *Queue) CancelItem(id string) bool {
	it, ok := q.items[id]
	if !ok || it.running {
		return false
	}
	q.forget(time.Time{}, id)
	return true
}

func (q *Queue) forget(now time.Time, id string) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	delete(q.items, id)
	if it.running {
		q.stop(now, it)
		return
	}
	for i, p := range q.parked {
		if p == it {
			q.parked = append(q.parked[:i], q.parked[i+1:]...)
			return
		}
	}
}

func (q *Queue) stop(now time.Time, it *item) {
	q.first.steps.ended(now, it.yielding)
	it.fresh = false
	q.batch.running--
	if it.yielding {
		q.batch.yielding--
	}
	if !it.Preemptible {
		q.batch.fixed--
	}
	it.running = false
	it.yielding = false
}

// room returns how many more items may run.
func (q *Queue) room() int {
	idle := q.opts.Slots - len(q.running) - q.batch.running
	return min(idle, q.limit.current(len(q.running))-q.batch.running)
}

// fill starts parked items in idle slots.
func (q *Queue) fill(now time.Time) {
	for i := 0; i < len(q.parked) && q.room() > 0; {
		if !q.mayStart(q.parked[i]) {
			i++
			continue
		}
		q.startItem(now, i)
	}
}

func (q *Queue) mayStart(it *item) bool {
	return it.Preemptible || q.batch.fixed < max(1, q.opts.Slots/fixedShare)
}

func (q *Queue) startItem(now time.Time, i int) {
	it := q.parked[i]
	q.parked = append(q.parked[:i], q.parked[i+1:]...)
	it.running = true
	it.started = now
	q.batch.running++
	if !it.Preemptible {
		q.batch.fixed++
	}
	q.out.Start = append(q.out.Start, it.ID)
	prompt := 0.0
	if it.fresh {
		prompt = it.PromptTokens
	}
	q.first.steps.started(now, prompt, prompt)
}

// yield cuts items, those with the least work lost first, until the rest fits
// beside all online requests, running and waiting.
func (q *Queue) yield() {
	held := q.batch.running - q.batch.yielding - q.batch.fixed
	over := held - q.limit.current(len(q.running)+q.fair.size)
	for range over {
		it := q.cheapest()
		if it == nil {
			return
		}
		q.cut(it)
	}
}

func (q *Queue) cut(it *item) {
	it.yielding = true
	q.batch.yielding++
	q.out.Preempt = append(q.out.Preempt, it.ID)
}

// fillOrHold starts parked items unless the first token of an online request
// goes before them.
func (q *Queue) fillOrHold(now time.Time) {
	if !q.held(now) {
		q.fill(now)
		return
	}
	if len(q.parked) > 0 {
		q.out.Wake = q.first.holdUntil
	}
}

// cheapest returns the running item that loses the least by a cut. Between
// equals it is the one that started last.
func (q *Queue) cheapest() *item {
	var best *item
	for _, it := range q.items {
		if !it.mayYield() {
			continue
		}
		if best == nil || it.cheaper(best) {
			best = it
		}
	}
	return best
}

// byLoss returns all items that may be cut, those that lose the least first.
func (q *Queue) byLoss() []*item {
	list := make([]*item, 0, len(q.items))
	for _, it := range q.items {
		if it.mayYield() {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b *item) int {
		if a.cheaper(b) {
			return -1
		}
		return 1
	})
	return list
}

func (it *item) mayYield() bool { return it.running && !it.yielding && it.Preemptible }

func (it *item) cheaper(other *item) bool {
	a, b := it.loss(), other.loss()
	if a != b {
		return a < b
	}
	if !it.started.Equal(other.started) {
		return it.started.After(other.started)
	}
	return it.ID < other.ID
}

// prefillPerToken is the cost of computing a prompt token again, in generated
// tokens: a prefill runs many tokens in one step.
const prefillPerToken = 1.0 / 64

// loss returns the work that a cut throws away, in generated tokens.
func (it *item) loss() float64 {
	loss := (it.PromptTokens + it.tokens) * prefillPerToken
	if !it.Resumable {
		loss += it.tokens
	}
	return loss
}
