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
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
	"dandelionrelay/quarantine"
)

const (
	// maxAttempts bounds the attempts of one call.
	maxAttempts = 4
	// suspectSpread is the time over which the suspects of one death are
	// repeated.
	suspectSpread = 100 * time.Millisecond
)

// delivery is one call on its way to an answer, over one or more attempts.
type delivery struct {
	d *Dispatcher
	c *pipeline.Call

	blocks     []uint64 // of the prompt, once they are needed
	attempts   int
	tried      []string // ids of the endpoints that failed
	suspect    bool
	mayHaveRun bool // an attempt was sent and no sidecar vouches for it
	stream     stream
}

// end is how an attempt ended without a whole answer.
type end struct {
	err    *api.Error
	repeat bool // another endpoint may do better
	failed bool // the endpoint or the way to it failed
	broken bool // it was so with the call in flight: the endpoint may have died of it
}

// run makes attempts until one gives the whole answer or the call is given up.
func (y *delivery) run(ctx context.Context) *api.Error {
	budget := y.d.budgets.of(y.c.Route.Deployment)
	budget.Deposit()
	last := noEndpoint()
	for {
		if y.quarantined() {
			return y.giveUp(quarantinedError())
		}
		endpoint, ok := y.pick()
		if !ok {
			return y.giveUp(last)
		}
		e := y.try(ctx, endpoint)
		if e == nil {
			return nil
		}
		last = e.err
		if !y.mayRepeat(ctx, e) {
			return y.giveUp(last)
		}
		if !budget.Withdraw() {
			y.d.metrics.denied.Inc()
			return y.giveUp(last)
		}
		y.d.metrics.repeats.Inc()
		if e.broken && !y.d.suspects.Empty() {
			y.d.spread(ctx)
		}
	}
}

// spread waits a short random time. All entries see a death at once; were
// they to repeat the suspects at once, two could meet at one endpoint before
// its sidecar tells them apart.
func (d *Dispatcher) spread(ctx context.Context) {
	t := time.NewTimer(time.Duration(d.rand.IntN(int(suspectSpread))))
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// quarantined looks the call up among the requests that endpoints died of.
func (y *delivery) quarantined() bool {
	if y.d.suspects.Empty() {
		y.suspect = false
		return false
	}
	v := y.d.suspects.Verdict(y.digest(), y.c.Customer)
	y.suspect = v == quarantine.Suspect
	return v == quarantine.Quarantined
}

func (y *delivery) digest() quarantine.Digest { return quarantine.DigestOfCall(y.c) }

// pick chooses the endpoint of the next attempt.
func (y *delivery) pick() (infra.Instance, bool) {
	d := y.d
	affine, depth := y.prefix()
	q := Query{
		Now:            time.Now(),
		Subset:         y.subset(),
		Slots:          y.c.Deployment.Slots,
		Suspect:        y.suspect,
		Exclude:        y.tried,
		PrefixEndpoint: affine,
		PrefixSaving:   time.Duration(depth) * blockSaving,
		Usable:         d.detector.Usable,
	}
	i, ok := d.picker.Pick(&q, d.rand)
	if ok {
		d.checks.Check(i.State != infra.Leaving && !d.detector.Leaving(i.ID),
			invariant.NoWorkWhenLeaving, "call %s picks leaving endpoint %s", y.c.ID, i.ID)
	}
	return i, ok
}

// subset returns the endpoints to choose from: for a suspect those that
// suspects are confined to.
func (y *delivery) subset() membership.Subset {
	d := y.d
	if !y.suspect {
		return d.subsets.of(y.c.Route.Deployment, d.members)
	}
	usable := slices.DeleteFunc(slices.Clone(d.members.Endpoints(y.c.Route.Deployment)), func(i infra.Instance) bool {
		return !d.detector.Usable(i.ID)
	})
	return membership.Subset{Local: quarantine.IsolationEndpoints(usable)}
}

// prefix returns the endpoint that last got the longest prefix of the prompt,
// and the length of that prefix in blocks.
func (y *delivery) prefix() (endpoint string, depth int) {
	if y.c.Chat == nil {
		return "", 0
	}
	if y.blocks == nil {
		y.blocks = PrefixHashes(y.c.Customer, y.c.Chat.Messages)
	}
	return y.d.affinity.Lookup(y.blocks)
}

// try makes one attempt. It returns nil once the caller has the whole answer.
func (y *delivery) try(ctx context.Context, endpoint infra.Instance) *end {
	d := y.d
	d.checks.Check(y.c.Route.Idempotent || !y.mayHaveRun, invariant.AtMostOnce,
		"call %s, not idempotent, is sent again", y.c.ID)
	a := &attempt{id: uuid.NewString(), endpoint: endpoint, began: time.Now()}
	y.attempts++
	d.metrics.attempts.Inc()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	d.loads.Begin(endpoint, y.suspect, a.began)
	d.detector.BeginAttempt(endpoint.ID, a.began)
	if y.c.Route.Idempotent {
		d.watch.add(a, cancel)
		defer d.watch.remove(a)
	}
	e := y.exchange(ctx, a)
	now := time.Now()
	d.detector.EndAttempt(endpoint.ID, now)
	d.loads.End(endpoint.ID, y.suspect, now.Sub(a.began), now)
	y.note(a, e, now)
	return e
}

// note keeps what the end of an attempt tells.
func (y *delivery) note(a *attempt, e *end, now time.Time) {
	if e == nil {
		y.d.affinity.Record(y.blocks, a.endpoint.ID)
		y.finished()
		return
	}
	y.tried = append(y.tried, a.endpoint.ID)
	y.d.logger.Info().Str("request", y.c.ID).Str("attempt", a.id).Str("endpoint", a.endpoint.ID).
		Str("code", string(e.err.Code)).Str("outcome", string(e.err.Outcome)).Msg("attempt failed")
	if e.err.Outcome != api.NotRun {
		y.mayHaveRun = true
	}
	if e.failed {
		y.d.detector.RecordFailure(a.endpoint.ID, now)
	}
	if e.broken {
		y.noteDeath(a)
	}
}

// noteDeath tells a dead endpoint from a cut connection by one probe, which
// takes the probe's timeout at most, and holds a death against the request. A
// sidecar that answers saw what else ran; if the whole instance is gone, the
// request counts as one of many.
func (y *delivery) noteDeath(a *attempt) {
	d := y.d
	healthy, crash := d.ask(context.Background(), a.endpoint, a.id)
	if healthy {
		d.detector.RecordAlive(a.endpoint.ID, time.Now())
		return
	}
	if crash == api.NoCrash || crash == api.CrashLost && y.suspect && !a.turn.Load() {
		return // it was not running there
	}
	digest := y.digest()
	d.logger.Info().Str("request", y.c.ID).Str("endpoint", a.endpoint.ID).Str("digest", digest.String()).
		Str("crash", string(crash)).Msg("endpoint died with the request in flight")
	d.suspects.RecordCrash(quarantine.Crash{
		Digest:   digest,
		Customer: y.c.Customer,
		Attempt:  a.id,
		Endpoint: a.endpoint.ID,
		Kind:     crash,
	})
}

// finished clears the request of the deaths held against it.
func (y *delivery) finished() {
	if !y.d.suspects.Empty() {
		y.d.suspects.RecordSuccess(y.digest())
	}
}

// mayRepeat says whether the call may be sent again after e.
func (y *delivery) mayRepeat(ctx context.Context, e *end) bool {
	if !e.repeat || ctx.Err() != nil || y.attempts >= maxAttempts {
		return false
	}
	if y.mayHaveRun && !y.c.Route.Idempotent {
		return false
	}
	return !y.c.ResponseStarted || y.stream.canResume(y.c)
}

// giveUp ends the call with e: at once, with what is known of its run.
func (y *delivery) giveUp(e *api.Error) *api.Error {
	if y.mayHaveRun {
		e = e.WithOutcome(api.Unknown)
	}
	y.d.checks.Check(e.Outcome != api.NotRun || !y.mayHaveRun && !y.c.ResponseStarted,
		invariant.NotRunIsTrue, "call %s may have run", y.c.ID)
	e.RequestID = y.c.ID
	if e.RetryAfter == 0 && (e.Status >= 500 || e.Status == http.StatusTooManyRequests) {
		e.RetryAfter = RetryAfter
	}
	if !y.c.ResponseStarted {
		return e
	}
	y.d.metrics.cut.Inc()
	y.stream.fail(y.c.W, e)
	panic(http.ErrAbortHandler)
}

func noEndpoint() *api.Error {
	e := api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "no endpoint can take the call")
	return e.WithRetryAfter(RetryAfter)
}

func quarantinedError() *api.Error {
	return api.NewError(http.StatusUnprocessableEntity, api.CodeQuarantined,
		"endpoints crashed running this request; it is not run again")
}
