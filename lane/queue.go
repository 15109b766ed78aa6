package lane

import (
	"time"

	"dandelionrelay/invariant"
)

// Queue holds what runs at one endpoint and what waits for it. It is not safe
// for concurrent use.
type Queue struct {
	opts    Options
	fair    fairQueue
	waiting map[string]*waiting
	running map[string]*run // online requests at the endpoint
	items   map[string]*item
	parked  []*item // items that wait for an idle slot, the first to start first
	batch   batchCount
	limit   limiter
	rate    rateEstimate
	first   firstTokens
	out     Decision
}

// run is an online request at the endpoint.
type run struct {
	Request
	started time.Time
	first   bool // its first token has come
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	return &Queue{
		opts:    o,
		fair:    newFairQueue(),
		waiting: make(map[string]*waiting),
		running: make(map[string]*run),
		items:   make(map[string]*item),
		limit:   newLimiter(o.Limit, o.Slots),
		first:   firstTokens{ratio: o.FirstTokenRatio},
	}
}

// SetSlots changes how many requests the endpoint runs at once.
func (q *Queue) SetSlots(now time.Time, n int) Decision {
	q.begin()
	q.opts.Slots = n
	q.limit.slots = n
	return q.decide(now)
}

// Arrive takes a new online request: it starts, waits or is refused.
func (q *Queue) Arrive(now time.Time, r Request) Decision {
	q.begin()
	w := q.fair.push(r)
	q.waiting[r.ID] = w
	if wait := q.wait(w); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		q.refuse(w, DeadlineMiss)
	}
	d := q.decide(now)
	if q.fair.size > q.opts.MaxQueued {
		q.refuse(q.fair.longest(), QueueFull)
		d = q.out
	}
	return d
}

// Cancel takes out a waiting request whose caller gave up. It returns false if
// the request doesn't wait, as it has started or was refused.
func (q *Queue) Cancel(id string) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	q.fair.remove(w)
	return true
}

// RecordFirstToken tells the queue the time from a request's arrival to the first
// byte of its answer. It steers how many slots batch may fill.
func (q *Queue) RecordFirstToken(now time.Time, id string, d time.Duration) Decision {
	q.begin()
	if r, ok := q.running[id]; ok {
		q.notAwaited(r)
	}
	q.limit.observe(now, d)
	return q.decide(now)
}

// Finish tells the queue that an online request has ended, and the tokens it
// took; 0 leaves the estimate as it was.
func (q *Queue) Finish(now time.Time, id string, cost float64) Decision {
	q.begin()
	r, ok := q.running[id]
	if !ok {
		return q.out
	}
	q.notAwaited(r)
	q.first.steps.ended(now, false)
	delete(q.running, id)
	if cost > 0 {
		q.fair.charge(r.Customer, cost-r.Cost)
	} else {
		cost = r.Cost
	}
	q.rate.observe(cost, now.Sub(r.started))
	return q.decide(now)
}

// Waiting returns the number of online requests that wait.
func (q *Queue) Waiting() int { return q.fair.size }

// Running returns the number of online requests at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) begin() {
	q.out.Start = q.out.Start[:0]
	q.out.Preempt = q.out.Preempt[:0]
	q.out.Refuse = q.out.Refuse[:0]
	q.out.Wake = time.Time{}
}

// refuse ends a waiting request.
func (q *Queue) refuse(w *waiting, reason Reason) {
	retry := q.wait(w)
	delete(q.waiting, w.ID)
	q.fair.remove(w)
	q.out.Refuse = append(q.out.Refuse, Refusal{ID: w.ID, Reason: reason, RetryAfter: retry})
}

// decide starts what may start and cuts what must yield.
func (q *Queue) decide(now time.Time) Decision {
	if q.opts.Policy == FIFO {
		q.decideFIFO(now)
		return q.out
	}
	for q.fair.size > 0 && q.free() > 0 {
		q.startOnline(now, q.fair.pop())
	}
	if q.opts.Policy == PreemptivePriority {
		q.yield()
	}
	if q.fair.size == 0 {
		q.fillOrHold(now)
	}
	q.check()
	return q.out
}

// free returns the slots that an online request may take now. Items that
// can't be cut take none.
func (q *Queue) free() int {
	used := len(q.running) + q.batch.running
	if q.opts.Policy == PreemptivePriority {
		used -= q.batch.fixed
	}
	return q.opts.Slots - used
}

func (q *Queue) startOnline(now time.Time, w *waiting) {
	delete(q.waiting, w.ID)
	q.running[w.ID] = &run{Request: w.Request, started: now}
	q.out.Start = append(q.out.Start, w.ID)
	q.protect(now, w.PromptTokens)
}

// check asserts that no online request waits while an item holds a slot that
// it could yield.
func (q *Queue) check() {
	if q.opts.Policy != PreemptivePriority || q.fair.size == 0 {
		return
	}
	held := q.batch.running - q.batch.fixed - q.batch.yielding
	q.opts.Invariants.Check(
		held == 0 || q.batch.yielding >= q.fair.size,
		invariant.OnlineBeforeBatch,
		"%d online requests wait, %d items run, %d are being cut", q.fair.size, held, q.batch.yielding,
	)
}
