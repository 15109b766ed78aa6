package lane

import (
	"time"

	"dandelionrelay/invariant"
)

// Queue holds the requests and items that run at one endpoint and those that
// wait for it. It is not safe for concurrent use.
type Queue struct {
	opts         Options
	fair         fairQueue
	waiting      map[string]*waitingRequest // online requests that wait for a slot
	running      map[string]*runningRequest // online requests at the endpoint
	items        map[string]*item
	waitingItems []*item // items that wait for an idle slot, in the order in which they start
	batch        batchCount
	limit        limiter
	rate         rateEstimate
	firstToken   firstTokenControl
	cold         coldLimit
	decision     Decision
}

// runningRequest is an online request that runs at the endpoint.
type runningRequest struct {
	Request
	started       time.Time
	hasFirstToken bool // its first token has been received
}

// New returns an empty queue.
func New(o Options) *Queue {
	if o.MaxQueued == 0 {
		o.MaxQueued = DefaultMaxQueued
	}
	return &Queue{
		opts:       o,
		fair:       newFairQueue(),
		waiting:    make(map[string]*waitingRequest),
		running:    make(map[string]*runningRequest),
		items:      make(map[string]*item),
		limit:      newLimiter(o.Limit, o.Slots),
		firstToken: firstTokenControl{maxRatio: o.FirstTokenRatio},
	}
}

// SetSlots changes the number of requests and items that the endpoint runs at
// once.
func (q *Queue) SetSlots(now time.Time, n int) Decision {
	q.resetDecision()
	q.opts.Slots = n
	q.limit.slots = n
	return q.decide(now)
}

// Arrive adds an online request, which is started, queued or refused.
func (q *Queue) Arrive(now time.Time, r Request) Decision {
	q.resetDecision()
	w := q.fair.push(r)
	q.waiting[r.ID] = w
	if wait := q.remainingWait(now, w); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		q.refuse(now, w, DeadlineMiss)
	}
	d := q.decide(now)
	if most, reason := q.maxWaiting(now); q.fair.size > most {
		q.refuse(now, q.fair.lastOfLargestBacklog(), reason)
		d = q.decision
	}
	return d
}

// Cancel removes a waiting request whose caller has left. It returns false if
// the request is not waiting, because it has started, ended or was refused.
func (q *Queue) Cancel(id string) bool {
	w, ok := q.waiting[id]
	if !ok {
		return false
	}
	delete(q.waiting, id)
	q.fair.remove(w)
	return true
}

// RecordFirstToken records d, the time from the arrival of a request to the first
// byte of its response. An adaptive limit on batch slots changes with it.
func (q *Queue) RecordFirstToken(now time.Time, id string, d time.Duration) Decision {
	q.resetDecision()
	if r, ok := q.running[id]; ok {
		q.removePending(r)
	}
	q.limit.observe(now, d)
	return q.decide(now)
}

// Finish records that an online request has ended, and the tokens that it used;
// a cost of 0 leaves the estimate as it was.
func (q *Queue) Finish(now time.Time, id string, cost float64) Decision {
	q.resetDecision()
	r, ok := q.running[id]
	if !ok {
		return q.decision
	}
	q.removePending(r)
	q.firstToken.steps.sequenceEnded(now, false)
	delete(q.running, id)
	if cost > 0 {
		q.fair.adjustCost(r.Customer, cost-r.Cost)
	} else {
		cost = r.Cost
	}
	q.rate.observe(cost, now.Sub(r.started))
	return q.decide(now)
}

// Waiting returns the number of waiting online requests.
func (q *Queue) Waiting() int { return q.fair.size }

// Running returns the number of online requests that run at the endpoint.
func (q *Queue) Running() int { return len(q.running) }

func (q *Queue) resetDecision() {
	q.decision.Start = q.decision.Start[:0]
	q.decision.Preempt = q.decision.Preempt[:0]
	q.decision.Refuse = q.decision.Refuse[:0]
	q.decision.Wake = time.Time{}
}

// refuse removes a waiting request and adds its refusal to the decision.
func (q *Queue) refuse(now time.Time, w *waitingRequest, reason Reason) {
	retry := q.remainingWait(now, w)
	delete(q.waiting, w.ID)
	q.fair.remove(w)
	q.decision.Refuse = append(q.decision.Refuse, Refusal{ID: w.ID, Reason: reason, RetryAfter: retry})
}

// decide starts waiting requests and items and preempts items, as the policy
// the free slots and, while the endpoint is cold, its rate allow.
func (q *Queue) decide(now time.Time) Decision {
	if q.opts.Policy == FIFO {
		q.decideFIFO(now)
	} else {
		q.decideLanes(now)
	}
	q.wakeForToken(now)
	return q.decision
}

// decideLanes starts online requests, preempts items for them, and starts items if none
// waits.
func (q *Queue) decideLanes(now time.Time) {
	for q.fair.size > 0 && q.freeOnlineSlots() > 0 && q.cold.ready(now) {
		q.startOnline(now, q.fair.pop())
	}
	if q.opts.Policy == PreemptivePriority {
		q.preemptExcess()
	}
	if q.fair.size == 0 {
		q.startOrDeferItems(now)
	}
	q.checkPriority()
}

// freeOnlineSlots returns the number of slots that online requests may take
// now. Items that can't be preempted do not count against them.
func (q *Queue) freeOnlineSlots() int {
	used := len(q.running) + q.batch.running
	if q.opts.Policy == PreemptivePriority {
		used -= q.batch.nonPreemptible
	}
	return q.opts.Slots - used
}

func (q *Queue) startOnline(now time.Time, w *waitingRequest) {
	delete(q.waiting, w.ID)
	q.running[w.ID] = &runningRequest{Request: w.Request, started: now}
	q.decision.Start = append(q.decision.Start, w.ID)
	q.cold.started(now)
	q.preemptForFirstToken(now, w.PromptTokens)
}

// checkPriority asserts that no online request waits while an item that could
// be preempted for it keeps its slot.
func (q *Queue) checkPriority() {
	if q.opts.Policy != PreemptivePriority || q.fair.size == 0 {
		return
	}
	preemptible := q.batch.running - q.batch.nonPreemptible - q.batch.preempting
	q.opts.Invariants.Check(
		preemptible == 0 || q.batch.preempting >= q.fair.size,
		invariant.OnlineBeforeBatch,
		"%d online requests are waiting, %d preemptible items are running, %d are being preempted", q.fair.size, preemptible, q.batch.preempting,
	)
}
