package jobs

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// notReplayed reports whether the table has yet to replay what an attempt
// depends on: its job, or its begin record. A result must not be accepted
// before that.
func (sc *scheduler) notReplayed(ref api.WorkRef) bool {
	j, it := sc.findItem(ref)
	if it == nil {
		known, ok := sc.table.jobs[ref.Job]
		return !ok || known.deletedOffset == 0
	}
	tgt, ok := j.target(ref.Item)
	if !ok || tgt.Idempotent || it.doneOffset != 0 || j.ended() {
		return false
	}
	return !slices.ContainsFunc(j.begins[ref.Item], func(b begin) bool { return b.attempt == ref.Attempt })
}

// report processes the end of an attempt for which notReplayed is false, and
// returns the facts to append.
func (sc *scheduler) report(now time.Time, endpoint string, r *api.Result) []fact {
	sc.endpointSeen[endpoint] = now
	j, it := sc.findItem(r.WorkRef)
	if it == nil || it.doneOffset != 0 || j.ended() {
		sc.dropItem(itemKey{r.Job, r.Item})
		return nil
	}
	key := itemKey{r.Job, r.Item}
	known, ok := sc.running[key]
	if ok && known.committing {
		return nil
	}
	current := ok && known.ref.Attempt == r.Attempt
	tgt, _ := j.target(r.Item)
	if !tgt.Idempotent {
		return sc.reportAtMostOnce(now, j, r)
	}
	switch {
	case r.State == api.ResultDone && !retryable(r.Status):
		return sc.completeItem(now, j, r, itemDone)
	case ok && !current:
		return nil // another attempt has taken over
	case r.State == api.ResultDone:
		return sc.countFailure(now, j, r, 1, 0)
	case r.State == api.ResultUnknown && r.Crash == api.NoCrash:
		return sc.countFailure(now, j, r, 1, 0) // the connection broke, but the endpoint did not crash
	case r.State == api.ResultUnknown:
		return sc.countFailure(now, j, r, 0, 1)
	case r.State == api.ResultReturned:
		sc.storeResume(key, r.Resume)
		sc.releaseItem(j, r.Item, now)
	default:
		sc.releaseItem(j, r.Item, now.Add(RetryDelay))
	}
	return nil
}

// reportAtMostOnce processes the end of an attempt at a non-idempotent item.
func (sc *scheduler) reportAtMostOnce(now time.Time, j *job, r *api.Result) []fact {
	b, gen := j.currentBegin(r.Item)
	if b == nil || b.attempt != r.Attempt {
		return nil
	}
	switch r.State {
	case api.ResultDone:
		return sc.completeItem(now, j, r, itemDone)
	case api.ResultNotRun:
		sc.releaseItem(j, r.Item, now.Add(RetryDelay))
		return []fact{{Kind: factRelease, Job: j.ID, Item: r.Item, Attempt: r.Attempt, Gen: gen}}
	default:
		return sc.completeItem(now, j, r, itemUnknown)
	}
}

// completeItem returns the completion of an item. The item counts as running
// until the completion is replayed.
func (sc *scheduler) completeItem(now time.Time, j *job, r *api.Result, code resultCode) []fact {
	key := itemKey{j.ID, r.Item}
	a, ok := sc.running[key]
	if !ok {
		sc.startAttempt(now, j, r.WorkRef, "")
		a = sc.running[key]
	}
	a.committing = true
	f := fact{
		Kind:     factDone,
		Job:      j.ID,
		Item:     r.Item,
		CustomID: r.CustomID,
		Attempt:  r.Attempt,
		Code:     code,
	}
	if code == itemDone || code == itemFailed {
		f.Status = r.Status
		f.body = r.Body
	}
	if len(f.body) > MaxResultBytes {
		f.Code, f.body = itemTooLarge, nil
	}
	return []fact{f}
}

// countFailure counts a failed attempt. The item is assigned again later, or
// ends if the limit on failed attempts or on crashes is reached.
func (sc *scheduler) countFailure(now time.Time, j *job, r *api.Result, attempts, crashes int) []fact {
	it := &j.items[r.Item]
	if sc.alreadyCounted(r.WorkRef) {
		sc.releaseAttempt(now, j, r.WorkRef)
		return nil
	}
	sc.countedAttempts[itemKey{j.ID, r.Item}] = r.Attempt
	attempts += int(it.failedAttempts)
	crashes += int(it.crashes)
	alone := 0
	if r.Crash == api.CrashAlone {
		alone = 1
	}
	if quarantine.ShouldQuarantine(crashes, alone) {
		return sc.completeItem(now, j, r, itemCrashed)
	}
	if attempts >= MaxAttempts {
		return sc.completeItem(now, j, r, itemFailed)
	}
	it.failedAttempts, it.crashes = uint8(attempts), uint8(crashes)
	sc.releaseItem(j, r.Item, now.Add(RetryDelay<<attempts))
	return []fact{{Kind: factFailures, Job: j.ID, Item: r.Item, FailedAttempts: attempts, Crashes: crashes}}
}

// alreadyCounted reports whether the failure of an attempt was counted before.
// It is reported again if the reply to its report was lost, or if a heartbeat
// sent before the report made the attempt appear to be running.
func (sc *scheduler) alreadyCounted(ref api.WorkRef) bool {
	return sc.countedAttempts[itemKey{ref.Job, ref.Item}] == ref.Attempt
}

// releaseAttempt releases an item if it is recorded as running in that attempt.
func (sc *scheduler) releaseAttempt(now time.Time, j *job, ref api.WorkRef) {
	a, ok := sc.running[itemKey{ref.Job, ref.Item}]
	if ok && a.ref.Attempt == ref.Attempt {
		sc.releaseItem(j, ref.Item, now.Add(RetryDelay))
	}
}

// retryable reports whether repeating a request that got a response with this
// status may give another result.
func retryable(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// heartbeat records what runs at an endpoint and returns the attempts to be
// stopped there.
func (sc *scheduler) heartbeat(now time.Time, endpoint string, running []api.WorkRef) []api.WorkRef {
	sc.endpointSeen[endpoint] = now
	var stop []api.WorkRef
	for _, ref := range running {
		if !sc.confirmRunning(now, endpoint, ref) {
			stop = append(stop, ref)
		}
	}
	return stop
}

// confirmRunning records that an attempt is running and reports whether it may
// go on.
func (sc *scheduler) confirmRunning(now time.Time, endpoint string, ref api.WorkRef) bool {
	if sc.notReplayed(ref) {
		return true
	}
	j, it := sc.findItem(ref)
	if it == nil || it.doneOffset != 0 || j.ended() {
		sc.dropItem(itemKey{ref.Job, ref.Item})
		return false
	}
	a, ok := sc.running[itemKey{ref.Job, ref.Item}]
	if !ok {
		sc.startAttempt(now, j, ref, endpoint)
		return true
	}
	if a.ref.Attempt != ref.Attempt {
		return false
	}
	a.lastHeartbeat = now
	return true
}

// findItem returns an item and its job, or nil if the job is not known, not
// committed or deleted.
func (sc *scheduler) findItem(ref api.WorkRef) (*job, *item) {
	j := sc.table.Job(ref.Job)
	if j == nil || ref.Item < 0 || ref.Item >= len(j.items) {
		return nil, nil
	}
	return j, &j.items[ref.Item]
}

// dropItem removes what is recorded about a running or begun item.
func (sc *scheduler) dropItem(key itemKey) {
	delete(sc.running, key)
	delete(sc.orphans, key)
	sc.dropResume(key)
}

// tick returns the facts that result from timeouts: those of lost attempts and
// expired jobs.
func (sc *scheduler) tick(now time.Time) []fact {
	var out []fact
	for key, a := range sc.running {
		j, it := sc.findItem(a.ref)
		if it == nil || it.doneOffset != 0 || j.ended() {
			sc.dropItem(key)
			continue
		}
		if !a.committing && now.Sub(a.lastHeartbeat) > AttemptTimeout {
			out = append(out, sc.failLostAttempt(now, j, a)...)
		}
	}
	for key, since := range sc.orphans {
		out = append(out, sc.failLostOrphan(now, key, since)...)
	}
	for _, j := range sc.openJobs() {
		if !j.expiryPending && now.After(j.Expires) {
			j.expiryPending = true
			out = append(out, fact{Kind: factExpire, Job: j.ID})
		}
	}
	sc.dropEndedItems()
	for endpoint, seen := range sc.endpointSeen {
		if now.Sub(seen) > 2*AttemptTimeout {
			delete(sc.endpointSeen, endpoint)
		}
	}
	return out
}

// dropEndedItems removes the counted attempts and the suspicions of items that
// have ended.
func (sc *scheduler) dropEndedItems() {
	ended := func(key itemKey) bool {
		j, it := sc.findItem(api.WorkRef{Job: key.job, Item: key.item})
		return it == nil || it.doneOffset != 0 || j.ended()
	}
	maps.DeleteFunc(sc.countedAttempts, func(key itemKey, _ string) bool { return ended(key) })
	maps.DeleteFunc(sc.reportedSuspects, func(key itemKey, _ bool) bool { return ended(key) })
}

// failLostAttempt handles an attempt that no heartbeat named for AttemptTimeout.
// A non-idempotent item ends as unknown. Otherwise, if the endpoint is alive, the
// item is released without counting a failure; if the endpoint is lost, a crash
// is counted.
func (sc *scheduler) failLostAttempt(now time.Time, j *job, a *attempt) []fact {
	r := &api.Result{WorkRef: a.ref, State: api.ResultUnknown}
	if tgt, _ := j.target(a.ref.Item); !tgt.Idempotent {
		return sc.completeItem(now, j, r, itemUnknown)
	}
	if now.Sub(sc.endpointSeen[a.endpoint]) <= AttemptTimeout {
		sc.releaseItem(j, a.ref.Item, now)
		return nil
	}
	if !sc.alreadyCounted(a.ref) {
		sc.lostAttempts = append(sc.lostAttempts, *a)
	}
	return sc.countFailure(now, j, r, 0, 1)
}

// failLostOrphan ends an item that was begun by an attempt that neither a report
// nor a heartbeat has named for AttemptTimeout.
func (sc *scheduler) failLostOrphan(now time.Time, key itemKey, since time.Time) []fact {
	ref := api.WorkRef{Job: key.job, Item: key.item}
	j, it := sc.findItem(ref)
	if it == nil || it.doneOffset != 0 || it.running || j.ended() {
		delete(sc.orphans, key)
		return nil
	}
	if b, _ := j.currentBegin(key.item); b == nil {
		delete(sc.orphans, key) // released meanwhile
		return nil
	}
	if now.Sub(since) <= AttemptTimeout {
		return nil
	}
	return sc.completeItem(now, j, &api.Result{WorkRef: ref, State: api.ResultUnknown}, itemUnknown)
}
