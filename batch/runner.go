package batch

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/origin"
	"dandelionrelay/placement"
	"dandelionrelay/sleep"
)

// Intervals and delays of the runner.
const (
	// minPlanInterval is the minimum interval between two calls of plan.
	minPlanInterval = 15 * time.Millisecond
	// maxPlanInterval is the maximum interval between two calls of plan while items
	// wait.
	maxPlanInterval = 250 * time.Millisecond
	// listDelay is how long a finished item waits for others, to list their
	// results in one append.
	listDelay = 120 * time.Millisecond
	// failGrace is how long an item is still run after the time from which it may be
	// failed, as the wall clocks of entries may differ.
	failGrace = 10 * time.Second
)

// itemID identifies an item by its job and its index in the job.
type itemID struct {
	job  string
	item int
}

// phase is the state of an item at the entry that owns its job.
type phase int

const (
	phaseWaiting phase = iota
	phaseRunning
	phaseFinished // its result is not listed yet
)

// progress is the state of an item of a job that this entry owns.
type progress struct {
	id    itemID
	phase phase

	mu                 sync.Mutex    // guards the fields up to checkpointedEvents while the item runs
	output             []byte        // data of the events so far, separated by line feeds
	origin             origin.Origin // of the output; zero: there is none
	events             int
	cursor             eventstream.Cursor
	checkpointedEvents int // events in the newest checkpoint

	failures      int                       // failed attempts
	avoid         avoidedEndpoint           // endpoint of the last failed attempt
	losses        int                       // runs that were lost or met an unmet condition, since the last new event
	timeouts      int                       // runs that timed out, up to maxTimeoutDoublings
	oversizedRuns int                       // runs whose output exceeded the limit on stored outputs
	missingSince  time.Duration             // time of Clock since which no slot is free at an endpoint of origin; 0: one was
	notBefore     time.Duration             // time of Clock before which the item does not run again
	intervals     eventstream.IntervalMeter // of the current run
	cancel        context.CancelFunc
	result        Result // set in phaseFinished
}

// avoidedEndpoint is an endpoint at which an item is not placed until a time.
type avoidedEndpoint struct {
	endpoint placement.Key
	until    time.Duration // time of Clock
}

// avoidSet returns the endpoint as a set for placement.Request, or nil if now is not
// before until.
func (a avoidedEndpoint) avoidSet(now time.Duration) map[placement.Key]bool {
	if now >= a.until {
		return nil
	}
	return map[placement.Key]bool{a.endpoint: true}
}

// runner runs the items of the jobs that this entry owns.
type runner struct {
	*Service
	wake     chan struct{} // signals planLoop to call plan
	finished chan struct{} // signals finished items to listLoop

	estimates *estimator

	outputSequence uint64 // sequence number of the newest output key, failed attempts to store included; used by listLoop only

	drainSignal chan struct{} // signals checkpointLoop that draining has begun

	mu       sync.Mutex
	items    map[itemID]*progress
	held     map[string]bool // jobs whose items may not start yet, by ID
	draining bool            // no further items are started
}

func newRunner(s *Service) *runner {
	return &runner{
		Service:     s,
		estimates:   newEstimator(),
		wake:        make(chan struct{}, 1),
		finished:    make(chan struct{}, 1),
		drainSignal: make(chan struct{}, 1),
		items:       make(map[itemID]*progress),
		held:        make(map[string]bool),
	}
}

// signal sends to c, a channel with a buffer of one, unless a signal is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wake makes the Service start and cancel items after a change of jobs or slots. It
// never blocks.
func (s *Service) Wake() { signal(s.runner.wake) }

// Drain stops starting items and taking over jobs, and triggers checkpoints of
// unfinished items; running ones continue. It does not wait for them.
func (s *Service) Drain() {
	s.runner.mu.Lock()
	s.runner.draining = true
	s.runner.mu.Unlock()
	signal(s.runner.drainSignal)
}

// Run runs items, lists results, stores checkpoints, takes over jobs and deletes
// expired ones until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.runner.planLoop(ctx) })
	wg.Go(func() { s.runner.listLoop(ctx) })
	wg.Go(func() { s.takeOverLoop(ctx) })
	wg.Go(func() { s.expireLoop(ctx) })
	wg.Go(func() { s.runner.checkpointLoop(ctx) })
	wg.Wait()
}

// planLoop calls plan on each wake signal, at least every maxPlanInterval while items
// wait and every minute otherwise, until ctx ends.
func (r *runner) planLoop(ctx context.Context) {
	timer := time.NewTimer(maxPlanInterval)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if !sleep.For(ctx, minPlanInterval-time.Since(last)) {
			return
		}
		last = time.Now()
		pending := r.plan(ctx)
		if pending {
			timer.Reset(maxPlanInterval)
		} else {
			timer.Reset(time.Minute)
		}
	}
}

// runnableItem is a waiting item of an open job that this entry owns.
type runnableItem struct {
	*progress
	job  view
	due  time.Time
	late bool // it can't complete by its due time any more
	// times is what is known of its time, and turn its position among its customer's.
	times placement.ItemTimes
	turn  int
}

// plan starts items where slots are free, in the order of sortRunnable, and
// cancels those that this entry no longer owns. It reports whether items still
// wait.
func (r *runner) plan(ctx context.Context) bool {
	snapshot := r.Config.Current()
	runnable := r.runnableItems(snapshot)
	if len(runnable) > 0 && r.MayStart != nil && !r.MayStart() {
		return true
	}
	now := r.Clock()
	full := make(map[slotKey]bool) // without a free slot
	pending := false
	for _, it := range runnable {
		if it.notBefore > now {
			pending = true
			continue
		}
		if !r.startItem(ctx, snapshot, it, full) {
			pending = true
		}
	}
	return pending
}

// runnableItems returns the waiting items of this entry's jobs in the order in
// which they are to run. It cancels and removes items that this entry no longer
// owns or that have a listed result.
func (r *runner) runnableItems(snapshot *config.Snapshot) []runnableItem {
	own := r.Index.state.views(func(j *job) bool { return j.owner == r.Self && j.open() })
	now := time.Now()
	var list []runnableItem
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[itemID]bool)
	running := make(map[string]int) // items by customer
	for _, j := range own {
		due := j.Submitted.Add(dueAfter(snapshot, j.Route))
		for i := range j.Items {
			id := itemID{j.ID, i}
			if j.listed[i] {
				continue
			}
			wanted[id] = true
			p := r.item(id)
			if p.phase == phaseWaiting && !r.draining && !r.held[j.ID] {
				times := r.itemTimes(p, j, due, now)
				list = append(list, runnableItem{progress: p, job: j, due: due, late: now.Add(times.Remaining).After(due), times: times})
			}
			if p.phase == phaseRunning {
				running[j.Customer]++
			}
		}
	}
	for id, p := range r.items {
		if wanted[id] {
			continue
		}
		if p.cancel != nil {
			p.cancel()
		}
		delete(r.items, id)
	}
	sortRunnable(list, running)
	return list
}

// item returns the progress of an item, which it adds if needed. The caller holds
// the lock.
func (r *runner) item(id itemID) *progress {
	p := r.items[id]
	if p == nil {
		p = &progress{id: id}
		r.items[id] = p
	}
	return p
}

// dueAfter returns the time after submission at which jobs on a route are due; 0
// if the route has no batch policy.
func dueAfter(snapshot *config.Snapshot, route string) time.Duration {
	if p := batchPolicy(snapshot, route); p != nil {
		return p.Due
	}
	return 0
}

// batchPolicy returns the batch policy of a route, or nil if it has none.
func batchPolicy(snapshot *config.Snapshot, route string) *config.BatchPolicy {
	provided := snapshot.State.Routes[route].Provided
	if provided == nil {
		return nil
	}
	return provided.Batch
}
