package sidecar

import (
	"sync"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/lane"
)

// scheduler applies the decisions of a lane.Queue to the requests and items of
// the sidecar.
type scheduler struct {
	mu        sync.Mutex
	queue     *lane.Queue
	slots     int
	tickets   map[string]*ticket
	slotIdle  chan struct{} // signalled when an item could start
	usage     usage
	metrics   *metrics
	wakeTimer *time.Timer

	cold      bool // as of the last call of setCold
	coldRate  float64
	coldUntil time.Time
}

// ticket represents a request or an item in the queue.
type ticket struct {
	started chan struct{}     // receives a value at each start
	refused chan lane.Refusal // receives at most one value
	preempt func()            // cancels the current run of an item; nil for requests
	queued  time.Time
	arrivalLoad
}

func newScheduler(o lane.Options, m *metrics) *scheduler {
	s := &scheduler{
		queue:    lane.New(o),
		slots:    o.Slots,
		tickets:  make(map[string]*ticket),
		slotIdle: make(chan struct{}, 1),
		metrics:  m,
	}
	s.recordUsage(time.Now())
	return s
}

func newTicket(preempt func()) *ticket {
	return &ticket{started: make(chan struct{}, 1), refused: make(chan lane.Refusal, 1), preempt: preempt, queued: time.Now()}
}

// applyDeployment applies the slots and the first-token ratio of d.
func (s *scheduler) applyDeployment(d config.Deployment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetFirstTokenRatio(d.FirstTokenBound())
	if d.Slots != s.slots {
		s.slots = d.Slots
		s.apply(s.queue.SetSlots(time.Now(), d.Slots))
	}
}

// submitRequest queues an online request and returns its ticket.
func (s *scheduler) submitRequest(r lane.Request) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := newTicket(nil)
	t.arrivalLoad = newArrivalLoad(s.slots, s.queue.Running()+s.queue.Waiting(), s.queue.RunningItems())
	s.tickets[r.ID] = t
	s.apply(s.queue.Arrive(time.Now(), r))
	return t
}

// cancelWaitingRequest removes a waiting request from the queue. It returns false
// if the request has started; the caller must call finishRequest then.
func (s *scheduler) cancelWaitingRequest(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.tickets[id]; !known {
		return true // the queue has refused it
	}
	if !s.queue.Cancel(id) {
		return false
	}
	delete(s.tickets, id)
	s.signalSlotIdle()
	return true
}

// finishRequest records that a started request has ended. cost is its measured
// cost in tokens; 0 keeps the estimate.
func (s *scheduler) finishRequest(id string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
	s.apply(s.queue.Finish(time.Now(), id, cost))
}

// recordFirstToken records the time from the arrival of an online request to
// the first byte of its response.
func (s *scheduler) recordFirstToken(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.RecordFirstToken(time.Now(), id, d))
}

// recordToken records that the endpoint has produced tokens of an online
// request.
func (s *scheduler) recordToken() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RecordToken(time.Now())
}

// tick applies the queue's decision at the wake time, which starts deferred
// items.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Tick(time.Now()))
}

// submitItem queues an item and returns its ticket. preempt is called with the lock held and must
// cancel the current run of the item.
func (s *scheduler) submitItem(i lane.Item, preempt func()) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := newTicket(preempt)
	s.tickets[i.ID] = t
	s.apply(s.queue.AddItem(time.Now(), i))
	return t
}

// recordProgress records the number of tokens that the current run of an item
// has produced so far.
func (s *scheduler) recordProgress(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RecordProgress(id, float64(tokens))
	s.queue.RecordToken(time.Now())
}

// requeueItem returns a preempted item to the queue. prompt is the number of
// tokens that the endpoint must now process before it generates.
func (s *scheduler) requeueItem(id string, prompt float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[id].queued = time.Now()
	s.apply(s.queue.RequeueItem(time.Now(), id, prompt))
}

// cancelWaitingItem removes a waiting item from the queue. It returns false if
// the item has started.
func (s *scheduler) cancelWaitingItem(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.CancelItem(id) {
		return false
	}
	delete(s.tickets, id)
	s.signalSlotIdle()
	return true
}

// finishItem removes an item that no longer runs at the endpoint.
func (s *scheduler) finishItem(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
	s.apply(s.queue.FinishItem(time.Now(), id))
}

// idleSlots returns the number of items that could start now, or soon at a cold endpoint.
func (s *scheduler) idleSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.StartableItems(time.Now())
}

// queueWait estimates how long a new online request waits for its start.
func (s *scheduler) queueWait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(s.queue.EstimateWait(), s.queue.ColdWait(time.Now()))
}

// setCold sets the limit of a cold endpoint and reports whether that made the endpoint
// cold, or ended it.
func (s *scheduler) setCold(now time.Time, rate float64, until time.Time) (changed, cold bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cold = rate > 0 && now.Before(until)
	changed = cold != s.cold
	s.cold = cold
	if s.coldRate == rate && s.coldUntil.Equal(until) {
		return changed, cold
	}
	s.coldRate, s.coldUntil = rate, until
	s.apply(s.queue.SetCold(now, rate, until))
	return changed, cold
}

// isCold reports whether the endpoint is cold.
func (s *scheduler) isCold(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Cold(now)
}

// mayPoll reports whether a health check takes no token for which a request or item waits
// now, or would have to wait if it arrived before the token is due.
func (s *scheduler) mayPoll(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.Waiting()+s.queue.WaitingItems() == 0 && s.queue.ColdWait(now) == 0
}

// reserveStart takes the next token of a cold endpoint and returns the time until it is
// due.
func (s *scheduler) reserveStart(now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.ReserveStart(now)
}

// apply starts, preempts and refuses requests and items according to d. The
// caller holds the lock.
func (s *scheduler) apply(d lane.Decision) {
	now := time.Now()
	s.recordUsage(now)
	for _, id := range d.Start {
		s.metrics.observeWait(s.tickets[id], now)
		s.tickets[id].started <- struct{}{}
	}
	s.metrics.preemptions.Add(float64(len(d.Preempt)))
	for _, id := range d.Preempt {
		s.tickets[id].preempt()
	}
	for _, r := range d.Refuse {
		s.metrics.countQueueRefusal(r.Reason)
		s.tickets[r.ID].refused <- r
		delete(s.tickets, r.ID)
	}
	s.scheduleWake(d.Wake)
	s.signalSlotIdle()
}

// scheduleWake schedules a call of tick for the time at, unless that is zero. The
// caller holds the lock.
func (s *scheduler) scheduleWake(at time.Time) {
	if at.IsZero() {
		return
	}
	d := time.Until(at)
	if s.wakeTimer == nil {
		s.wakeTimer = time.AfterFunc(d, s.tick)
		return
	}
	s.wakeTimer.Reset(d)
}

// signalSlotIdle wakes the pull loop if an item could start. The caller holds
// the lock.
func (s *scheduler) signalSlotIdle() {
	if s.queue.IdleBatchSlots() == 0 {
		return
	}
	select {
	case s.slotIdle <- struct{}{}:
	default:
	}
}

// Load returns the numbers of online requests and of batch items that the
// endpoint runs.
func (s *Sidecar) Load() (online, batch int) {
	s.scheduler.mu.Lock()
	defer s.scheduler.mu.Unlock()
	return s.scheduler.queue.Running(), s.scheduler.queue.RunningItems()
}
