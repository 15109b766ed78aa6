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
	// patienceShare is the part of a route's goal that a request may wait for
	// its begin; the rest is for the endpoint's first step and the way back.
	patienceShare = 0.65
	// maxAsked bounds the endpoints that are asked for one request, counting
	// those that did not run it.
	maxAsked = 5
	// reviewShare is the part of a route's goal after which a request that has
	// not begun is moved to an endpoint with a free slot: another entry has
	// placed a request there at the same time.
	reviewShare = 0.4
	// minRemaining is the shortest time in which an endpoint can still answer.
	minRemaining = 60 * time.Millisecond
	// firstEventGoals is how many goals a request waits for its first event
	// before another endpoint is tried.
	firstEventGoals = 3
	// gapShare is the part of a route's longest pause after which a stream is
	// continued elsewhere, so that the caller sees no longer pause.
	gapShare = 0.6
	// minPaceEvents is the number of events whose pace tells something of their
	// endpoint.
	minPaceEvents = 2
	// staleRetryAfter is when a caller returns after this entry had no certain
	// configuration; by then the balancer sends it elsewhere.
	staleRetryAfter = 300 * time.Millisecond
)

// attempt is the state of one request over all endpoints that are asked.
type attempt struct {
	*Service
	call     *pipeline.Call
	rules    *config.ProvidedRoute
	avoid    map[placement.Key]bool
	asked    int // endpoints that were sent the request
	began    int // of these, those that may have run it
	answer   answer
	endpoint placement.Endpoint // the one asked last
	load     placement.Load     // there, when it was chosen
	cause    error              // the last failure at an endpoint
	refused  *placement.Refusal
	pace     eventstream.IntervalMeter // of the last endpoint's answer
}

// verdict says how to go on after one endpoint.
type verdict int

const (
	finished verdict = iota // the caller has the whole answer
	next                    // another endpoint may be asked
	givenUp                 // none may
)

// run asks endpoints until the request is served or given up.
func (a *attempt) run(ctx context.Context) *api.Error {
	for a.asked < maxAsked {
		grant, err := a.place(ctx)
		if err != nil {
			return err
		}
		v, result := a.try(ctx, grant)
		grant.Release(a.Clock(), result, a.pace.Mean(minPaceEvents))
		if v == finished {
			a.clear()
			return nil
		}
		a.avoid[grant.Key()] = true
		if v == givenUp {
			break
		}
	}
	return a.failure()
}

// blame has the request suspected if the endpoint asked last has crashed with
// it. That is found out beside the next attempt.
func (a *attempt) blame() {
	death := quarantine.Death{
		Digest:   quarantine.Of(a.call),
		Customer: a.call.Customer,
		Request:  a.call.ID,
		Endpoint: a.endpoint.ID,
	}
	go quarantine.Blame(a.Suspects, a.Pool, death, a.endpoint.Address)
}

// clear takes back what is held against a request that has ended well.
func (a *attempt) clear() {
	if !a.Suspects.Empty() {
		a.Suspects.Finished(quarantine.Of(a.call))
	}
}

// condemned reports whether the request is known to crash endpoints.
func (a *attempt) condemned() bool {
	return !a.Suspects.Empty() && a.Suspects.Verdict(quarantine.Of(a.call), a.call.Customer) == quarantine.Quarantined
}

// place finds the next endpoint, or says why there is none.
func (a *attempt) place(ctx context.Context) (*placement.Grant, *api.Error) {
	remaining := time.Until(a.call.Deadline)
	if ctx.Err() != nil || remaining < minRemaining {
		return nil, a.failure()
	}
	if !a.ConfigFresh(a.call) {
		return nil, a.withdrawn()
	}
	if a.began > 0 && a.condemned() {
		return nil, a.failure()
	}
	patience := time.Duration(patienceShare * float64(a.rules.Goal))
	if a.began > 0 {
		// It has begun: late is better than never.
		patience = remaining
	}
	grant, refused := a.Table.Place(a.Clock(), placement.Request{
		Deployment: a.call.Route.Deployment,
		Avoid:      a.avoid,
		MaxWait:    patience,
		AtMostOnce: !a.rules.Resumable && !a.call.Route.Idempotent,
	})
	a.refused = refused
	if refused != nil && a.began == 0 && refused.Endpoint == "" {
		return nil, refusal(api.CodeNoEndpoint, "no endpoint of the deployment takes requests", refused.RetryAfter)
	}
	if refused != nil && a.began == 0 {
		return nil, refusal(api.CodeOverloaded, "no endpoint can begin the request in time", refused.RetryAfter)
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

// withdrawn refuses a request whose configuration is not certain any more.
func (a *attempt) withdrawn() *api.Error {
	if a.began > 0 {
		return a.failure()
	}
	return refusal(api.CodeConfigStale, "the configuration is not certain to be in force", staleRetryAfter)
}

// failure is the answer to a request that is given up.
func (a *attempt) failure() *api.Error {
	if a.began == 0 {
		return refusal(api.CodeNoEndpoint, "no endpoint ran the request", staleRetryAfter)
	}
	status, code := http.StatusBadGateway, api.CodeEndpointLost
	if time.Until(a.call.Deadline) < minRemaining {
		status, code = http.StatusGatewayTimeout, api.CodeDeadline
	}
	return api.NewError(status, code, "the endpoint's answer is lost").WithOutcome(api.Unknown)
}

// mayRepeat reports whether another endpoint may run the request after one may
// have begun it.
func (a *attempt) mayRepeat() bool {
	return (a.rules.Resumable || a.call.Route.Idempotent && !a.answer.started()) && a.began < a.rules.MaxEndpoints
}

// afterLoss says how to go on when an endpoint that may have run the request
// is lost.
func (a *attempt) afterLoss(cause error) verdict {
	a.cause = cause
	if upstream.ClosedByEndpoint(cause) {
		a.blame()
	}
	if a.mayRepeat() {
		return next
	}
	return givenUp
}

// try sends the request to one endpoint and passes its answer on.
func (a *attempt) try(ctx context.Context, grant *placement.Grant) (verdict, placement.Result) {
	a.asked++
	a.pace = eventstream.IntervalMeter{}
	x, err := a.Pool.Do(ctx, grant.Endpoint.Address, a.request(grant), a.patience(a.headerPatience()))
	if err != nil {
		return a.unanswered(ctx, grant, err)
	}
	r := x.Response
	switch {
	case a.Dialect.Elsewhere(r):
		a.drop(x)
		return next, placement.Replaced
	case a.Dialect.NotRun(r):
		a.drop(x)
		return next, placement.Full
	}
	a.began++
	if !a.Dialect.Vouched(r) {
		x.Close()
		return a.afterLoss(errorx.IllegalState.New("unsigned answer, status %d", r.StatusCode)), placement.Failed
	}
	if a.rules.Stream && r.StatusCode == http.StatusOK {
		return a.relayEvents(ctx, x)
	}
	return a.relayWhole(ctx, x)
}

// request returns what the endpoint of a grant is sent.
func (a *attempt) request(grant *placement.Grant) *upstream.Request {
	c := a.call
	h := upstream.HeaderFor(c.R.Header, a.Dialect, upstream.RequestMetadata{
		Endpoint:  grant.Endpoint.ID,
		Customer:  c.Customer,
		Remaining: time.Until(c.Deadline),
		Resume:    a.answer.cursor.HasID,
		LastEvent: a.answer.cursor.LastID,
	})
	r := &upstream.Request{Method: c.R.Method, URI: c.R.RequestURI, Host: c.R.Host, Header: h, Body: c.Body, ID: c.ID}
	if a.rules.Resumable && !a.answer.started() && a.began+1 < a.rules.MaxEndpoints {
		r.AbandonCheck = time.Now().Add(time.Duration(reviewShare * float64(a.rules.Goal)))
		r.ShouldAbandon = func() bool { return a.idleElsewhere(grant) }
	}
	return r
}

// idleElsewhere reports whether another endpoint than that of grant would begin
// the request at once.
func (a *attempt) idleElsewhere(grant *placement.Grant) bool {
	avoid := maps.Clone(a.avoid)
	avoid[grant.Key()] = true
	return a.Table.HasFreeSlot(a.Clock(), placement.Request{Deployment: a.call.Route.Deployment, Avoid: avoid})
}

// headerPatience is how long the header or the first event of an answer is
// awaited; 0: until the deadline.
func (a *attempt) headerPatience() time.Duration {
	if !a.rules.Resumable || a.began+1 >= a.rules.MaxEndpoints || a.answer.started() {
		return 0
	}
	return firstEventGoals * a.rules.Goal
}

// patience returns the end of a wait of d, at most the deadline.
func (a *attempt) patience(d time.Duration) time.Time {
	if d == 0 {
		return a.call.Deadline
	}
	end := time.Now().Add(d)
	if end.After(a.call.Deadline) {
		return a.call.Deadline
	}
	return end
}

// unanswered says how to go on after an exchange without an answer.
func (a *attempt) unanswered(ctx context.Context, grant *placement.Grant, err error) (verdict, placement.Result) {
	a.cause = err
	if ctx.Err() != nil {
		a.began++
		return givenUp, placement.Aborted
	}
	if errorx.IsOfType(err, upstream.NotSent) {
		a.Pool.CloseIdle(grant.Endpoint.Address)
		return next, placement.Failed
	}
	a.began++
	if errorx.IsOfType(err, upstream.Abandoned) {
		return next, placement.Aborted
	}
	result := placement.Failed
	if upstream.TimedOut(err) && time.Until(a.call.Deadline) < minRemaining {
		result = placement.Aborted // it may well be only busy
	}
	return a.afterLoss(err), result
}

// drop finishes an exchange whose answer is of no use to the caller.
func (a *attempt) drop(x *upstream.Exchange) {
	if _, err := x.ReadAll(time.Now().Add(minRemaining)); err != nil {
		a.Log.Debug().Err(err).Str("request", a.call.ID).Msg("refusal of an endpoint not read to its end")
	}
}

// relayWhole passes an answer on that has no events, or a failure.
func (a *attempt) relayWhole(ctx context.Context, x *upstream.Exchange) (verdict, placement.Result) {
	r := x.Response
	body, err := x.ReadAll(a.call.Deadline)
	if err != nil {
		if ctx.Err() != nil {
			return givenUp, placement.Aborted
		}
		return a.afterLoss(err), placement.Failed
	}
	result := placement.Done
	if r.StatusCode >= http.StatusInternalServerError && r.StatusCode != http.StatusGatewayTimeout {
		result = placement.ErrorResponse
	}
	if r.StatusCode >= http.StatusInternalServerError && a.mayRepeat() {
		a.cause = errorx.ExternalError.New("status %d", r.StatusCode)
		return next, result
	}
	if a.answer.started() {
		// A stream can't turn into a failure; it ends unfinished.
		a.cause = errorx.ExternalError.New("status %d on resuming", r.StatusCode)
		return givenUp, result
	}
	if err := a.answer.whole(r, body); err != nil {
		a.cause = err
	}
	return finished, result
}

// relayEvents passes the events of a stream on, whole ones only.
func (a *attempt) relayEvents(ctx context.Context, x *upstream.Exchange) (verdict, placement.Result) {
	reader := eventstream.NewReader(x.Response.Body)
	passed := 0
	for {
		e, err := a.nextEvent(x, reader, passed)
		if err == io.EOF && passed > 0 {
			x.Finish()
			return finished, placement.Done
		}
		if err != nil {
			x.Close()
			return a.brokenOff(ctx, err)
		}
		if a.answer.cursor.IsDuplicate(e) {
			continue
		}
		if a.answer.cursor.HasGap(e) {
			x.Close()
			return a.afterLoss(errorx.IllegalState.New("event %d came after event %d", e.ID, a.answer.cursor.LastID)), placement.Failed
		}
		if err := a.answer.event(x.Response, e); err != nil {
			x.Close()
			a.cause = err
			return givenUp, placement.Aborted
		}
		passed++
		a.pace.Observe()
	}
}

// nextEvent reads one event, with patience only for as long as that serves the
// caller.
func (a *attempt) nextEvent(x *upstream.Exchange, reader *eventstream.Reader, passed int) (eventstream.Event, error) {
	wait := a.headerPatience()
	if passed > 0 {
		wait = a.gapPatience()
	}
	x.SetReadDeadline(a.patience(wait))
	return reader.Next()
}

// gapPatience is how long the next event of a stream is awaited; 0: until the
// deadline.
func (a *attempt) gapPatience() time.Duration {
	if !a.mayRepeat() || a.rules.GapGoal == 0 {
		return 0
	}
	return time.Duration(gapShare * float64(a.rules.GapGoal))
}

// brokenOff says how to go on after a stream has ended unfinished.
func (a *attempt) brokenOff(ctx context.Context, err error) (verdict, placement.Result) {
	if ctx.Err() != nil || time.Until(a.call.Deadline) < minRemaining {
		a.cause = err
		return givenUp, placement.Aborted
	}
	return a.afterLoss(err), placement.Failed
}
