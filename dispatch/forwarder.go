package dispatch

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/api"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/locality"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

const (
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// maxSuspectRetryDelay bounds the random delay before the retry of a request
	// that may have crashed an endpoint.
	maxSuspectRetryDelay = 100 * time.Millisecond
)

// forwarder forwards one call to endpoints, in one or more attempts.
type forwarder struct {
	dispatcher *Dispatcher
	call       *pipeline.Call

	blocks     []uint64 // prefix hashes of the prompt; set by lookupPrefix
	attempts   int
	failedIDs  []string // IDs of the endpoints at which an attempt failed
	suspect    bool     // the request may have crashed an endpoint
	mayHaveRun bool     // an attempt was sent, and no sidecar states that it did not run
	stream     stream
}

// attemptFailure describes an attempt that ended without a complete response.
type attemptFailure struct {
	err            *api.Error
	retryable      bool // an attempt at another endpoint may succeed
	endpointFailed bool // the endpoint or the connection to it failed
	mayHaveCrashed bool // it failed with the call in flight, which may have crashed the endpoint
}

// run makes attempts until the caller has a complete response, or the call can't
// be retried.
func (f *forwarder) run(ctx context.Context) *api.Error {
	budget := f.dispatcher.budgets.get(f.call.Route.Deployment)
	budget.Deposit()
	var last *api.Error
	for {
		if f.checkQuarantine() {
			return f.fail(quarantine.Refusal())
		}
		endpoint, ok := f.pick()
		if !ok && last == nil {
			last = f.noEndpointError()
		}
		if !ok {
			return f.fail(last)
		}
		e := f.try(ctx, endpoint)
		if e == nil {
			return nil
		}
		last = e.err
		if !f.mayRetry(ctx, e) {
			return f.fail(last)
		}
		if !budget.Withdraw() {
			f.dispatcher.metrics.retriesDenied.Inc()
			return f.fail(last)
		}
		f.dispatcher.metrics.retries.Inc()
		if e.mayHaveCrashed && !f.dispatcher.suspects.Empty() {
			f.dispatcher.delaySuspectRetry(ctx)
		}
	}
}

// delaySuspectRetry waits for a random time of up to maxSuspectRetryDelay. All
// entries observe a crash at the same time; if they retried the suspects at once,
// two suspects could run at one endpoint before its sidecar isolates them.
func (d *Dispatcher) delaySuspectRetry(ctx context.Context) {
	t := time.NewTimer(time.Duration(d.rand.IntN(int(maxSuspectRetryDelay))))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// checkQuarantine reports whether the request is quarantined, and records in
// f.suspect whether it is a suspect.
func (f *forwarder) checkQuarantine() bool {
	if f.dispatcher.suspects.Empty() {
		f.suspect = false
		return false
	}
	v := f.dispatcher.suspects.Verdict(f.digest(), f.call.Customer)
	f.suspect = v == quarantine.Suspect
	return v == quarantine.Quarantined || f.dispatcher.suspects.PartsQuarantined(quarantine.PromptParts(f.call))
}

func (f *forwarder) digest() quarantine.Digest { return quarantine.DigestOfCall(f.call) }

// pick chooses the endpoint of the next attempt.
func (f *forwarder) pick() (infra.Instance, bool) { return f.pickFor(f.resumePosition()) }

// pickFor chooses an endpoint that can go on from a position; nil: from the start.
func (f *forwarder) pickFor(from *api.Resume) (infra.Instance, bool) {
	d := f.dispatcher
	prefixEndpoint, depth := f.lookupPrefix()
	q := Query{
		Now:            time.Now(),
		Subset:         f.subset(),
		Slots:          f.call.Deployment.Slots,
		Suspect:        f.suspect,
		Exclude:        f.failedIDs,
		Resume:         from,
		PrefixEndpoint: prefixEndpoint,
		PrefixSaving:   time.Duration(depth) * blockSaving,
		Usable:         d.detector.Usable,
	}
	i, ok := d.picker.Pick(&q, d.rand)
	if ok {
		d.invariants.Check(i.State != infra.Leaving && !d.detector.Leaving(i.ID),
			invariant.NoWorkWhenLeaving, "call %s was assigned to the leaving endpoint %s", f.call.ID, i.ID)
	}
	return i, ok
}

// subset returns the endpoints to choose from, in data centres in which the call may run:
// this entry's subset or, for a suspect, the isolation endpoints, determined among the
// usable endpoints.
func (f *forwarder) subset() membership.Subset {
	d := f.dispatcher
	if !f.suspect {
		return f.permittedSubset(d.subsets.get(f.call.Route.Deployment, d.members))
	}
	usable := slices.DeleteFunc(slices.Clone(d.members.Endpoints(f.call.Route.Deployment)), func(i infra.Instance) bool {
		return !d.detector.Usable(i.ID) || d.checkLocality(f.call, i.DataCentre) != locality.Allowed
	})
	return membership.Subset{Local: quarantine.IsolationEndpoints(usable)}
}

// lookupPrefix returns the endpoint that last got the longest known prefix of the
// prompt, and the length of that prefix in blocks.
func (f *forwarder) lookupPrefix() (endpoint string, depth int) {
	if f.call.Chat == nil {
		return "", 0
	}
	if f.blocks == nil {
		f.blocks = PrefixHashes(f.call.Customer, f.call.Chat.Messages)
	}
	return f.dispatcher.affinity.Lookup(f.blocks)
}

// try makes one attempt. It returns nil once the caller has the complete
// response.
func (f *forwarder) try(ctx context.Context, endpoint infra.Instance) *attemptFailure {
	d := f.dispatcher
	d.invariants.Check(f.call.Route.Idempotent || !f.mayHaveRun, invariant.AtMostOnce,
		"call %s, which is not idempotent, is sent again after an attempt that may have run", f.call.ID)
	a := &attempt{id: uuid.NewString(), endpoint: endpoint, startedAt: time.Now()}
	f.attempts++
	d.metrics.attempts.Inc()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.loads.Begin(endpoint, f.suspect, a.startedAt)
	d.detector.BeginAttempt(endpoint.ID, a.startedAt)
	if f.call.Route.Idempotent {
		d.inFlight.add(a, cancel)
		defer d.inFlight.remove(a)
	}
	e := f.exchange(ctx, a)
	now := time.Now()
	d.detector.EndAttempt(endpoint.ID, now)
	d.loads.End(endpoint.ID, f.suspect, now.Sub(a.startedAt), now)
	f.recordAttempt(a, e, now)
	return e
}

// recordAttempt records the result of an attempt; e is nil if it succeeded.
func (f *forwarder) recordAttempt(a *attempt, e *attemptFailure, now time.Time) {
	if e == nil {
		f.dispatcher.affinity.Record(f.blocks, a.endpoint.ID)
		f.clearCrashes()
		return
	}
	f.failedIDs = append(f.failedIDs, a.endpoint.ID)
	f.dispatcher.logger.Info().Str("request", f.call.ID).Str("attempt", a.id).Str("endpoint", a.endpoint.ID).
		Str("code", string(e.err.Code)).Str("outcome", string(e.err.Outcome)).Msg("attempt failed")
	if e.err.Outcome != api.NotRun {
		f.mayHaveRun = true
	}
	if e.endpointFailed {
		f.dispatcher.detector.RecordFailure(a.endpoint.ID, now)
	}
	if e.mayHaveCrashed {
		f.recordCrash(a)
	}
}

// recordCrash finds out by one probe, which takes at most membership.ProbeTimeout,
// whether the endpoint crashed or only the connection broke, and records a crash
// against the request. A sidecar that responds reports whether other attempts
// were in flight. If the whole instance is lost, that is not known, and the
// request is recorded as one of several that may have caused the crash.
func (f *forwarder) recordCrash(a *attempt) {
	d := f.dispatcher
	healthy, crash := d.probeSidecar(context.Background(), a.endpoint, a.id)
	if healthy {
		d.detector.RecordAlive(a.endpoint.ID, time.Now())
		return
	}
	if crash == api.NoCrash || crash == api.CrashLost && f.suspect && !a.startedAlone.Load() {
		return // the request was not running at the endpoint
	}
	digest := f.digest()
	d.logger.Info().Str("request", f.call.ID).Str("endpoint", a.endpoint.ID).Str("digest", digest.String()).
		Str("crash", string(crash)).Msg("endpoint died with the request in flight")
	d.suspects.RecordCrash(quarantine.Crash{
		Digest:   digest,
		Customer: f.call.Customer,
		Attempt:  a.id,
		Endpoint: a.endpoint.ID,
		Kind:     quarantine.CrashKind(crash, f.stream.events),

		PromptParts:    quarantine.PromptParts(f.call),
		HeaderReceived: crash == api.CrashAlone,
		Events:         f.stream.events,
	})
}

// clearCrashes clears the crashes recorded against the request and the parts of its
// prompt, as it has succeeded.
func (f *forwarder) clearCrashes() {
	if !f.dispatcher.suspects.Empty() {
		f.dispatcher.suspects.RecordSuccess(f.digest())
		f.dispatcher.suspects.RecordSoundParts(quarantine.PromptParts(f.call))
	}
}

// mayRetry reports whether the call may be sent again after e.
func (f *forwarder) mayRetry(ctx context.Context, e *attemptFailure) bool {
	if !e.retryable || ctx.Err() != nil || f.attempts >= maxAttempts {
		return false
	}
	if f.mayHaveRun && !f.call.Route.Idempotent {
		return false
	}
	return !f.call.ResponseStarted || f.stream.canResume(f.call)
}

// fail ends the call with e, with the outcome Unknown if an attempt may have run.
// It returns the error to send to the caller. If the response has started, it
// ends a stream of events with an error event instead, and panics with
// http.ErrAbortHandler.
func (f *forwarder) fail(e *api.Error) *api.Error {
	if f.mayHaveRun {
		e = e.WithOutcome(api.Unknown)
	}
	f.dispatcher.invariants.Check(e.Outcome != api.NotRun || !f.mayHaveRun && !f.call.ResponseStarted,
		invariant.NotRunIsTrue, "call %s is reported as not run, but may have run", f.call.ID)
	e.RequestID = f.call.ID
	if e.RetryAfter == 0 && (e.Status >= 500 || e.Status == http.StatusTooManyRequests) {
		e.RetryAfter = RetryAfter
	}
	if !f.call.ResponseStarted {
		return e
	}
	f.dispatcher.metrics.responsesAborted.Inc()
	f.stream.writeErrorEvent(f.call.W, e)
	panic(http.ErrAbortHandler)
}

// noEndpointError returns the error for a call for which no endpoint was picked.
func (f *forwarder) noEndpointError() *api.Error {
	if from := f.resumePosition(); from != nil {
		if _, ok := f.pickFor(nil); ok {
			return from.VersionError()
		}
	}
	if e := f.localityError(); e != nil {
		return e
	}
	e := api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint can take the call")
	return e.WithRetryAfter(RetryAfter)
}
