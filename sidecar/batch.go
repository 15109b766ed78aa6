package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/sleep"
)

const (
	// pullWait is how long a pull waits at an owner for items.
	pullWait = 5 * time.Second
	// pullTimeout bounds a pull, including pullWait.
	pullTimeout = 15 * time.Second
	// heartbeatInterval is the time between two reports of the items in flight.
	// The reply lists the items to cancel, so it bounds the time until a
	// cancelled item stops. It is less than jobs.HeartbeatInterval, on which the
	// timeouts of owners are based.
	heartbeatInterval = 900 * time.Millisecond
	// heartbeatTimeout bounds a report of the items in flight.
	heartbeatTimeout = 2 * time.Second
	// reportTimeout bounds a report of results, for which owners wait for an
	// append to the log.
	reportTimeout = 10 * time.Second
	// retryDelay is the time to wait after a failed pull or report.
	retryDelay = 500 * time.Millisecond
)

// batchRunner pulls batch items for idle slots, runs them and reports their
// results.
type batchRunner struct {
	*Sidecar
	outbox *outbox
	group  sync.WaitGroup // items in flight
	moving bool           // the data centre was evacuated at the last check; used by heartbeatLoop only

	mu    sync.Mutex
	items map[api.WorkRef]*itemRun
}

func newBatchRunner(s *Sidecar) *batchRunner {
	return &batchRunner{Sidecar: s, outbox: newOutbox(), items: make(map[api.WorkRef]*itemRun)}
}

// Run pulls and reports batch items, sends orders to the engine, and watches the
// instance list and an endpoint that can be cold, until ctx ends. Items in flight are
// cancelled then; call Drain first for a graceful shutdown.
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
	group.Go(func() { s.watchCold(ctx) })
	if s.deps.Log != nil && s.deps.Weights != nil {
		group.Go(func() { s.runOrders(ctx) })
	}
	group.Wait()
	s.batch.group.Wait()
}

// pullLoop pulls as many items as there are idle slots, until ctx ends or the
// endpoint drains.
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
		// Owners that reply at once without items must not be polled in a busy loop.
		if err != nil || items == 0 && time.Since(began) < retryDelay {
			sleep.For(ctx, retryDelay)
		}
	}
}

// awaitIdleSlots waits until items can be pulled and returns how many. It returns
// false if ctx ends or the endpoint drains.
func (b *batchRunner) awaitIdleSlots(ctx context.Context) (int, bool) {
	for !b.drain.isDraining() && ctx.Err() == nil {
		n := b.scheduler.idleSlots()
		if n > 0 && !b.outbox.full() && !b.gate.hasSuspects() && !b.evacuated() && b.endpointHealthy(ctx) {
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

// refreshDeployment applies the current configuration of the deployment.
func (b *batchRunner) refreshDeployment() {
	if d, ok := b.deployment(); ok {
		b.applyDeployment(d)
	}
}

// pull pulls up to slots items and returns how many of them were accepted. It
// is cancelled when the endpoint drains.
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
		DataCentre: b.settings.DataCentre,
		Slots:      slots,
		Wait:       pullWait,
	})
	if err != nil {
		return 0, err
	}
	accepted := 0
	for _, w := range reply.Work {
		if b.accept(ctx, w) {
			accepted++
		}
	}
	return accepted, nil
}

// accept queues a pulled item and runs it in the background. It returns false
// if the item can't run here: the endpoint is draining, evacuated or lost, the item is a
// suspect and another suspect runs or waits, the same attempt was received before,
// or too many attempt IDs are remembered. In the last two cases it reports no
// result.
func (b *batchRunner) accept(ctx context.Context, w api.Work) bool {
	if b.health.lost.Load() || b.evacuated() || !b.drain.add() {
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
		b.drain.done() // received before, or too many attempt IDs
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

// register adds an item in flight. It returns false if the item is registered
// already.
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

// unreportedRefs returns the items that are in flight or whose results are not yet
// reported.
func (b *batchRunner) unreportedRefs() []api.WorkRef {
	refs := b.outbox.refs()
	b.mu.Lock()
	defer b.mu.Unlock()
	for ref := range b.items {
		refs = append(refs, ref)
	}
	return refs
}

// cancelItems cancels the items in flight among refs.
func (b *batchRunner) cancelItems(refs []api.WorkRef) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, ref := range refs {
		if run, ok := b.items[ref]; ok {
			run.stop()
		}
	}
}

// reportLoop reports results as they are added to the outbox.
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

// heartbeatLoop reports the items in flight, and moves them if the data centre is
// evacuated. It is separate from reportLoop, as reports of results wait for an append to
// the log.
func (b *batchRunner) heartbeatLoop(ctx context.Context) {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		b.moveIfEvacuated()
		if refs := b.unreportedRefs(); len(refs) > 0 {
			b.report(ctx, api.ReportArgs{Running: refs}, heartbeatTimeout)
		}
	}
}

// report sends one report and cancels the items that the reply lists. It returns
// false if an owner may not have recorded the results.
func (b *batchRunner) report(ctx context.Context, args api.ReportArgs, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	args.Endpoint, args.DataCentre = b.settings.ID, b.settings.DataCentre
	reply, err := b.deps.Batch.Report(ctx, args)
	b.cancelItems(reply.Stop)
	return err == nil
}

// flush waits until all results are reported, or returns the error of ctx.
func (b *batchRunner) flush(ctx context.Context) error {
	select {
	case <-b.outbox.whenEmpty():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
