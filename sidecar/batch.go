package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/sleep"
)

const (
	// pullWait is how long a pull waits at the owners for items.
	pullWait = 5 * time.Second
	// pullTimeout bounds a pull with its wait.
	pullTimeout = 15 * time.Second
	// heartbeatInterval is the time between two reports of what is under way.
	// An item that is to stop does so within it.
	heartbeatInterval = 900 * time.Millisecond
	// heartbeatTimeout bounds a report of what is under way.
	heartbeatTimeout = 2 * time.Second
	// reportTimeout bounds a report of results, which waits for the log.
	reportTimeout = 10 * time.Second
	// retryPause follows a failed pull or report.
	retryPause = 500 * time.Millisecond
)

// batchRunner pulls items for idle slots, runs them and reports their results.
type batchRunner struct {
	*Sidecar
	out   *outbox
	group sync.WaitGroup // items under way

	mu    sync.Mutex
	items map[api.WorkRef]*itemRun
}

func newBatchRunner(s *Sidecar) *batchRunner {
	return &batchRunner{Sidecar: s, out: newOutbox(), items: make(map[api.WorkRef]*itemRun)}
}

// Run pulls and reports batch work, gives orders to the engine and follows the
// instance list, until ctx ends. Items under way are cut then; call Drain
// before for a graceful end.
func (s *Sidecar) Run(ctx context.Context) {
	var group sync.WaitGroup
	if s.deps.Members != nil {
		group.Go(func() { s.followMembers(ctx) })
	}
	if s.deps.Batch != nil {
		group.Go(func() { s.batch.pullLoop(ctx) })
		group.Go(func() { s.batch.reportLoop(ctx) })
		group.Go(func() { s.batch.heartbeatLoop(ctx) })
	}
	if s.deps.Log != nil && s.deps.Weights != nil {
		group.Go(func() { s.runOrders(ctx) })
	}
	group.Wait()
	s.batch.group.Wait()
}

// pullLoop asks for as many items as there are idle slots.
func (b *batchRunner) pullLoop(ctx context.Context) {
	for {
		slots, ok := b.awaitIdle(ctx)
		if !ok || !b.drain.enter() {
			return
		}
		began := time.Now()
		items, err := b.pull(ctx, slots)
		b.metrics.pulled(items, err)
		b.drain.exit()
		// An owner that answers "none" at once must not be asked in a loop.
		if err != nil || items == 0 && time.Since(began) < retryPause {
			sleep.For(ctx, retryPause)
		}
	}
}

// awaitIdle returns the number of items to pull once that is not 0; false
// means that no more are to be pulled.
func (b *batchRunner) awaitIdle(ctx context.Context) (int, bool) {
	for !b.drain.isLeaving() && ctx.Err() == nil {
		n := b.schedule.idleSlots()
		if n > 0 && !b.out.full() && !b.gate.isolating() && b.endpointAnswers(ctx) {
			return n, true
		}
		select {
		case <-b.schedule.idle:
		case <-time.After(retryPause):
			b.followDeployment()
		case <-b.drain.leaving():
		case <-ctx.Done():
		}
	}
	return 0, false
}

func (b *batchRunner) followDeployment() {
	if d, ok := b.deployment(); ok {
		b.schedule.follow(d)
	}
}

// pull asks for items and returns how many of them it took. It ends
// early when the endpoint is leaving.
func (b *batchRunner) pull(ctx context.Context, slots int) (int, error) {
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	go func() {
		select {
		case <-b.drain.leaving():
			cancel()
		case <-pullCtx.Done():
		}
	}()
	reply, err := b.deps.Batch.Pull(pullCtx, api.PullArgs{
		Endpoint:   b.settings.ID,
		Deployment: b.settings.Deployment,
		Slots:      slots,
		Wait:       pullWait,
	})
	if err != nil {
		return 0, err
	}
	taken := 0
	for _, w := range reply.Work {
		if b.take(ctx, w) {
			taken++
		}
	}
	return taken, nil
}

// take queues a pulled item. It returns false if the item can't run here now:
// the endpoint is leaving or lost, or another suspect runs.
func (b *batchRunner) take(ctx context.Context, w api.Work) bool {
	if b.health.lost.Load() || !b.drain.enter() {
		b.out.add(api.Result{WorkRef: w.WorkRef, State: api.ResultReturned, Resume: w.Resume})
		return false
	}
	run := newItemRun(b, w)
	if !run.takeTurn() {
		b.drain.exit()
		b.out.add(api.Result{WorkRef: w.WorkRef, State: api.ResultNotRun})
		return false
	}
	b.metrics.suspected(w.Suspect)
	if b.attempts.add(run.id, time.Now()) != fresh || !b.remember(run) {
		run.endTurn()
		b.drain.exit() // it runs already
		return false
	}
	run.queue()
	b.group.Go(func() {
		defer b.drain.exit()
		defer run.endTurn()
		result := run.do(ctx)
		b.logItem(run, result)
		b.out.add(b.metrics.ended(result))
		b.forget(run)
	})
	return true
}

func (b *batchRunner) remember(run *itemRun) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.items[run.WorkRef]; ok {
		return false
	}
	b.items[run.WorkRef] = run
	return true
}

func (b *batchRunner) forget(run *itemRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.items, run.WorkRef)
}

// heldRefs returns the items that are under way or whose results are held.
func (b *batchRunner) heldRefs() []api.WorkRef {
	refs := b.out.refs()
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref := range b.items {
		refs = append(refs, ref)
	}
	return refs
}

// stop cuts the items that owners no longer want.
func (b *batchRunner) stop(refs []api.WorkRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ref := range refs {
		if run, ok := b.items[ref]; ok {
			run.stop()
		}
	}
}

// reportLoop hands over results as they come.
func (b *batchRunner) reportLoop(ctx context.Context) {
	for {
		select {
		case <-b.out.grown:
		case <-ctx.Done():
			return
		}
		for b.out.size() > 0 && ctx.Err() == nil {
			results := b.out.next()
			if !b.report(ctx, api.ReportArgs{Results: results}, reportTimeout) {
				sleep.For(ctx, retryPause)
				continue
			}
			b.out.drop(len(results))
		}
	}
}

// heartbeatLoop names what runs, apart from the results, whose reports wait
// for the log.
func (b *batchRunner) heartbeatLoop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		if refs := b.heldRefs(); len(refs) > 0 {
			b.report(ctx, api.ReportArgs{Running: refs}, heartbeatTimeout)
		}
	}
}

// report makes one report and stops the items that it is told to. It returns
// false if some owner may not have the results.
func (b *batchRunner) report(ctx context.Context, args api.ReportArgs, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args.Endpoint = b.settings.ID
	reply, err := b.deps.Batch.Report(ctx, args)
	b.stop(reply.Stop)
	return err == nil
}

// flush waits until all results are reported.
func (b *batchRunner) flush(ctx context.Context) error {
	select {
	case <-b.out.empty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
