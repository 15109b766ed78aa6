package sidecar

import (
	"sync"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/lane"
)

// scheduler carries out the decisions of a lane.Queue.
type scheduler struct {
	mu      sync.Mutex
	queue   *lane.Queue
	slots   int
	tickets map[string]*ticket
	idle    chan struct{} // signalled when items could start
	usage   usage
	metrics *metrics
	wake    *time.Timer
}

// ticket is the place of a request or an item in the queue.
type ticket struct {
	started chan struct{}     // signalled at each start
	refused chan lane.Refusal // gets at most one
	cut     func()            // cancels the run of an item; nil for requests
	queued  time.Time
	admission
}

func newScheduler(o lane.Options, m *metrics) *scheduler {
	s := &scheduler{
		queue:   lane.New(o),
		slots:   o.Slots,
		tickets: make(map[string]*ticket),
		idle:    make(chan struct{}, 1),
		metrics: m,
	}
	s.recordUsage(time.Now())
	return s
}

func newTicket(cut func()) *ticket {
	return &ticket{started: make(chan struct{}, 1), refused: make(chan lane.Refusal, 1), cut: cut, queued: time.Now()}
}

// follow takes over the settings of a deployment.
func (s *scheduler) follow(d config.Deployment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.SetFirstTokenRatio(d.FirstTokenBound())
	if d.Slots != s.slots {
		s.slots = d.Slots
		s.apply(s.queue.SetSlots(time.Now(), d.Slots))
	}
}

// arrive queues an online request.
func (s *scheduler) arrive(r lane.Request) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := newTicket(nil)
	t.admission = newAdmission(s.slots, s.queue.Running()+s.queue.Waiting(), s.queue.RunningItems())
	s.tickets[r.ID] = t
	s.apply(s.queue.Arrive(time.Now(), r))
	return t
}

// leave gives up a waiting request. It returns false if the request has
// started; finish must follow then.
func (s *scheduler) leave(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.tickets[id]; !known {
		return true // it was refused
	}
	if !s.queue.Cancel(id) {
		return false
	}
	delete(s.tickets, id)
	s.signalIdle()
	return true
}

// finish ends a started request; cost 0 leaves the estimate.
func (s *scheduler) finish(id string, cost float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
	s.apply(s.queue.Finish(time.Now(), id, cost))
}

// firstToken takes an online request's time to the first byte of its answer.
func (s *scheduler) firstToken(id string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.RecordFirstToken(time.Now(), id, d))
}

// token takes a token of an online request.
func (s *scheduler) token() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RecordToken(time.Now())
}

// tick lets items start that were held.
func (s *scheduler) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(s.queue.Tick(time.Now()))
}

// offer queues an item, whose run cut cancels.
func (s *scheduler) offer(i lane.Item, cut func()) *ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := newTicket(cut)
	s.tickets[i.ID] = t
	s.apply(s.queue.AddItem(time.Now(), i))
	return t
}

func (s *scheduler) progress(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue.RecordProgress(id, float64(tokens))
	s.queue.RecordToken(time.Now())
}

// park returns a cut item to the queue.
func (s *scheduler) park(id string, prompt float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[id].queued = time.Now()
	s.apply(s.queue.RequeueItem(time.Now(), id, prompt))
}

// withdraw takes out an item that waits; false means that it has started.
func (s *scheduler) withdraw(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.queue.CancelItem(id) {
		return false
	}
	delete(s.tickets, id)
	s.signalIdle()
	return true
}

// ended takes out an item that has left the endpoint.
func (s *scheduler) ended(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tickets, id)
	s.apply(s.queue.FinishItem(time.Now(), id))
}

// idleSlots returns the number of items that could start now.
func (s *scheduler) idleSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.IdleBatchSlots()
}

func (s *scheduler) wait() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.queue.EstimateWait()
}

// apply carries out d. The caller holds the lock.
func (s *scheduler) apply(d lane.Decision) {
	now := time.Now()
	s.recordUsage(now)
	for _, id := range d.Start {
		s.metrics.started(s.tickets[id], now)
		s.tickets[id].started <- struct{}{}
	}
	s.metrics.preemptions.Add(float64(len(d.Preempt)))
	for _, id := range d.Preempt {
		s.tickets[id].cut()
	}
	for _, r := range d.Refuse {
		s.metrics.queueRefused(r.Reason)
		s.tickets[r.ID].refused <- r
		delete(s.tickets, r.ID)
	}
	s.setWake(d.Wake)
	s.signalIdle()
}

// setWake calls tick at that time, if it is set. The caller holds the lock.
func (s *scheduler) setWake(at time.Time) {
	if at.IsZero() {
		return
	}
	d := time.Until(at)
	if s.wake == nil {
		s.wake = time.AfterFunc(d, s.tick)
		return
	}
	s.wake.Reset(d)
}

// signalIdle wakes the pull loop if items could start. The caller holds the
// lock.
func (s *scheduler) signalIdle() {
	if s.queue.IdleBatchSlots() == 0 {
		return
	}
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// Load returns the numbers of online requests and of batch items that the
// endpoint runs.
func (s *Sidecar) Load() (online, batch int) {
	s.schedule.mu.Lock()
	defer s.schedule.mu.Unlock()
	return s.schedule.queue.Running(), s.schedule.queue.RunningItems()
}
