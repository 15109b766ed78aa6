package placement

import (
	"time"

	"dandelionrelay/locality"
)

// hardReasons returns why e is not eligible for a request; none if it is.
func (e *endpoint) hardReasons(now time.Duration, req Request) []Reason {
	var reasons []Reason
	add := func(r Reason, applies bool) {
		if applies {
			reasons = append(reasons, r)
		}
	}
	verdict := req.verdict(e)
	add(ReasonDraining, e.Draining)
	add(ReasonLeaving, e.leaving)
	add(ReasonReplaced, e.replaced)
	add(ReasonVersion, !req.versionAllows(e))
	add(ReasonEvacuated, verdict == locality.Evacuated)
	add(ReasonOutsideHomes, verdict == locality.OutsideHomes)
	add(ReasonNamedLimit, e.limitWait(now) > 0)
	add(ReasonColdToken, e.coldWait(now) > 0)
	add(ReasonReserved, req.warmOnly && e.isCold(now))
	return reasons
}

// passedOver says why e is used only if no other endpoint is left.
type passedOver struct{ suspended, failing, otherCell bool }

func (e *endpoint) passedOver(now time.Duration, req Request, includeFailing bool) passedOver {
	return passedOver{
		suspended: now < e.suspendedUntil,
		failing:   !includeFailing && e.excluded(req),
		otherCell: e.OtherCell,
	}
}

// rank returns the order, from 0, in which selectEndpoint looks at endpoints.
func (p passedOver) rank() int {
	rank := 0
	if p.suspended || p.failing {
		rank += 2
	}
	if p.otherCell {
		rank++
	}
	return rank
}

// reasons returns why an endpoint is passed over while others of the given rank are left.
func (p passedOver) reasons(best int) []Reason {
	var reasons []Reason
	if p.suspended && best < 2 {
		reasons = append(reasons, ReasonSuspended)
	}
	if p.failing && best < 2 {
		reasons = append(reasons, ReasonFailing)
	}
	if p.otherCell && best%2 == 0 {
		reasons = append(reasons, ReasonOtherCell)
	}
	return reasons
}

// onlineReasons returns why an online request would not go to each endpoint.
func (t *Table) onlineReasons(now time.Duration, req Request, all []*endpoint) map[*endpoint][]Reason {
	result := make(map[*endpoint][]Reason, len(all))
	includeFailing := t.group(req.Deployment).tooManyFailing()
	best := -1
	for _, e := range all {
		result[e] = e.hardReasons(now, req)
		if rank := e.passedOver(now, req, includeFailing).rank(); len(result[e]) == 0 && (best < 0 || rank < best) {
			best = rank
		}
	}
	for _, e := range all {
		p := e.passedOver(now, req, includeFailing)
		if len(result[e]) > 0 || p.rank() > best {
			result[e] = append(result[e], p.reasons(max(best, 0))...)
		}
	}
	return result
}

// batchReasons returns why a batch item would not go to each endpoint.
func (t *Table) batchReasons(now time.Duration, req Request, all []*endpoint) map[*endpoint][]Reason {
	candidates, elsewhere := t.preferredFor(req)
	otherCells := len(candidates) > 0 && candidates[0].OtherCell
	includeLimited := allLimited(candidates)
	includeFailing := t.group(req.Deployment).tooManyFailing()
	scarce, waits := !elsewhere && t.scarce(candidates), !t.itemMayStart(now, req)
	away := t.mayStartElsewhere(now, req, candidates)
	result := make(map[*endpoint][]Reason, len(all))
	for _, e := range all {
		reasons := e.hardReasons(now, req)
		p := e.passedOver(now, req, includeFailing)
		p.otherCell = e.OtherCell != otherCells || elsewhere && !t.takesOtherCellItem(e)
		reasons = append(reasons, p.reasons(0)...)
		if e.limit != nil && !includeLimited {
			reasons = append(reasons, ReasonReserved)
		}
		if now < e.fullUntil {
			reasons = append(reasons, ReasonFull)
		}
		if !t.withinRamp(e, now) {
			reasons = append(reasons, ReasonRamp)
		}
		if e.freeForBatch() <= 0 {
			reasons = append(reasons, ReasonNoSlot)
		}
		if scarce && !t.mayTakeFree(e, now, e.freeForBatch()) {
			reasons = append(reasons, ReasonTurn)
		}
		if waits || e.DataCentre != t.dataCentre && !away {
			reasons = append(reasons, ReasonWave)
		}
		result[e] = reasons
	}
	return result
}
