package sidecar

import (
	"context"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/lane"
)

const (
	// maxStartWait is how long an item waits at the sidecar for an idle slot
	// before it is returned to its owner.
	maxStartWait = 5 * time.Second
	// itemTimeout bounds one run of an item at the endpoint.
	itemTimeout = 10 * time.Minute
)

// itemRun is one attempt of a batch item at this sidecar. It may run at the
// endpoint several times, if it is preempted.
type itemRun struct {
	api.Work
	runner    *batchRunner
	id        string
	ticket    *ticket
	streamed  bool // the response is assembled from a stream, so that a cancelled run can be resumed
	modelBody *modelBody
	stopped   chan struct{} // closed by stop
	exclusive *suspect      // reservation of the endpoint, if the item is a suspect
	stopOnce  sync.Once

	mu        sync.Mutex
	preempted bool               // the current run is cancelled in favour of an online request
	cancel    context.CancelFunc // of the current run
}

func newItemRun(b *batchRunner, w api.Work) *itemRun {
	r := &itemRun{Work: w, runner: b, id: w.RequestID(), stopped: make(chan struct{})}
	d, _ := b.deployment()
	if d.Kind != config.KindModel {
		return r
	}
	body, err := parseModelBody(w.Body)
	if err != nil {
		return r // the endpoint responds with an error
	}
	if e := b.checkResume(w.Resume); e != nil {
		b.deps.Logger.Info().Str("request", r.id).Str("version", w.Resume.Version).Int("tokens", w.Resume.Tokens).Msg("batch item begins again at another software version")
		r.Resume = nil
	}
	body.setCacheSalt(w.Customer)
	r.modelBody = body
	r.streamed = d.CanResume && w.Idempotent && w.Path == chatPath && body.mergeable()
	return r
}

// stop ends the item at this sidecar; it is not run again here.
func (r *itemRun) stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// enqueue adds the item to the queue of the scheduler.
func (r *itemRun) enqueue() { r.ticket = r.runner.scheduler.submitItem(r.laneItem(), r.preempt) }

// execute waits for a slot and runs the queued item, again after each
// preemption, until it has ended. It returns the result to report.
func (r *itemRun) execute(ctx context.Context) api.Result {
	s := r.runner.scheduler
	for {
		if !r.awaitStart(ctx) {
			return r.result(api.ResultReturned)
		}
		result, ended := r.runOnce(ctx)
		if ended {
			s.finishItem(r.id)
			return result
		}
		r.mu.Lock()
		r.preempted = false
		r.mu.Unlock()
		s.requeueItem(r.id, r.promptTokens())
	}
}

// laneItem returns the description of the item for the queue.
func (r *itemRun) laneItem() lane.Item {
	return lane.Item{
		ID:           r.id,
		Preemptible:  r.Idempotent,
		Resumable:    r.streamed,
		PromptTokens: r.promptTokens(),
	}
}

// promptTokens estimates the tokens that the endpoint must process before it
// generates: those of the prompt and those generated in earlier runs. It is 0
// for plain services.
func (r *itemRun) promptTokens() float64 {
	if r.modelBody == nil {
		return 0
	}
	n := r.modelBody.promptTokens()
	if r.Resume != nil {
		n += float64(r.Resume.Tokens)
	}
	return n
}

// awaitStart waits for the start of the item. It returns false if the item is
// removed from the queue instead: after maxStartWait, by stop, when the endpoint
// drains or when ctx ends.
func (r *itemRun) awaitStart(ctx context.Context) bool {
	timeout := time.NewTimer(maxStartWait)
	defer timeout.Stop()
	select {
	case <-r.ticket.started:
		return true
	case <-timeout.C:
	case <-r.stopped:
	case <-r.runner.drain.draining():
	case <-ctx.Done():
	}
	if r.runner.scheduler.cancelWaitingItem(r.id) {
		return false
	}
	<-r.ticket.started // the queue started it at the same time
	if r.mustStop(ctx) {
		r.runner.scheduler.finishItem(r.id)
		return false
	}
	return true
}

// mustStop reports whether the item must not run any more: it was stopped, ctx
// has ended, or it is idempotent and the endpoint drains.
func (r *itemRun) mustStop(ctx context.Context) bool {
	select {
	case <-r.stopped:
		return true
	default:
		return ctx.Err() != nil || r.Idempotent && r.runner.drain.isDraining()
	}
}

// preempt cancels the current run in favour of an online request. It is called
// with the lock of the scheduler held.
func (r *itemRun) preempt() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.preempted = true
	if r.cancel != nil {
		r.cancel()
	}
}

// runContext returns the context of one run. It ends with ctx, after
// itemTimeout, by preempt or stop, and, for idempotent items, when the endpoint
// drains.
func (r *itemRun) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	r.mu.Lock()
	r.cancel = cancel
	if r.preempted {
		cancel()
	}
	r.mu.Unlock()
	go func() {
		draining := r.runner.drain.draining()
		if !r.Idempotent {
			draining = nil
		}
		select {
		case <-draining:
		case <-r.stopped:
		case <-ctx.Done():
		}
		cancel()
	}()
	return ctx, cancel
}
