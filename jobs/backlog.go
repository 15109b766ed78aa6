package jobs

import (
	"slices"
	"time"

	"dandelionrelay/invariant"
)

// backlog holds the items of a job on one route that are still to be assigned to
// endpoints of one deployment: those from cursor on, and those to be retried.
type backlog struct {
	cursor  int
	retries []pendingRetry
}

// pendingRetry is an item to be assigned again.
type pendingRetry struct {
	item      int
	notBefore time.Time
}

// backlogKey identifies a backlog of a job. Items of different routes have different
// homes, so that they are not assigned to the same endpoints.
type backlogKey struct{ deployment, route string }

func (t target) backlogKey() backlogKey { return backlogKey{t.Deployment, t.Route} }

// backlogFor returns the backlog of j for the deployment and the route of t.
func (sc *scheduler) backlogFor(j *job, t target) *backlog {
	b, ok := j.backlogs[t.backlogKey()]
	if !ok {
		b = new(backlog)
		if j.backlogs == nil {
			j.backlogs = make(map[backlogKey]*backlog)
		}
		j.backlogs[t.backlogKey()] = b
	}
	return b
}

// hasBacklogKey reports whether an item belongs to the backlog with the given key.
func (sc *scheduler) hasBacklogKey(j *job, i int, key backlogKey) bool {
	tgt, ok := j.target(i)
	sc.inv.Check(ok, invariant.AcknowledgedIsDurable, "job %s item %d: accepted, but its input chunk is missing", j.ID, i)
	return ok && tgt.backlogKey() == key
}

// nextItem returns the item of j to assign to an endpoint of deployment next, without
// assigning it: the first one of the routes whose items may run at the endpoint.
// allowSuspects says whether that may be a suspect, also if the endpoint is not an
// isolation endpoint within the homes of the item.
func (sc *scheduler) nextItem(now time.Time, j *job, deployment, endpoint string, allowSuspects bool) (int, bool) {
	if sc.beginsBlocked && !j.idempotent() {
		return 0, false
	}
	next, found := 0, false
	for n, t := range j.file.Targets {
		earlier := func(o target) bool { return o.backlogKey() == t.backlogKey() }
		if t.Deployment != deployment || slices.ContainsFunc(j.file.Targets[:n], earlier) || !sc.permits(endpoint, j.Customer, t.backlogKey()) {
			continue
		}
		mayRunSuspects := func() bool {
			return allowSuspects || !sc.hasSuspect(endpoint) && sc.isolates(endpoint, j.Customer, t.backlogKey())
		}
		if i, ok := sc.nextInBacklog(now, j, t, mayRunSuspects); ok && (!found || i < next) {
			next, found = i, true
		}
	}
	return next, found
}

// nextInBacklog returns the item of j to assign next among those with the deployment and
// the route of t. mayRunSuspects is called only if there are suspects.
func (sc *scheduler) nextInBacklog(now time.Time, j *job, t target, mayRunSuspects func() bool) (int, bool) {
	b := sc.backlogFor(j, t)
	b.retries = slices.DeleteFunc(b.retries, func(r pendingRetry) bool { return !sc.isPending(j, r.item) })
	for _, r := range b.retries {
		if r.notBefore.After(now) || sc.isSuspect(j, r.item) && !mayRunSuspects() || sc.trackOrphan(now, j, r.item) {
			continue
		}
		return r.item, true
	}
	for ; b.cursor < len(j.items); b.cursor++ {
		if !sc.isPending(j, b.cursor) || !sc.hasBacklogKey(j, b.cursor, t.backlogKey()) {
			continue
		}
		if sc.trackOrphan(now, j, b.cursor) {
			continue
		}
		if sc.isSuspect(j, b.cursor) && !mayRunSuspects() {
			sc.scheduleRetry(j, b.cursor, now)
			continue
		}
		return b.cursor, true
	}
	return 0, false
}
