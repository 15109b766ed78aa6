package online

import (
	"context"
	"io"
	"maps"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/upstream"
)

// Bounds of one request.
const (
	// maxWaitShare is the part of a route's goal that a request may wait for
	// its begin; the rest is for the endpoint's first step and the way back.
	maxWaitShare = 0.65
	// maxAttempts bounds the endpoints that are asked for one request, counting
	// those that did not run it.
	maxAttempts = 5
	// abandonCheckShare is the part of a route's goal after which a request that has
	// not begun is moved to an endpoint with a free slot: another entry has
	// placed a request there at the same time.
	abandonCheckShare = 0.4
	// minRemaining is the shortest time in which an endpoint can still answer.
	minRemaining = 60 * time.Millisecond
	// firstEventTimeoutGoals is how many goals a request waits for its first event
	// before another endpoint is tried.
	firstEventTimeoutGoals = 3
	// gapTimeoutShare is the part of a route's longest pause after which a stream is
	// continued elsewhere, so that the caller sees no longer pause.
	gapTimeoutShare = 0.6
	// minIntervalEvents is the number of events whose pace tells something of their
	// endpoint.
	minIntervalEvents = 2
	// staleRetryAfter is when a caller returns after this entry had no certain
	// configuration; by then the balancer sends it elsewhere.
	staleRetryAfter = 300 * time.Millisecond
)

// execution is the state of one request over all endpoints that are asked.
type execution struct {
	*Service
	call       *pipeline.Call
	route      *config.ProvidedRoute
	excluded   map[placement.Key]bool
	attempts   int // endpoints that were sent the request
	mayHaveRun int // of these, those that may have run it
	response   callerResponse
	endpoint   placement.Endpoint // the one asked last
	load       placement.Load     // there, when it was chosen
	cause      error              // the last failure at an endpoint
	refusal    *placement.Refusal
	intervals  eventstream.IntervalMeter // of the last endpoint's answer
}

// nextStep says how to go on after one endpoint.
type nextStep int

const (
	responseComplete nextStep = iota // the caller has the whole answer
	tryNext                          // another endpoint may be asked
	abort                            // none may
)

// run asks endpoints until the request is served or given up.
func (a *execution) run(ctx context.Context) *api.Error {
	for a.attempts < maxAttempts {
		grant, err := a.place(ctx)
		if err != nil {
			return err
		}
		v, result := a.tryEndpoint(ctx, grant)
		grant.Release(a.Clock(), result, a.intervals.Mean(minIntervalEvents))
		if v == responseComplete {
			a.clearSuspicion()
			return nil
		}
		a.excluded[grant.Key()] = true
		if v == abort {
			break
		}
	}
	return a.failure()
}

// reportCrash has the request suspected if the endpoint asked last has crashed with
// it. That is found out beside the next attempt.
func (a *execution) reportCrash() {
	death := quarantine.Death{
		Digest:   quarantine.Of(a.call),
		Customer: a.call.Customer,
		Request:  a.call.ID,
		Endpoint: a.endpoint.ID,
	}
	go quarantine.Blame(a.Suspects, a.Pool, death, a.endpoint.Address)
}

// clearSuspicion takes back what is held against a request that has ended well.
func (a *execution) clearSuspicion() {
	if !a.Suspects.Empty() {
		a.Suspects.Finished(quarantine.Of(a.call))
	}
}

// quarantined reports whether the request is known to crash endpoints.
func (a *execution) quarantined() bool {
	return !a.Suspects.Empty() && a.Suspects.Verdict(quarantine.Of(a.call), a.call.Customer) == quarantine.Quarantined
}

// place finds the next endpoint, or says why there is none.
func (a *execution) place(ctx context.Context) (*placement.Grant, *api.Error) {
	remaining := time.Until(a.call.Deadline)
	if ctx.Err() != nil || remaining < minRemaining {
		return nil, a.failure()
	}
	if !a.ConfigFresh(a.call) {
		return nil, a.configStale()
	}
	if a.mayHaveRun > 0 && a.quarantined() {
		return nil, a.failure()
	}
	patience := time.Duration(maxWaitShare * float64(a.route.Goal))
	if a.mayHaveRun > 0 {
		// It has begun: late is better than never.
		patience = remaining
	}
	grant, refused := a.Table.Place(a.Clock(), placement.Request{
		Deployment: a.call.Route.Deployment,
		Avoid:      a.excluded,
		MaxWait:    patience,
		AtMostOnce: !a.route.Resumable && !a.call.Route.Idempotent,
	})
	a.refusal = refused
	if refused != nil && a.mayHaveRun == 0 && refused.Endpoint == "" {
		return nil, notRunError(api.CodeNoEndpoint, "no endpoint of the deployment takes requests", refused.RetryAfter)
	}
	if refused != nil && a.mayHaveRun == 0 {
		return nil, notRunError(api.CodeOverloaded, "no endpoint can begin the request in time", refused.RetryAfter)
	}
	if refused != nil {
		return nil, a.failure()
	}
	a.endpoint, a.load = grant.Endpoint, grant.Load
	if grant.Load.Online+grant.Load.Batch >= grant.Endpoint.Slots {
		a.Table.PreemptBatch()
	}
	return grant, nil
}

// configStale refuses a request whose configuration is not certain any more.
func (a *execution) configStale() *api.Error {
	if a.mayHaveRun > 0 {
		return a.failure()
	}
	return notRunError(api.CodeConfigStale, "the configuration is not certain to be in force", staleRetryAfter)
}

// failure is the answer to a request that is given up.
func (a *execution) failure() *api.Error {
	if a.mayHaveRun == 0 {
		return notRunError(api.CodeNoEndpoint, "no endpoint ran the request", staleRetryAfter)
	}
	status, code := http.StatusBadGateway, api.CodeEndpointLost
	if time.Until(a.call.Deadline) < minRemaining {
		status, code = http.StatusGatewayTimeout, api.CodeDeadline
	}
	return api.NewError(status, code, "the endpoint's answer is lost").WithOutcome(api.Unknown)
}

// mayRetry reports whether another endpoint may run the request after one may
// have begun it.
func (a *execution) mayRetry() bool {
	return (a.route.Resumable || a.call.Route.Idempotent && !a.response.headerSent()) && a.mayHaveRun < a.route.MaxEndpoints
}

// afterEndpointLoss says how to go on when an endpoint that may have run the request
// is lost.
func (a *execution) afterEndpointLoss(cause error) nextStep {
	a.cause = cause
	if upstream.ClosedByEndpoint(cause) {
		a.reportCrash()
	}
	if a.mayRetry() {
		return tryNext
	}
	return abort
}

// tryEndpoint sends the request to one endpoint and passes its answer on.
func (a *execution) tryEndpoint(ctx context.Context, grant *placement.Grant) (nextStep, placement.Result) {
	a.attempts++
	a.intervals = eventstream.IntervalMeter{}
	x, err := a.Pool.Do(ctx, grant.Endpoint.Address, a.buildRequest(grant), a.waitDeadline(a.firstEventTimeout()))
	if err != nil {
		return a.afterNoResponse(ctx, grant, err)
	}
	r := x.Response
	switch {
	case a.Dialect.Elsewhere(r):
		a.discard(x)
		return tryNext, placement.Replaced
	case a.Dialect.NotRun(r):
		a.discard(x)
		return tryNext, placement.Full
	}
	a.mayHaveRun++
	if !a.Dialect.Vouched(r) {
		x.Close()
		return a.afterEndpointLoss(errorx.IllegalState.New("unsigned answer, status %d", r.StatusCode)), placement.Failed
	}
	if a.route.Stream && r.StatusCode == http.StatusOK {
		return a.relayEvents(ctx, x)
	}
	return a.relayBody(ctx, x)
}

// buildRequest returns what the endpoint of a grant is sent.
func (a *execution) buildRequest(grant *placement.Grant) *upstream.Request {
	c := a.call
	h := upstream.HeaderFor(c.R.Header, a.Dialect, upstream.RequestMetadata{
		Endpoint:  grant.Endpoint.ID,
		Customer:  c.Customer,
		Remaining: time.Until(c.Deadline),
		Resume:    a.response.cursor.HasID,
		LastEvent: a.response.cursor.LastID,
	})
	r := &upstream.Request{Method: c.R.Method, URI: c.R.RequestURI, Host: c.R.Host, Header: h, Body: c.Body, ID: c.ID}
	if a.route.Resumable && !a.response.headerSent() && a.mayHaveRun+1 < a.route.MaxEndpoints {
		r.AbandonCheck = time.Now().Add(time.Duration(abandonCheckShare * float64(a.route.Goal)))
		r.ShouldAbandon = func() bool { return a.freeSlotElsewhere(grant) }
	}
	return r
}

// freeSlotElsewhere reports whether another endpoint than that of grant would begin
// the request at once.
func (a *execution) freeSlotElsewhere(grant *placement.Grant) bool {
	avoid := maps.Clone(a.excluded)
	avoid[grant.Key()] = true
	return a.Table.HasFreeSlot(a.Clock(), placement.Request{Deployment: a.call.Route.Deployment, Avoid: avoid})
}

// firstEventTimeout is how long the header or the first event of an answer is
// awaited; 0: until the deadline.
func (a *execution) firstEventTimeout() time.Duration {
	if !a.route.Resumable || a.mayHaveRun+1 >= a.route.MaxEndpoints || a.response.headerSent() {
		return 0
	}
	return firstEventTimeoutGoals * a.route.Goal
}

// waitDeadline returns the end of a wait of d, at most the deadline.
func (a *execution) waitDeadline(d time.Duration) time.Time {
	if d == 0 {
		return a.call.Deadline
	}
	end := time.Now().Add(d)
	if end.After(a.call.Deadline) {
		return a.call.Deadline
	}
	return end
}

// afterNoResponse says how to go on after an exchange without an answer.
func (a *execution) afterNoResponse(ctx context.Context, grant *placement.Grant, err error) (nextStep, placement.Result) {
	a.cause = err
	if ctx.Err() != nil {
		a.mayHaveRun++
		return abort, placement.Aborted
	}
	if errorx.IsOfType(err, upstream.NotSent) {
		a.Pool.CloseIdle(grant.Endpoint.Address)
		return tryNext, placement.Failed
	}
	a.mayHaveRun++
	if errorx.IsOfType(err, upstream.Abandoned) {
		return tryNext, placement.Aborted
	}
	result := placement.Failed
	if upstream.TimedOut(err) && time.Until(a.call.Deadline) < minRemaining {
		result = placement.Aborted // it may well be only busy
	}
	return a.afterEndpointLoss(err), result
}

// discard finishes an exchange whose answer is of no use to the caller.
func (a *execution) discard(x *upstream.Exchange) {
	if _, err := x.ReadAll(time.Now().Add(minRemaining)); err != nil {
		a.Log.Debug().Err(err).Str("request", a.call.ID).Msg("refusal of an endpoint not read to its end")
	}
}

// relayBody passes an answer on that has no events, or a failure.
func (a *execution) relayBody(ctx context.Context, x *upstream.Exchange) (nextStep, placement.Result) {
	r := x.Response
	body, err := x.ReadAll(a.call.Deadline)
	if err != nil {
		if ctx.Err() != nil {
			return abort, placement.Aborted
		}
		return a.afterEndpointLoss(err), placement.Failed
	}
	result := placement.Done
	if r.StatusCode >= http.StatusInternalServerError && r.StatusCode != http.StatusGatewayTimeout {
		result = placement.ErrorResponse
	}
	if r.StatusCode >= http.StatusInternalServerError && a.mayRetry() {
		a.cause = errorx.ExternalError.New("status %d", r.StatusCode)
		return tryNext, result
	}
	if a.response.headerSent() {
		// A stream can't turn into a failure; it ends unfinished.
		a.cause = errorx.ExternalError.New("status %d on resuming", r.StatusCode)
		return abort, result
	}
	if err := a.response.writeBody(r, body); err != nil {
		a.cause = err
	}
	return responseComplete, result
}

// relayEvents passes the events of a stream on, whole ones only.
func (a *execution) relayEvents(ctx context.Context, x *upstream.Exchange) (nextStep, placement.Result) {
	reader := eventstream.NewReader(x.Response.Body)
	passed := 0
	for {
		e, err := a.nextEvent(x, reader, passed)
		if err == io.EOF && passed > 0 {
			x.Finish()
			return responseComplete, placement.Done
		}
		if err != nil {
			x.Close()
			return a.afterStreamError(ctx, err)
		}
		if a.response.cursor.IsDuplicate(e) {
			continue
		}
		if a.response.cursor.HasGap(e) {
			x.Close()
			return a.afterEndpointLoss(errorx.IllegalState.New("event %d came after event %d", e.ID, a.response.cursor.LastID)), placement.Failed
		}
		if err := a.response.writeEvent(x.Response, e); err != nil {
			x.Close()
			a.cause = err
			return abort, placement.Aborted
		}
		passed++
		a.intervals.Observe()
	}
}

// nextEvent reads one event, with patience only for as long as that serves the
// caller.
func (a *execution) nextEvent(x *upstream.Exchange, reader *eventstream.Reader, passed int) (eventstream.Event, error) {
	wait := a.firstEventTimeout()
	if passed > 0 {
		wait = a.gapTimeout()
	}
	x.SetReadDeadline(a.waitDeadline(wait))
	return reader.Next()
}

// gapTimeout is how long the next event of a stream is awaited; 0: until the
// deadline.
func (a *execution) gapTimeout() time.Duration {
	if !a.mayRetry() || a.route.GapGoal == 0 {
		return 0
	}
	return time.Duration(gapTimeoutShare * float64(a.route.GapGoal))
}

// afterStreamError says how to go on after a stream has ended unfinished.
func (a *execution) afterStreamError(ctx context.Context, err error) (nextStep, placement.Result) {
	if ctx.Err() != nil || time.Until(a.call.Deadline) < minRemaining {
		a.cause = err
		return abort, placement.Aborted
	}
	return a.afterEndpointLoss(err), placement.Failed
}
