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
	// holdTime is how long an item waits at the sidecar for an idle slot before
	// it goes back to its owner.
	holdTime = 5 * time.Second
	// itemTimeout bounds one run of an item.
	itemTimeout = 10 * time.Minute
)

// itemRun is one batch item at this sidecar.
type itemRun struct {
	api.Work
	runner   *batchRunner
	id       string
	ticket   *ticket
	streamed bool // the answer is put together from a stream, so that a cut has a position
	prompt   *prompt
	stopped  chan struct{} // closed when the item is no longer wanted here
	turn     *suspect      // its turn to run alone, if it is a suspect
	stopOnce sync.Once

	mu     sync.Mutex
	yield  bool               // the run is to be cut for an online request
	cancel context.CancelFunc // of the run
}

func newItemRun(b *batchRunner, w api.Work) *itemRun {
	r := &itemRun{Work: w, runner: b, id: w.ItemID(), stopped: make(chan struct{})}
	d, _ := b.deployment()
	if d.Kind != config.KindModel {
		return r
	}
	p, err := parsePrompt(w.Body)
	if err != nil {
		return r // the endpoint answers with what is wrong
	}
	p.salt(w.Customer)
	r.prompt = p
	r.streamed = d.CanResume && w.Idempotent && w.Path == chatPath && p.mergeable()
	return r
}

// stop ends the item for good.
func (r *itemRun) stop() { r.stopOnce.Do(func() { close(r.stopped) }) }

// queue gives the item its place.
func (r *itemRun) queue() { r.ticket = r.runner.schedule.offer(r.item(), r.cut) }

// do waits for idle slots and runs the queued item until it has ended.
func (r *itemRun) do(ctx context.Context) api.Result {
	s := r.runner.schedule
	for {
		if !r.awaitStart(ctx) {
			return r.result(api.ResultReturned)
		}
		result, ended := r.run(ctx)
		if ended {
			s.ended(r.id)
			return result
		}
		r.mu.Lock()
		r.yield = false
		r.mu.Unlock()
		s.park(r.id, r.promptTokens())
	}
}

// item describes the item to the queue.
func (r *itemRun) item() lane.Item {
	return lane.Item{
		ID:           r.id,
		Preemptible:  r.Idempotent,
		Resumable:    r.streamed,
		PromptTokens: r.promptTokens(),
	}
}

func (r *itemRun) promptTokens() float64 {
	if r.prompt == nil {
		return 0
	}
	n := r.prompt.promptTokens()
	if r.Resume != nil {
		n += float64(r.Resume.Tokens)
	}
	return n
}

// awaitStart returns true once the item may run, or false once it is taken out
// of the queue.
func (r *itemRun) awaitStart(ctx context.Context) bool {
	hold := time.NewTimer(holdTime)
	defer hold.Stop()
	select {
	case <-r.ticket.started:
		return true
	case <-hold.C:
	case <-r.stopped:
	case <-r.runner.drain.leaving():
	case <-ctx.Done():
	}
	if r.runner.schedule.withdraw(r.id) {
		return false
	}
	<-r.ticket.started // it was started at the same time
	if r.over(ctx) {
		r.runner.schedule.ended(r.id)
		return false
	}
	return true
}

// over reports whether the item is not to run any more.
func (r *itemRun) over(ctx context.Context) bool {
	select {
	case <-r.stopped:
		return true
	default:
		return ctx.Err() != nil || r.Idempotent && r.runner.drain.isLeaving()
	}
}

// cut cancels the run for an online request. It is called with the lock of the
// scheduler held.
func (r *itemRun) cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.yield = true
	if r.cancel != nil {
		r.cancel()
	}
}

// runContext returns the context of one run: it ends with ctx, by cut or stop,
// and when the endpoint leaves, unless the item must not be cut.
func (r *itemRun) runContext(ctx context.Context) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(ctx, itemTimeout)
	r.mu.Lock()
	r.cancel = cancel
	if r.yield {
		cancel()
	}
	r.mu.Unlock()
	go func() {
		leaving := r.runner.drain.leaving()
		if !r.Idempotent {
			leaving = nil
		}
		select {
		case <-leaving:
		case <-r.stopped:
		case <-ctx.Done():
		}
		cancel()
	}()
	return ctx, cancel
}
