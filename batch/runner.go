package batch

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/placement"
	"dandelionrelay/sleep"
)

// Intervals of the runner.
const (
	// planPace is the least time between two plans.
	planPace = 15 * time.Millisecond
	// planIdle is the longest time between two plans while items wait.
	planIdle = 250 * time.Millisecond
	// listPause is for how long a finished item waits for others to be listed
	// with it in one append.
	listPause = 120 * time.Millisecond
	// retainGrace is how long an item is run beyond the time after which it may
	// be given up: entries' times of day may differ.
	retainGrace = 10 * time.Second
)

// itemID names an item of a job.
type itemID struct {
	job  string
	item int
}

// phase says what an item does.
type phase int

const (
	waiting phase = iota
	running
	ended // its result waits to be listed
)

// progress is what this entry has of an item that it runs.
type progress struct {
	id    itemID
	phase phase

	mu     sync.Mutex // guards what follows, up to kept, while the item runs
	output []byte     // data of the events so far, joined by line feeds
	events int
	cursor eventstream.Cursor
	kept   int // events in the newest checkpoint

	failures int                       // answers that count as failed attempts
	avoid    avoided                   // where the last of them came from
	lost     int                       // exchanges in a row that ended without a whole answer
	notUntil time.Duration             // clock before which it does not run again
	pace     eventstream.IntervalMeter // of the present run
	cancel   context.CancelFunc
	result   Result // in phase ended
}

// avoided is an endpoint at which an item does not run for a while.
type avoided struct {
	endpoint placement.Key
	until    time.Duration // clock
}

// keys returns the endpoint in the form of placement.Ask.
func (a avoided) keys(now time.Duration) map[placement.Key]bool {
	if now >= a.until {
		return nil
	}
	return map[placement.Key]bool{a.endpoint: true}
}

// runner runs the items of the jobs that this entry owns.
type runner struct {
	*Service
	wake chan struct{}
	done chan struct{} // items ended that are to be listed

	stored uint64 // outputs stored so far; used by list only

	leave chan struct{} // this entry leaves

	mu    sync.Mutex
	items map[itemID]*progress
	held  map[string]bool // jobs whose items do not run yet
	stop  bool            // nothing new is started
}

func newRunner(s *Service) *runner {
	return &runner{
		Service: s,
		wake:    make(chan struct{}, 1),
		done:    make(chan struct{}, 1),
		leave:   make(chan struct{}, 1),
		items:   make(map[itemID]*progress),
		held:    make(map[string]bool),
	}
}

func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Wake has the runner look at jobs and slots again. It never blocks.
func (s *Service) Wake() { poke(s.runner.wake) }

// Drain stops starting items.
func (s *Service) Drain() {
	s.runner.mu.Lock()
	s.runner.stop = true
	s.runner.mu.Unlock()
	poke(s.runner.leave)
}

// Run runs items, lists results and takes over jobs until ctx ends.
func (s *Service) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.runner.run(ctx) })
	wg.Go(func() { s.runner.list(ctx) })
	wg.Go(func() { s.takeOver(ctx) })
	wg.Go(func() { s.expire(ctx) })
	wg.Go(func() { s.runner.checkpoints(ctx) })
	wg.Wait()
}

// run plans whenever something has changed.
func (r *runner) run(ctx context.Context) {
	timer := time.NewTimer(planIdle)
	defer timer.Stop()
	var last time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
		case <-timer.C:
		}
		if !sleep.For(ctx, planPace-time.Since(last)) {
			return
		}
		last = time.Now()
		waiting := r.plan(ctx)
		if waiting {
			timer.Reset(planIdle)
		} else {
			timer.Reset(time.Minute)
		}
	}
}

// candidate is an item that may run.
type candidate struct {
	*progress
	job  view
	due  time.Time
	late bool
}

// plan starts items where slots are free, those due first before others, and
// ends those that this entry does not own any more. It reports whether items
// wait.
func (r *runner) plan(ctx context.Context) bool {
	snapshot := r.Config.Current()
	candidates := r.candidates(snapshot)
	now := r.Clock()
	full := make(map[string]bool) // deployments without a free slot
	waits := false
	for _, c := range candidates {
		if c.notUntil > now {
			waits = true
			continue
		}
		if !r.start(ctx, snapshot, c, full) {
			waits = true
		}
	}
	return waits
}

// candidates returns the waiting items of this entry's jobs in the order in
// which they are to run.
func (r *runner) candidates(snapshot *config.Snapshot) []candidate {
	own := r.Index.ledger.views(func(j *job) bool { return j.owner == r.Self && j.open() })
	now := time.Now()
	var list []candidate
	r.mu.Lock()
	defer r.mu.Unlock()
	wanted := make(map[itemID]bool)
	for _, j := range own {
		due := j.Submitted.Add(dueAfter(snapshot, j.Route))
		for i := range j.Items {
			id := itemID{j.ID, i}
			if j.listed[i] {
				continue
			}
			wanted[id] = true
			p := r.item(id)
			if p.phase == waiting && !r.stop && !r.held[j.ID] {
				list = append(list, candidate{progress: p, job: j, due: due, late: now.After(due)})
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
	slices.SortStableFunc(list, compareCandidates)
	return list
}

// item returns the progress of an item. The caller holds the lock.
func (r *runner) item(id itemID) *progress {
	p := r.items[id]
	if p == nil {
		p = &progress{id: id}
		r.items[id] = p
	}
	return p
}

// compareCandidates puts what can still be in time first, then what is due
// first, and of these what has begun.
func compareCandidates(a, b candidate) int {
	if a.late != b.late {
		if a.late {
			return 1
		}
		return -1
	}
	if c := a.due.Compare(b.due); c != 0 {
		return c
	}
	return cmp.Compare(b.events, a.events)
}

func dueAfter(snapshot *config.Snapshot, route string) time.Duration {
	if p := policy(snapshot, route); p != nil {
		return p.Due
	}
	return 0
}

func policy(snapshot *config.Snapshot, route string) *config.BatchPolicy {
	provided := snapshot.State.Routes[route].Provided
	if provided == nil {
		return nil
	}
	return provided.Batch
}

// start runs an item if there is a slot. It returns false if the item waits on.
func (r *runner) start(ctx context.Context, snapshot *config.Snapshot, c candidate, full map[string]bool) bool {
	route, ok := snapshot.State.Routes[c.job.Route]
	if !ok || route.Provided == nil || route.Provided.Batch == nil {
		return r.giveUp(c, "its route is gone")
	}
	if time.Since(c.job.Submitted) > route.Provided.Batch.Retain+retainGrace {
		return r.giveUp(c, "it is too old")
	}
	if full[route.Deployment] {
		return false
	}
	itemCtx, cancel := context.WithCancel(ctx)
	avoid := c.avoid.keys(r.Clock())
	grant := r.Table.PlaceBatch(r.Clock(), placement.Request{Deployment: route.Deployment, Avoid: avoid}, cancel)
	if grant == nil {
		cancel()
		full[route.Deployment] = len(avoid) == 0
		return false
	}
	r.mu.Lock()
	c.phase = running
	c.cancel = cancel
	r.mu.Unlock()
	go r.runItem(itemCtx, cancel, c, route, grant)
	return true
}

// giveUp lists an item as errored.
func (r *runner) giveUp(c candidate, reason string) bool {
	r.mu.Lock()
	c.phase = ended
	c.result = Result{State: Errored, Reason: reason}
	r.mu.Unlock()
	r.Log.Warn().Str("job", c.job.ID).Str("item", c.job.Items[c.id.item].ID).Str("reason", reason).Msg("item given up")
	poke(r.done)
	return true
}
