package sidecar

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/quarantine"
)

// maxResultBytes bounds the response to an item.
const maxResultBytes = 1 << 20

// runOnce runs the item once at the endpoint. It returns false if the run was
// preempted and the item is to be queued again.
func (r *itemRun) runOnce(parent context.Context) (api.Result, bool) {
	ctx, cancel := r.runContext(parent)
	defer cancel()
	if !r.begin(ctx) {
		return r.result(r.stateIfNotStarted()), true
	}
	defer func() { r.runner.gate.end(r.id, ctx.Err() != nil) }()
	resp, e := r.runner.callEndpoint(ctx, r.newRequest())
	if e != nil {
		return r.endWithoutResponse(parent, ctx, e.Outcome)
	}
	defer resp.Body.Close()
	if !r.streamed || resp.StatusCode != http.StatusOK {
		return r.readResponse(parent, ctx, resp)
	}
	a := newResponseAssembler(r.Resume)
	a.onToken = func(tokens int) {
		r.runner.metrics.itemTokens.Inc()
		r.runner.scheduler.recordProgress(r.id, tokens-r.resumedTokens())
	}
	if err := a.read(resp.Body); err != nil {
		result, ended := r.endWithoutResponse(parent, ctx, api.Unknown)
		result.Crash = quarantine.CrashKind(result.Crash, int64(a.tokens-r.resumedTokens()))
		r.Resume = a.resumePosition(r.runner.settings.EndpointVersion)
		result.Resume = r.Resume
		return result, ended
	}
	result := r.result(api.ResultDone)
	result.Status, result.Body, result.Resume = resp.StatusCode, a.response(), nil
	return result, true
}

func (r *itemRun) resumedTokens() int {
	if r.Resume == nil {
		return 0
	}
	return r.Resume.Tokens
}

// readResponse reads a response that isn't streamed. One of more than
// maxResultBytes becomes a result with an error.
func (r *itemRun) readResponse(parent, ctx context.Context, resp *http.Response) (api.Result, bool) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResultBytes+1))
	if err != nil {
		return r.endWithoutResponse(parent, ctx, api.Unknown)
	}
	result := r.result(api.ResultDone)
	result.Status, result.Body, result.Resume = resp.StatusCode, body, nil
	r.runner.metrics.countResponseTokens(body)
	if len(body) > maxResultBytes {
		result.Status = http.StatusBadGateway
		result.Body, _ = json.Marshal(api.NewError(0, api.CodeTooLarge, "the answer is too large").WithOutcome(api.Done))
	}
	return result, true
}

// endWithoutResponse ends a run that has no complete response, because the
// sidecar cancelled it or the endpoint was lost. parent is the context of the
// item and ctx that of the run. It returns false if the run was preempted.
func (r *itemRun) endWithoutResponse(parent, ctx context.Context, outcome api.Outcome) (api.Result, bool) {
	r.mu.Lock()
	preempted := r.preempted
	r.mu.Unlock()
	switch {
	case !r.Idempotent:
		// An item that is not idempotent is never preempted and is not run again
		// here, so its outcome is reported.
	case r.mustStop(parent):
		return r.result(api.ResultReturned), true
	case preempted && ctx.Err() != nil:
		return api.Result{}, false
	}
	r.runner.recordEndpointLost(r.id, outcome)
	if outcome == api.NotRun {
		return r.result(r.stateIfNotStarted()), true
	}
	result := r.result(api.ResultUnknown)
	// A check that was cancelled, perhaps while it waited for a token, says nothing of a crash.
	if r.runner.checkHealth(parent) != nil && parent.Err() == nil {
		result.Crash = r.runner.gate.crashOf(r.id)
		result.Digest = api.Digest(quarantine.DigestOf(r.Customer, r.Path, r.Body))
	}
	return result, true
}

// stateIfNotStarted returns the state of an item whose last run did not start.
// An idempotent item may have been preempted in an earlier run, and is returned
// then.
func (r *itemRun) stateIfNotStarted() api.ResultState {
	if r.runner.attempts.sends(r.id) > 0 {
		return api.ResultReturned
	}
	return api.ResultNotRun
}

// result returns the result of the item in the given state, with the position
// to resume from.
func (r *itemRun) result(state api.ResultState) api.Result {
	sends := r.runner.attempts.sends(r.id)
	r.runner.deps.Invariants.Check(state != api.ResultNotRun || sends == 0, invariant.NotRunIsTrue, "item %s is reported as not run, but was sent to the endpoint", r.id)
	return api.Result{WorkRef: r.WorkRef, State: state, Resume: r.Resume}
}

// newRequest returns the request of the item to the endpoint.
func (r *itemRun) newRequest() *request {
	body := r.Body
	if r.modelBody != nil {
		if r.streamed {
			r.modelBody.setResume(r.Resume)
		}
		body = r.modelBody.bytes()
	}
	return &request{
		ID:         r.id,
		Attempt:    r.id,
		Customer:   r.Customer,
		Idempotent: r.Idempotent,
		Retryable:  r.Idempotent,
		Method:     http.MethodPost,
		Path:       r.Path,
		Header:     http.Header{"Content-Type": {"application/json"}},
		Body:       body,
	}
}
