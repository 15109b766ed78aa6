package placement

import (
	"cmp"
	"slices"
	"time"

	"dandelionrelay/locality"
)

// Reason says why an endpoint is not among the candidates for a request.
type Reason string

// The reasons. Those from ReasonReserved on apply to batch items only.
const (
	ReasonDraining     Reason = "draining"
	ReasonLeaving      Reason = "leaving"
	ReasonReplaced     Reason = "replaced"
	ReasonVersion      Reason = "version"
	ReasonEvacuated    Reason = "evacuated"
	ReasonOutsideHomes Reason = "outside_homes"
	ReasonNamedLimit   Reason = "named_limit"
	ReasonColdToken    Reason = "cold_without_token"
	ReasonSuspended    Reason = "suspended"
	ReasonFailing      Reason = "failing"
	ReasonOtherCell    Reason = "other_cell"
	ReasonReserved     Reason = "left_to_online" // a cold endpoint, or one that names a limit, while others are listed
	ReasonFull         Reason = "full"           // it refused a request for lack of a slot just now
	ReasonRamp         Reason = "ramp"
	ReasonNoSlot       Reason = "no_free_slot"
	ReasonTurn         Reason = "turn_of_other_entries" // free slots are scarce
	ReasonWave         Reason = "waits_for_trough"      // the item would not end before the next peak of online load
)

// ExplainedEndpoint is an endpoint as a request would find it.
type ExplainedEndpoint struct {
	Endpoint Endpoint
	Reasons  []Reason      // empty: the request may go there
	Retry    time.Duration // until a named limit, a cold token or a suspension allows a request; 0: none, or not known
	Load     Load          // over all entries
	Wait     time.Duration // expected
	Cost     time.Duration // the wait with penalties; its random part has its mean
	Slowness float64       // relative to the median of its deployment, at least 1
	ColdLeft time.Duration // for which it remains cold; 0: it is not
	Ramp     int           // concurrent requests that its ramp allows over all entries; 0: no ramp
	score    float64       // of batch items; the highest comes first
}

// Explanation says where a request would go, and why.
type Explanation struct {
	Candidates []ExplainedEndpoint // the one that would be chosen first
	Excluded   []ExplainedEndpoint // by ID
	// Refusal is nil if an online request would be placed. Its random parts have their means.
	Refusal *Refusal
	// Locality is the verdict over all endpoints; see Table.Verdict.
	Locality locality.Verdict
}

// Explain returns what Place (or PlaceBatch, for kind Batch) would decide at now, and
// changes nothing: the decision runs on a copy. Place may choose another candidate whose
// cost is less than costJitter above that of the first.
func (t *Table) Explain(now time.Duration, req Request, kind Kind) Explanation {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.scratch(req.Deployment)
	var x Explanation
	s.beginRamps(now)
	var best *endpoint
	s.observeLoad(now)
	if kind == Batch {
		req = s.batchRequest(now, req)
		best = s.chooseForBatch(now, req, s.peekColdToken)
	} else {
		s.recordRequest(now)
		best, x.Refusal = s.choose(now, req, s.peekColdToken)
	}
	x.Locality = s.verdict(req)
	s.list(now, req, kind, &x, func(e *endpoint) bool {
		return e == best || x.Refusal != nil && x.Refusal.Endpoint == e.ID
	})
	return x
}

// list adds all endpoints of the deployment to x. Those for which decided is true are known
// to be candidates.
func (t *Table) list(now time.Duration, req Request, kind Kind, x *Explanation, decided func(*endpoint) bool) {
	group := t.group(req.Deployment)
	all := slices.Concat(group.endpoints, group.otherCell)
	for _, e := range all {
		// A token may be missing that the decision had no need to ask for.
		if !decided(e) && e.usable(req) && e.limitWait(now) == 0 {
			t.peekColdToken(now, e)
		}
	}
	reasons := t.onlineReasons
	if kind == Batch {
		reasons = t.batchReasons
	}
	for e, r := range reasons(now, req, all) {
		v := t.view(now, e, r)
		if len(r) == 0 {
			x.Candidates = append(x.Candidates, v)
		} else {
			x.Excluded = append(x.Excluded, v)
		}
	}
	byID := func(a, b ExplainedEndpoint) int {
		return cmp.Or(cmp.Compare(a.Endpoint.ID, b.Endpoint.ID), cmp.Compare(a.Endpoint.StartMs, b.Endpoint.StartMs))
	}
	slices.SortFunc(x.Excluded, byID)
	slices.SortFunc(x.Candidates, func(a, b ExplainedEndpoint) int {
		if kind == Batch {
			return cmp.Or(cmp.Compare(b.score, a.score), byID(a, b))
		}
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), byID(a, b))
	})
}

// view describes e.
func (t *Table) view(now time.Duration, e *endpoint, reasons []Reason) ExplainedEndpoint {
	slowness := t.group(e.Deployment).slowness(e)
	v := ExplainedEndpoint{
		Endpoint: e.Endpoint,
		Reasons:  reasons,
		Load:     Load{Online: e.online(), Batch: e.batch()},
		Wait:     t.estimateWait(e, now, slowness),
		Slowness: slowness,
		score:    t.batchScore(e, slowness),
	}
	v.Cost = v.Wait + t.penalty(now, e) + t.tieBreak(e)
	if e.isCold(now) {
		v.ColdLeft = e.cold.until - now
	}
	if e.ramping() {
		v.Ramp = min(e.ramp.bound(), e.Slots)
	}
	if len(reasons) > 0 {
		v.Retry = e.retryIn(now)
	}
	return v
}

// retryIn returns the time until the limit that e names, its cold rate and its suspension
// allow a request; 0 if they do or if it is not known.
func (e *endpoint) retryIn(now time.Duration) time.Duration {
	cold := e.coldWait(now)
	if cold > 0 && e.cold.part.burst < 1 {
		cold = e.cold.until - now // this entry has no part of its limit
	}
	return max(0, cold, e.limitWait(now), e.suspendedUntil-now)
}
