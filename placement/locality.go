package placement

import (
	"time"

	"dandelionrelay/locality"
)

// LocalityRetryAfter is the Retry-After of a request for which no data centre is left:
// evacuations and changes of homes take effect within seconds.
const LocalityRetryAfter = time.Second

// SetPolicy replaces the policy that says in which data centres work may run, and preempts
// this entry's batch items in data centres that are evacuated. It returns the number of
// items that it has preempted. Without a policy there are no evacuations, and homes allow
// nothing, as no region is known.
func (t *Table) SetPolicy(p *locality.Policy) int {
	var callbacks []func()
	t.mu.Lock()
	t.policy = p
	t.evacuations = false
	for _, e := range t.endpoints {
		t.locate(e)
		if e.evacuated {
			callbacks = append(callbacks, e.preemptAll()...)
		}
	}
	t.mu.Unlock()
	for _, preempt := range callbacks {
		preempt()
	}
	return len(callbacks)
}

// locate applies the policy to an endpoint that is new or of which the data centre or the
// policy has changed.
func (t *Table) locate(e *endpoint) {
	e.region = t.policy.Region(e.DataCentre)
	e.evacuated = t.policy.Evacuated(e.DataCentre)
	t.evacuations = t.evacuations || e.evacuated
}

// preemptAll marks the batch grants at e as being preempted and returns the callbacks of
// those that were not marked before.
func (e *endpoint) preemptAll() []func() {
	var callbacks []func()
	for g := range e.grants {
		if !g.preempting {
			g.preempting = true
			callbacks = append(callbacks, g.preempt)
		}
	}
	return callbacks
}

// verdict returns whether e may run a request as far as its data centre goes.
func (r Request) verdict(e *endpoint) locality.Verdict {
	return locality.Decide(e.region, e.evacuated, r.Homes...)
}

// preferredFor returns the endpoints at which a batch item is placed: those with known
// loads or, if there are none in a data centre where it may run, those of other cells.
// otherCell says that these have taken the place of endpoints of the own cell; see
// takesOtherCellItem.
func (t *Table) preferredFor(req Request) (candidates []*endpoint, otherCell bool) {
	group := t.group(req.Deployment)
	if !t.evacuations && len(req.Homes) == 0 || len(group.endpoints) == 0 {
		return group.preferred(), false
	}
	for _, e := range group.endpoints {
		if req.verdict(e) == locality.Allowed {
			return group.endpoints, false
		}
	}
	return group.otherCell, true
}

// otherCellItemDivisor divides the slots of an endpoint of another cell: the quotient is the
// number of batch items that this entry may run there while its own cell has no endpoint for
// them. The loads there are not known here, so that nobody preempts these items for online
// requests.
const otherCellItemDivisor = 8

// takesOtherCellItem reports whether e, an endpoint of another cell, may get a batch item of
// this entry: of the entries of a cell only the first by rendezvous hashing sends items
// there, at least one and up to 1/otherCellItemDivisor of its slots at a time.
func (t *Table) takesOtherCellItem(e *endpoint) bool {
	return e.local.Batch < max(1, e.Slots/otherCellItemDivisor) && t.entriesAhead(e) == 0
}

// Verdict returns Allowed if an endpoint that could run the request otherwise is in a data
// centre where it may run, or if there is no endpoint at all. If not, it returns Evacuated
// if at least one is excluded only by an evacuation, and OutsideHomes otherwise.
func (t *Table) Verdict(req Request) locality.Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.verdict(req)
}

func (t *Table) verdict(req Request) locality.Verdict {
	result := locality.Allowed
	if !t.evacuations && len(req.Homes) == 0 {
		return result
	}
	group := t.group(req.Deployment)
	for _, candidates := range [][]*endpoint{group.endpoints, group.otherCell} {
		for _, e := range candidates {
			if e.Draining || e.leaving || e.replaced || !req.versionAllows(e) {
				continue
			}
			switch req.verdict(e) {
			case locality.Allowed:
				return locality.Allowed
			case locality.Evacuated:
				result = locality.Evacuated
			case locality.OutsideHomes:
				if result == locality.Allowed {
					result = locality.OutsideHomes
				}
			}
		}
	}
	return result
}
