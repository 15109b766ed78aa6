package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/lane"
	"dandelionrelay/quarantine"
)

const (
	// holdTime is how long an item waits at the sidecar for an idle slot before
	// it goes back to its owner.
	holdTime = 5 * time.Second
	// itemTimeout bounds one run of an item.
	itemTimeout = 10 * time.Minute
	// maxResultBytes bounds the answer to an item.
	maxResultBytes = 1 << 20
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
		ID:          r.id,
		Preemptible: r.Idempotent,
		Resumable:   r.streamed,
		Prompt:      r.promptTokens(),
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

// run runs the item once. It returns false if the item was cut to run on
// later.
func (r *itemRun) run(parent context.Context) (api.Result, bool) {
	ctx, cancel := r.runContext(parent)
	defer cancel()
	if !r.enter(ctx) {
		return r.result(r.notStarted()), true
	}
	defer func() { r.runner.gate.leave(r.id, ctx.Err() != nil) }()
	resp, e := r.runner.call(ctx, r.request())
	if e != nil {
		return r.lost(parent, ctx, e.Outcome)
	}
	defer resp.Body.Close()
	if !r.streamed || resp.StatusCode != http.StatusOK {
		return r.whole(parent, ctx, resp)
	}
	c := newCollector(r.Resume)
	c.seen = func(tokens int) {
		r.runner.metrics.itemTokens.Inc()
		r.runner.schedule.progress(r.id, tokens-r.resumedTokens())
	}
	if err := c.read(resp.Body); err != nil {
		result, ended := r.lost(parent, ctx, api.Unknown)
		r.Resume = c.position()
		result.Resume = r.Resume
		return result, ended
	}
	result := r.result(api.ResultDone)
	result.Status, result.Body, result.Resume = resp.StatusCode, c.whole(), nil
	return result, true
}

func (r *itemRun) resumedTokens() int {
	if r.Resume == nil {
		return 0
	}
	return r.Resume.Tokens
}

// whole reads an answer that isn't a stream.
func (r *itemRun) whole(parent, ctx context.Context, resp *http.Response) (api.Result, bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return r.lost(parent, ctx, api.Unknown)
	}
	result := r.result(api.ResultDone)
	result.Status, result.Body, result.Resume = resp.StatusCode, body, nil
	r.runner.metrics.answered(body)
	if len(body) > maxResultBytes {
		result.Status = http.StatusBadGateway
		result.Body, _ = json.Marshal(api.NewError(0, api.CodeTooLarge, "the answer is too large").WithOutcome(api.Done))
	}
	return result, true
}

// lost ends a run without an answer: the sidecar cut it, or the endpoint was
// lost.
func (r *itemRun) lost(parent, ctx context.Context, outcome api.Outcome) (api.Result, bool) {
	r.mu.Lock()
	yielded := r.yield
	r.mu.Unlock()
	switch {
	case !r.Idempotent:
		// It isn't cut for others, and goes no further.
	case r.over(parent):
		return r.result(api.ResultReturned), true
	case yielded && ctx.Err() != nil:
		return api.Result{}, false
	}
	r.runner.endpointLost(r.id, outcome)
	if outcome == api.NotRun {
		return r.result(r.notStarted()), true
	}
	result := r.result(api.ResultUnknown)
	if r.runner.checkHealth(parent) != nil {
		result.Crash = r.runner.gate.crashOf(r.id)
		result.Digest = api.Digest(quarantine.DigestOf(r.Customer, r.Path, r.Body))
	}
	return result, true
}

// notStarted is the end of an item whose last run did not start. An earlier
// run of an idempotent item may have been cut.
func (r *itemRun) notStarted() api.ResultState {
	if r.runner.attempts.runs(r.id) > 0 {
		return api.ResultReturned
	}
	return api.ResultNotRun
}

func (r *itemRun) result(state api.ResultState) api.Result {
	runs := r.runner.attempts.runs(r.id)
	r.runner.deps.Invariants.Check(state != api.ResultNotRun || runs == 0, invariant.NotRunIsTrue, "item %s was sent", r.id)
	return api.Result{WorkRef: r.WorkRef, State: state, Resume: r.Resume}
}

// request is the call of the item at the endpoint.
func (r *itemRun) request() *request {
	body := r.Body
	if r.prompt != nil {
		if r.streamed {
			r.prompt.resume(r.Resume)
		}
		body = r.prompt.bytes()
	}
	return &request{
		ID:         r.id,
		Attempt:    r.id,
		Customer:   r.Customer,
		Idempotent: r.Idempotent,
		MayRepeat:  r.Idempotent,
		Method:     http.MethodPost,
		Path:       r.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
	}
}
