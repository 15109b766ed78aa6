package placement

import (
	"slices"
	"time"

	"dandelionrelay/locality"
)

// Refusal says that no endpoint can start a request in time. All but RetryAfter
// describe the endpoint where the request would start first.
type Refusal struct {
	RetryAfter time.Duration // time after which the caller should retry
	Wait       time.Duration // expected wait
	Endpoint   string        // ID; empty: no endpoint is eligible
	Load       Load          // over all entries
	Slowness   float64       // relative to the median of its deployment, at least 1
	Full       bool          // it refused a request for lack of a free slot less than fullTTL ago
	Limited    bool          // endpoints are only held back by the limits that they name
	Cold       bool          // endpoints are only held back as they are cold
	// Locality is not Allowed if no endpoint is in a data centre where the request may run.
	Locality locality.Verdict
}

// Request describes the request or batch item to place.
type Request struct {
	Deployment string
	Version    string        // of the software that wrote the part of the response that there is; empty: there is none
	Avoid      map[Key]bool  // endpoints that were already tried for it
	MaxWait    time.Duration // longest wait for its start that is useful to the caller
	AtMostOnce bool          // it must not be repeated after a failure
	Item       ItemTimes     // of a batch item
	// Homes are the regions of its route and of its customer. Each list binds on its own.
	Homes []locality.Homes

	warmOnly bool // no cold endpoint may be chosen
}

// versionAllows reports whether e may continue the response as far as its software goes:
// what two versions write does not fit together.
func (r Request) versionAllows(e *endpoint) bool { return r.Version == "" || e.Version == r.Version }

// Serves reports whether an endpoint is listed that can take a request, now or later.
func (t *Table) Serves(req Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(req.Deployment)
	return anyUsable(g.endpoints, req) || anyUsable(g.otherCell, req)
}

// ServesBatch reports whether an endpoint is listed that can take a batch item, now or
// later.
func (t *Table) ServesBatch(req Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates, _ := t.preferredFor(req)
	return anyUsable(candidates, req)
}

// anyUsable reports whether one of the endpoints may be chosen for a request as far as
// limits allow.
func anyUsable(endpoints []*endpoint, req Request) bool {
	return slices.ContainsFunc(endpoints, func(e *endpoint) bool { return e.usable(req) })
}

// Place reserves a slot or a place in the queue for an online request at the endpoint
// where it should start first, or refuses it if the expected wait there exceeds
// MaxWait. now is the entry's clock.
func (t *Table) Place(now time.Duration, req Request) (*Grant, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRequest(now)
	t.beginRamps(now)
	t.expireColdEntries(now)
	t.observeLoad(now)
	best, refusal := t.choose(now, req, t.takeColdToken)
	if refusal != nil {
		return nil, refusal
	}
	return t.newGrant(best, Online, now, nil), nil
}

// choose returns the endpoint for an online request, or the refusal of the request. takeToken
// takes a token for a request to an endpoint that is cold, and returns false if there is none.
func (t *Table) choose(now time.Duration, req Request, takeToken func(time.Duration, *endpoint) bool) (*endpoint, *Refusal) {
	for {
		best, wait := t.selectEndpoint(now, req)
		if best == nil {
			return nil, t.refuseAll(now, req)
		}
		if refusal := t.refuseLate(now, req, best, wait); refusal != nil {
			return nil, refusal
		}
		if takeToken(now, best) {
			return best, nil
		}
	}
}

// refuseLate returns the refusal of a request whose expected wait at best, beyond the given
// one, exceeds MaxWait; nil if it does not.
func (t *Table) refuseLate(now time.Duration, req Request, best *endpoint, wait time.Duration) *Refusal {
	if best.online() >= best.Slots && wait <= req.MaxWait {
		wait += t.queueDelay(now, req, best)
	}
	if wait <= req.MaxWait {
		return nil
	}
	return &Refusal{
		RetryAfter: t.retryAfter(wait - req.MaxWait),
		Wait:       wait,
		Endpoint:   best.ID,
		Load:       Load{Online: best.online(), Batch: best.batch()},
		Slowness:   t.group(req.Deployment).slowness(best),
		Full:       now < best.fullUntil,
	}
}

// refuseAll returns the refusal of a request for which no endpoint is eligible.
func (t *Table) refuseAll(now time.Duration, req Request) *Refusal {
	if v := t.verdict(req); v != locality.Allowed {
		return &Refusal{RetryAfter: LocalityRetryAfter, Locality: v}
	}
	limited := t.limitRetryAfter(now, req)
	if wait, ok := t.coldRetryAfter(now, req); ok && (limited == 0 || wait < limited) {
		return &Refusal{RetryAfter: t.retryAfter(wait), Wait: wait, Cold: true}
	}
	if wait := limited; wait > 0 {
		return &Refusal{RetryAfter: t.retryAfter(wait), Wait: wait, Limited: true}
	}
	return &Refusal{RetryAfter: minSuspension}
}
