package lane

import (
	"slices"
	"time"
)

// item is a batch item that waits or runs.
type item struct {
	Item
	running         bool
	preempting      bool // a Decision has preempted it, and it still holds its slot
	started         time.Time
	generatedTokens float64 // since started
	arrivalSeq      uint64  // sequence number of the last request that arrived before it
	neverRan        bool    // it has not run at this endpoint yet
}

// batchCount counts running items.
type batchCount struct {
	running        int
	preempting     int // of them, being preempted
	nonPreemptible int // of them, not preemptible
}

// nonPreemptibleDivisor bounds the items that run and can't be preempted: they
// take at most Slots/nonPreemptibleDivisor slots, or one slot if that is less than
// one.
const nonPreemptibleDivisor = 4

// IdleBatchSlots returns how many more items the queue could start now.
func (q *Queue) IdleBatchSlots() int {
	if q.fair.size > 0 {
		return 0
	}
	return max(0, q.freeBatchSlots()-len(q.waitingItems))
}

// WaitingItems returns the number of items that wait for an idle slot.
func (q *Queue) WaitingItems() int { return len(q.waitingItems) }

// RunningItems returns the number of items that run at the endpoint.
func (q *Queue) RunningItems() int { return q.batch.running }

// AddItem adds an item, which is started in an idle slot or waits for one.
func (q *Queue) AddItem(now time.Time, i Item) Decision {
	q.resetDecision()
	it := &item{Item: i, arrivalSeq: q.fair.seq, neverRan: true}
	q.items[i.ID] = it
	q.waitingItems = append(q.waitingItems, it)
	return q.decide(now)
}

// RecordProgress records how many tokens a running item has generated since it
// started.
func (q *Queue) RecordProgress(id string, tokens float64) {
	if it, ok := q.items[id]; ok {
		it.generatedTokens = tokens
	}
}

// FinishItem records that an item has left the endpoint, because it is complete
// or was preempted, and removes it.
func (q *Queue) FinishItem(now time.Time, id string) Decision {
	q.resetDecision()
	q.removeItem(now, id)
	return q.decide(now)
}

// RequeueItem records that a preempted item has left the endpoint, and queues it
// at the sidecar before all other waiting items. prompt is the number of tokens
// of its prompt from now on, which include those generated so far if the item is
// resumable.
func (q *Queue) RequeueItem(now time.Time, id string, prompt float64) Decision {
	q.resetDecision()
	it, ok := q.items[id]
	if !ok || !it.running {
		return q.decision
	}
	q.itemStopped(now, it)
	it.PromptTokens = prompt
	it.generatedTokens = 0
	q.waitingItems = slices.Insert(q.waitingItems, 0, it)
	return q.decide(now)
}

// CancelItem removes an item that waits for an idle slot. It returns false if
// the item is not waiting.
func (q *Queue) CancelItem(id string) bool {
	it, ok := q.items[id]
	if !ok || it.running {
		return false
	}
	q.removeItem(time.Time{}, id)
	return true
}

func (q *Queue) removeItem(now time.Time, id string) {
	it, ok := q.items[id]
	if !ok {
		return
	}
	delete(q.items, id)
	if it.running {
		q.itemStopped(now, it)
		return
	}
	for i, p := range q.waitingItems {
		if p == it {
			q.waitingItems = append(q.waitingItems[:i], q.waitingItems[i+1:]...)
			return
		}
	}
}

func (q *Queue) itemStopped(now time.Time, it *item) {
	q.firstToken.steps.sequenceEnded(now, it.preempting)
	it.neverRan = false
	q.batch.running--
	if it.preempting {
		q.batch.preempting--
	}
	if !it.Preemptible {
		q.batch.nonPreemptible--
	}
	it.running = false
	it.preempting = false
}

// freeBatchSlots returns how many more items may run.
func (q *Queue) freeBatchSlots() int {
	idle := q.opts.Slots - len(q.running) - q.batch.running
	return min(idle, q.limit.maxItems(len(q.running))-q.batch.running)
}

// startItems starts waiting items in idle slots.
func (q *Queue) startItems(now time.Time) {
	for i := 0; i < len(q.waitingItems) && q.freeBatchSlots() > 0 && q.cold.ready(now); {
		if !q.canStart(q.waitingItems[i]) {
			i++
			continue
		}
		q.startItem(now, i)
	}
}

func (q *Queue) canStart(it *item) bool {
	return it.Preemptible || q.batch.nonPreemptible < max(1, q.opts.Slots/nonPreemptibleDivisor)
}

func (q *Queue) startItem(now time.Time, i int) {
	it := q.waitingItems[i]
	q.waitingItems = append(q.waitingItems[:i], q.waitingItems[i+1:]...)
	it.running = true
	it.started = now
	q.batch.running++
	if !it.Preemptible {
		q.batch.nonPreemptible++
	}
	q.decision.Start = append(q.decision.Start, it.ID)
	q.cold.started(now)
	prompt := 0.0
	if it.neverRan {
		prompt = it.PromptTokens
	}
	q.firstToken.steps.sequenceStarted(now, prompt, prompt)
}

// preemptExcess preempts items, those that lose the least work first, until the
// remaining ones fit beside all online requests, running and waiting.
func (q *Queue) preemptExcess() {
	preemptible := q.batch.running - q.batch.preempting - q.batch.nonPreemptible
	excess := preemptible - q.limit.maxItems(len(q.running)+q.fair.size)
	for range excess {
		it := q.cheapestToPreempt()
		if it == nil {
			return
		}
		q.preempt(it)
	}
}

func (q *Queue) preempt(it *item) {
	it.preempting = true
	q.batch.preempting++
	q.decision.Preempt = append(q.decision.Preempt, it.ID)
}

// startOrDeferItems starts waiting items unless they are deferred until the
// first token of an online request.
func (q *Queue) startOrDeferItems(now time.Time) {
	if !q.itemsDeferred(now) {
		q.startItems(now)
		return
	}
	if len(q.waitingItems) > 0 {
		q.decision.Wake = q.firstToken.deferUntil
	}
}

// cheapestToPreempt returns the running item that loses the least work when it
// is preempted; among equals, the one that started last. It returns nil if no
// item can be preempted.
func (q *Queue) cheapestToPreempt() *item {
	var best *item
	for _, it := range q.items {
		if !it.canPreempt() {
			continue
		}
		if best == nil || it.losesLessThan(best) {
			best = it
		}
	}
	return best
}

// preemptibleByLoss returns all items that can be preempted, those that lose the
// least work first.
func (q *Queue) preemptibleByLoss() []*item {
	list := make([]*item, 0, len(q.items))
	for _, it := range q.items {
		if it.canPreempt() {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b *item) int {
		if a.losesLessThan(b) {
			return -1
		}
		return 1
	})
	return list
}

func (it *item) canPreempt() bool { return it.running && !it.preempting && it.Preemptible }

func (it *item) losesLessThan(other *item) bool {
	a, b := it.loss(), other.loss()
	if a != b {
		return a < b
	}
	if !it.started.Equal(other.started) {
		return it.started.After(other.started)
	}
	return it.ID < other.ID
}

// prefillCostPerToken is the cost of computing a prompt token again, in generated
// tokens: a prefill computes many tokens in one step.
const prefillCostPerToken = 1.0 / 64

// loss returns the work that preemption discards, in generated tokens.
func (it *item) loss() float64 {
	loss := (it.PromptTokens + it.generatedTokens) * prefillCostPerToken
	if !it.Resumable {
		loss += it.generatedTokens
	}
	return loss
}
