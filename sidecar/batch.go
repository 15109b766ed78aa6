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
	retryDelay = 500 * time.Millisecond
)

// batchRunner pulls items for idle slots, runs them and reports their results.
type batchRunner struct {
	*Sidecar
	outbox *outbox
	group  sync.WaitGroup // items under way

	mu    sync.Mutex
	items map[api.WorkRef]*itemRun
}

func newBatchRunner(s *Sidecar) *batchRunner {
	return &batchRunner{Sidecar: s, outbox: newOutbox(), items: make(map[api.WorkRef]*itemRun)}
}

// Run pulls and reports batch work, gives orders to the engine and follows the
// instance list, until ctx ends. Items under way are cut then; call Drain
// before for a graceful end.
func (s *Sidecar) Run(ctx context.Context) {
	var group sync.WaitGroup
	if s.deps.Members != nil {
		group.Go(func() { s.watchInstanceList(ctx) })
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
		slots, ok := b.awaitIdleSlots(ctx)
		if !ok || !b.drain.add() {
			return
		}
		began := time.Now()
		items, err := b.pull(ctx, slots)
		b.metrics.countPull(items, err)
		b.drain.done()
		// An owner that answers "none" at once must not be asked in a loop.
		if err != nil || items == 0 && time.Since(began) < retryDelay {
			sleep.For(ctx, retryDelay)
		}
	}
}

// awaitIdle returns the number of items to pull once that is not 0; false
// means that no more are to be pulled.
func (b *batchRunner) awaitIdleSlots(ctx context.Context) (int, bool) {
	for !b.drain.isDraining() && ctx.Err() == nil {
		n := b.scheduler.idleSlots()
		if n > 0 && !b.outbox.full() && !b.gate.hasSuspects() && b.endpointHealthy(ctx) {
			return n, true
		}
		select {
		case <-b.scheduler.slotIdle:
		case <-time.After(retryDelay):
			b.refreshDeployment()
		case <-b.drain.draining():
		case <-ctx.Done():
		}
	}
	return 0, false
}

func (b *batchRunner) refreshDeployment() {
	if d, ok := b.deployment(); ok {
		b.scheduler.applyDeployment(d)
	}
}

// pull asks for items and returns how many of them it took. It ends
// early when the endpoint is leaving.
func (b *batchRunner) pull(ctx context.Context, slots int) (int, error) {
	pullCtx, cancel := context.WithTimeout(ctx, pullTimeout)
	defer cancel()
	go func() {
		select {
		case <-b.drain.draining():
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
		if b.accept(ctx, w) {
			taken++
		}
	}
	return taken, nil
}

// take queues a pulled item. It returns false if the item can't run here now:
// the endpoint is leaving or lost, or another suspect runs.
func (b *batchRunner) accept(ctx context.Context, w api.Work) bool {
	if b.health.lost.Load() || !b.drain.add() {
		b.outbox.add(api.Result{WorkRef: w.WorkRef, State: api.ResultReturned, Resume: w.Resume})
		return false
	}
	run := newItemRun(b, w)
	if !run.acquireExclusive() {
		b.drain.done()
		b.outbox.add(api.Result{WorkRef: w.WorkRef, State: api.ResultNotRun})
		return false
	}
	b.metrics.countSuspect(w.Suspect)
	if b.attempts.add(run.id, time.Now()) != attemptAdded || !b.register(run) {
		run.releaseExclusive()
		b.drain.done() // it runs already
		return false
	}
	run.enqueue()
	b.group.Go(func() {
		defer b.drain.done()
		defer run.releaseExclusive()
		result := run.execute(ctx)
		b.logItem(run, result)
		b.outbox.add(b.metrics.countItem(result))
		b.unregister(run)
	})
	return true
}

func (b *batchRunner) register(run *itemRun) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, ok := b.items[run.WorkRef]; ok {
		return false
	}
	b.items[run.WorkRef] = run
	return true
}

func (b *batchRunner) unregister(run *itemRun) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.items, run.WorkRef)
}

// heldRefs returns the items that are under way or whose results are held.
func (b *batchRunner) heldRefs() []api.WorkRef {
	refs := b.outbox.refs()
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref := range b.items {
		refs = append(refs, ref)
	}
	return refs
}

// stop cuts the items that owners no longer want.
func (b *batchRunner) cancelItems(refs []api.WorkRef) {
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
		case <-b.outbox.added:
		case <-ctx.Done():
			return
		}
		for b.outbox.size() > 0 && ctx.Err() == nil {
			results := b.outbox.nextReport()
			if !b.report(ctx, api.ReportArgs{Results: results}, reportTimeout) {
				sleep.For(ctx, retryDelay)
				continue
			}
			b.outbox.drop(len(results))
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
	b.cancelItems(reply.Stop)
	return err == nil
}

// flush waits until all results are reported.
func (b *batchRunner) flush(ctx context.Context) error {
	select {
	case <-b.outbox.whenEmpty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
