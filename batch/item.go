package batch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/origin"
	"dandelionrelay/placement"
	"dandelionrelay/upstream"
)

// Time limits and delays of runs of an item.
const (
	// firstEventTimeout bounds the wait for the response header, and then for
	// the first event. It is longer than eventTimeout, as online requests may be
	// queued ahead at the endpoint.
	firstEventTimeout = 4 * time.Second
	// eventTimeout bounds the wait for each further event, and for the rest of
	// a response without events.
	eventTimeout = 1500 * time.Millisecond
	// maxTimeoutDoublings bounds how often these timeouts of an item double. They
	// double with each of its runs that timed out: its endpoints may be slow.
	maxTimeoutDoublings = 3
	// minRetryDelay is the delay before an item runs again after an endpoint
	// was lost or did not meet a condition; it doubles with each such run since the
	// item's last new event, up to maxRetryDelay. It also follows a run that the
	// endpoint did not execute for another reason.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// avoidDuration is how long an item is not placed at the endpoint where it
	// failed: by then it has run at another one if there is any.
	avoidDuration = 3 * time.Second
	// contentTimeout bounds one read of a request body and one write of contents.
	contentTimeout = 2 * time.Second
)

// outcome is how a run of an item ended. Its values are label values of
// relay_batch_runs_total and appear in logs.
type outcome string

// The outcomes of a run.
const (
	runCompleted     outcome = "completed"
	runFailed        outcome = "failed"   // the endpoint responded with status 500; counts as an attempt
	runUnprocessable outcome = "hopeless" // the endpoint responded with status 422, or the request can't be written; no endpoint can run it
	runLost          outcome = "lost"     // no complete response; the item resumes
	runNotExecuted   outcome = "not_run"  // the endpoint did not execute the item
	runUnmet         outcome = "unmet"    // the endpoint does not meet a condition that the item names
	runAborted       outcome = "yielded"  // cancelled: preempted, not owned any more, or Run has ended
)

// runItem runs an item once at the endpoint of grant and applies the outcome. It
// calls cancel when it returns.
func (r *runner) runItem(ctx context.Context, cancel context.CancelFunc, it runnableItem, route config.Route, grant *placement.Grant) {
	defer cancel()
	p := it.progress
	started := time.Now()
	from := p.events
	p.intervals = eventstream.IntervalMeter{}
	end, result, err := r.exchange(ctx, it, grant)
	if ctx.Err() != nil && end != runCompleted {
		end, result = runAborted, placement.Aborted
	}
	grant.Release(r.Clock(), result, p.intervals.Mean(minIntervalEvents))
	r.Metrics.runs.WithLabelValues(string(end)).Inc()
	if end == runAborted {
		r.recordPreemption(it, grant, p.events-from, time.Since(started))
	}
	if end == runCompleted {
		r.estimates.observe(it.job.Route, it.job.Items[p.id.item].Tokens, p.events, p.intervals.Mean(minIntervalEvents))
	}
	event := r.Log.Info().Str("job", it.job.ID).Str("request", it.job.Items[p.id.item].ID).Str("customer", it.job.Customer).
		Str("endpoint", grant.Endpoint.ID).Str("version", grant.Endpoint.Version).Int("at_endpoint_online", grant.Load.Online).Int("at_endpoint_batch", grant.Load.Batch).
		Str("outcome", string(end)).Int("from_event", from).Int("events", p.events).Dur("took_ms", time.Since(started)).
		Dur("until_due_ms", time.Until(it.due))
	if err != nil {
		event = event.AnErr("cause", err)
	}
	event.Msg("batch item run ended")
	if end == runLost && upstream.TimedOut(err) {
		p.timeouts = min(p.timeouts+1, maxTimeoutDoublings)
	}
	if end == runFailed {
		p.avoid = avoidedEndpoint{endpoint: grant.Key(), until: r.Clock() + avoidDuration}
	}
	r.applyOutcome(it, end, route)
	signal(r.wake)
}

// minIntervalEvents is the number of events in a run from which the mean interval
// between them is reported for the endpoint: runs of resumed items often have
// only a few events.
const minIntervalEvents = 8

// applyOutcome sets the state of an item after a run: finished with a result, or
// waiting to run again.
func (r *runner) applyOutcome(it runnableItem, end outcome, route config.Route) {
	p := it.progress
	r.mu.Lock()
	defer r.mu.Unlock()
	p.cancel = nil
	p.phase = phaseWaiting
	switch end {
	case runCompleted:
		p.phase = phaseFinished
		p.result = Result{State: Completed}
	case runUnprocessable:
		p.phase = phaseFinished
		p.result = Result{State: Errored, Reason: "endpoints can't do it"}
	case runFailed:
		p.failures++
		p.reset()
		if p.failures >= route.Provided.Batch.Attempts {
			p.phase = phaseFinished
			p.result = Result{State: Errored, Reason: "all attempts failed"}
		}
	case runLost, runUnmet:
		p.notBefore = r.Clock() + min(minRetryDelay<<min(it.losses, 6), maxRetryDelay)
		p.losses++
	case runNotExecuted:
		p.notBefore = r.Clock() + minRetryDelay
	}
	if p.phase == phaseFinished {
		signal(r.finished)
	}
}

// exchange sends an item to the endpoint of grant and collects its output. It returns
// the outcome, the result to report for the endpoint and, as the error, the cause of
// an outcome other than runCompleted.
func (r *runner) exchange(ctx context.Context, it runnableItem, grant *placement.Grant) (outcome, placement.Result, error) {
	request, err := r.buildRequest(ctx, it, grant)
	if err != nil {
		return runNotExecuted, placement.Aborted, err
	}
	request.BeforeSend = func() error { return r.maySend(grant) }
	x, err := r.Pool.Do(ctx, grant.Endpoint.Address, request, time.Now().Add(it.scaledTimeout(firstEventTimeout)))
	if errorx.IsOfType(err, upstream.Malformed) {
		return runUnprocessable, placement.Aborted, err
	}
	if errorx.IsOfType(err, upstream.Refused) {
		return runNotExecuted, placement.Aborted, err
	}
	if errorx.IsOfType(err, upstream.NotSent) {
		r.Pool.CloseIdle(grant.Endpoint.Address)
		return runNotExecuted, placement.Failed, err
	}
	if err != nil {
		return runLost, placement.Failed, err
	}
	upstream.Observe(r.Dialect, x.Response, grant, r.Clock(), r.Log)
	switch resp := x.Response; {
	case r.Dialect.Misdirected(resp) && r.Dialect.Conditional(request.Header):
		return r.readRejection(x, runUnmet, placement.Aborted)
	case r.Dialect.Misdirected(resp):
		return r.readRejection(x, runNotExecuted, placement.Replaced)
	case upstream.StatesNotRun(r.Dialect, resp):
		upstream.LogNotRun(r.Log, request.ID, grant.Endpoint.ID, x)
		return r.readRejection(x, runNotExecuted, placement.Full)
	case r.Dialect.NotRun(resp):
		x.Close()
		return runLost, placement.Failed, errorx.ExternalError.New("endpoint states beside status %d that it has not run the item", resp.StatusCode)
	case resp.StatusCode == http.StatusUnprocessableEntity:
		return r.readRejection(x, runUnprocessable, placement.Done)
	case resp.StatusCode == http.StatusInternalServerError:
		return r.readRejection(x, runFailed, placement.ErrorResponse)
	case resp.StatusCode != http.StatusOK || !r.Dialect.Signed(resp):
		x.Close()
		return runLost, placement.ErrorResponse, errorx.ExternalError.New("endpoint responded with status %d, signed: %t", resp.StatusCode, r.Dialect.Signed(resp))
	}
	return r.collect(it.progress, x, grant.Endpoint.Origin())
}

// maySend returns an error if an item may not be sent to the endpoint of grant. Reading its
// contents or opening a connection may have taken long.
func (r *runner) maySend(grant *placement.Grant) error {
	if r.MayStart != nil && !r.MayStart() {
		return errorx.IllegalState.New("the configuration was not confirmed recently enough")
	}
	if !grant.TakeSendToken(r.Clock()) {
		return errorx.RejectedOperation.New("the endpoint is cold and takes no more requests yet")
	}
	return nil
}

// readRejection reads a response that carries no output to its end, so that its
// connection can be reused. It returns end and result with the status as the
// error, or runLost if the response cannot be read within eventTimeout.
func (r *runner) readRejection(x *upstream.Exchange, end outcome, result placement.Result) (outcome, placement.Result, error) {
	status := x.Response.StatusCode
	if _, err := x.ReadAll(time.Now().Add(eventTimeout)); err != nil {
		return runLost, placement.Failed, err
	}
	return end, result, errorx.ExternalError.New("endpoint responded with status %d", status)
}

// buildRequest returns the request for an item at the endpoint of grant, with its
// body read from the store.
func (r *runner) buildRequest(ctx context.Context, it runnableItem, grant *placement.Grant) (*upstream.Request, error) {
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	item := it.job.Items[it.id.item]
	stored, err := r.contents.request(ctx, item.Ref)
	if err != nil {
		return nil, err
	}
	header := make(http.Header, len(stored.Header))
	for name, value := range stored.Header {
		header.Set(name, value)
	}
	h := upstream.HeaderFor(header, r.Dialect, upstream.RequestMetadata{
		Request:   item.ID,
		Endpoint:  grant.Endpoint.ID,
		Customer:  it.job.Customer,
		Resume:    it.cursor.HasID,
		LastEvent: it.cursor.LastID,
	})
	return &upstream.Request{
		Method: http.MethodPost,
		URI:    stored.Path,
		Host:   it.job.Host,
		Header: h,
		Body:   stored.Body,
		ID:     item.ID,
	}, nil
}

// collect appends the events of a response to the item's output until the response ends.
// source is the origin of the endpoint. Events that an earlier run delivered are skipped; a
// missing event ends the run.
func (r *runner) collect(p *progress, x *upstream.Exchange, source origin.Origin) (outcome, placement.Result, error) {
	x.StreamBody()
	reader := eventstream.NewReader(x.Response.Body)
	from := p.events
	for n := 0; ; n++ {
		timeout := eventTimeout
		if n == 0 {
			timeout = firstEventTimeout
		}
		x.SetReadDeadline(time.Now().Add(p.scaledTimeout(timeout)))
		e, err := reader.Next()
		if err == io.EOF && x.Unframed() && p.events == from {
			x.Close()
			p.restartIfStuck()
			return runLost, placement.Failed, errorx.ExternalError.New("the connection ended without an event")
		}
		if err == io.EOF && p.events > 0 {
			x.Finish()
			return runCompleted, placement.Done, nil
		}
		if err != nil {
			x.Close()
			return runLost, placement.Failed, err
		}
		if !e.HasID {
			x.Close()
			p.restartIfStuck()
			return runLost, placement.Failed, errorx.IllegalState.New("event without an ID in the stream")
		}
		if p.cursor.IsDuplicate(e) {
			continue
		}
		if p.cursor.HasGap(e) {
			x.Close()
			return runLost, placement.Done, errorx.IllegalState.New("event stream has a gap: event %d follows event %d", e.ID, p.cursor.LastID)
		}
		p.appendEvent(e, source)
		if limit := r.limits.Load().RecordBytes; len(p.output) > limit {
			x.Close()
			return r.endOversized(p, limit)
		}
	}
}

// endOversized returns the outcome of a run whose output exceeds the limit on stored
// outputs. The first time the endpoint may be faulty and the item begins again; the second
// time it ends, to be listed as errored.
func (r *runner) endOversized(p *progress, limit int) (outcome, placement.Result, error) {
	err := errorx.IllegalState.New("the output exceeds the limit of %d bytes", limit)
	p.oversizedRuns++
	if p.oversizedRuns > 1 {
		return runCompleted, placement.Done, err
	}
	p.reset()
	return runLost, placement.Failed, err
}

// maxEmptyRuns is the number of successive runs without a new event after which an item
// begins again: its output may be complete, and all that is missing is its end.
const maxEmptyRuns = 3

// restartIfStuck makes the item begin again if its latest runs brought no event.
func (p *progress) restartIfStuck() {
	if p.losses+1 >= maxEmptyRuns {
		p.reset()
	}
}

// scaledTimeout returns a timeout that has doubled with each run that timed out.
func (p *progress) scaledTimeout(timeout time.Duration) time.Duration { return timeout << p.timeouts }

// appendEvent appends the data of an event, whose origin is source, to the output and
// advances the cursor.
func (p *progress) appendEvent(e eventstream.Event, source origin.Origin) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.origin = source
	if p.events > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = e.AppendData(p.output)
	p.events++
	p.losses = 0
	p.intervals.Observe()
	p.cursor.Advance(e)
}
