package jobs

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/quarantine"
)

// behind says whether a table has yet to replay what an attempt follows from:
// its job, or its begin. A result must not be accepted before.
func (o *owner) behind(ref api.WorkRef) bool {
	j, it := o.find(ref)
	if it == nil {
		known, ok := o.table.jobs[ref.Job]
		return !ok || known.deleted == 0
	}
	tgt, ok := j.target(ref.Item)
	if !ok || tgt.Idempotent || it.first != 0 || j.ended() {
		return false
	}
	return !slices.ContainsFunc(j.begins[ref.Item], func(b begin) bool { return b.attempt == ref.Attempt })
}

// report takes the end of an attempt that is not behind and returns the facts
// to append.
func (o *owner) report(now time.Time, endpoint string, r *api.Result) []fact {
	o.endpoints[endpoint] = now
	j, it := o.find(r.WorkRef)
	if it == nil || it.first != 0 || j.ended() {
		o.forget(itemKey{r.Job, r.Item})
		return nil
	}
	key := itemKey{r.Job, r.Item}
	known, ok := o.running[key]
	if ok && known.committing {
		return nil
	}
	current := ok && known.ref.Attempt == r.Attempt
	tgt, _ := j.target(r.Item)
	if !tgt.Idempotent {
		return o.reportOnce(now, j, r)
	}
	switch {
	case r.State == api.ResultDone && !retryable(r.Status):
		return o.finish(now, j, r, itemDone)
	case ok && !current:
		return nil // another attempt has taken over
	case r.State == api.ResultDone:
		return o.setback(now, j, r, 1, 0)
	case r.State == api.ResultUnknown && r.Crash == api.NoCrash:
		return o.setback(now, j, r, 1, 0) // the connection broke, the endpoint lives
	case r.State == api.ResultUnknown:
		return o.setback(now, j, r, 0, 1)
	case r.State == api.ResultReturned:
		o.keepResume(key, r.Resume)
		o.release(j, r.Item, now)
	default:
		o.release(j, r.Item, now.Add(RetryDelay))
	}
	return nil
}

// reportOnce takes the end of an attempt at a non-idempotent item.
func (o *owner) reportOnce(now time.Time, j *job, r *api.Result) []fact {
	b, gen := j.currentBegin(r.Item)
	if b == nil || b.attempt != r.Attempt {
		return nil
	}
	switch r.State {
	case api.ResultDone:
		return o.finish(now, j, r, itemDone)
	case api.ResultNotRun:
		o.release(j, r.Item, now.Add(RetryDelay))
		return []fact{{Kind: factRelease, Job: j.ID, Item: r.Item, Attempt: r.Attempt, Gen: gen}}
	default:
		return o.finish(now, j, r, itemUnknown)
	}
}

// finish returns the completion of an item. The item counts as running until
// the completion is replayed.
func (o *owner) finish(now time.Time, j *job, r *api.Result, code resultCode) []fact {
	key := itemKey{j.ID, r.Item}
	a, ok := o.running[key]
	if !ok {
		o.start(now, j, r.WorkRef, "")
		a = o.running[key]
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
		f.Code, f.body = itemTooBig, nil
	}
	return []fact{f}
}

// setback counts a failed attempt. The item is handed out again later, or
// ends if its attempts are used up.
func (o *owner) setback(now time.Time, j *job, r *api.Result, attempts, deaths int) []fact {
	it := &j.items[r.Item]
	if o.alreadyCounted(r.WorkRef) {
		o.releaseAttempt(now, j, r.WorkRef)
		return nil
	}
	o.counted[itemKey{j.ID, r.Item}] = r.Attempt
	attempts += int(it.attempts)
	deaths += int(it.deaths)
	alone := 0
	if r.Crash == api.CrashAlone {
		alone = 1
	}
	if quarantine.ShouldQuarantine(deaths, alone) {
		return o.finish(now, j, r, itemCrashed)
	}
	if attempts >= MaxAttempts {
		return o.finish(now, j, r, itemFailed)
	}
	it.attempts, it.deaths = uint8(attempts), uint8(deaths)
	o.release(j, r.Item, now.Add(RetryDelay<<attempts))
	return []fact{{Kind: factSetback, Job: j.ID, Item: r.Item, Attempts: attempts, Deaths: deaths}}
}

// alreadyCounted says whether the failure of an attempt was counted before. It
// comes again if the answer to its report was lost, or if a heartbeat that was
// under way took the attempt for one that runs.
func (o *owner) alreadyCounted(ref api.WorkRef) bool {
	return o.counted[itemKey{ref.Job, ref.Item}] == ref.Attempt
}

// releaseAttempt releases an item if it is thought to run as that attempt.
func (o *owner) releaseAttempt(now time.Time, j *job, ref api.WorkRef) {
	a, ok := o.running[itemKey{ref.Job, ref.Item}]
	if ok && a.ref.Attempt == ref.Attempt {
		o.release(j, ref.Item, now.Add(RetryDelay))
	}
}

// retryable says whether an answer with this status may change by repeating
// the request.
func retryable(status int) bool {
	return status >= http.StatusInternalServerError || status == http.StatusTooManyRequests
}

// heartbeat notes what runs at an endpoint and returns what shall stop there.
func (o *owner) heartbeat(now time.Time, endpoint string, running []api.WorkRef) []api.WorkRef {
	o.endpoints[endpoint] = now
	var stop []api.WorkRef
	for _, ref := range running {
		if !o.alive(now, endpoint, ref) {
			stop = append(stop, ref)
		}
	}
	return stop
}

// alive notes that an attempt runs and says whether it shall go on.
func (o *owner) alive(now time.Time, endpoint string, ref api.WorkRef) bool {
	if o.behind(ref) {
		return true
	}
	j, it := o.find(ref)
	if it == nil || it.first != 0 || j.ended() {
		o.forget(itemKey{ref.Job, ref.Item})
		return false
	}
	a, ok := o.running[itemKey{ref.Job, ref.Item}]
	if !ok {
		o.start(now, j, ref, endpoint)
		return true
	}
	if a.ref.Attempt != ref.Attempt {
		return false
	}
	a.seen = now
	return true
}

// find returns an item that may still be worked on.
func (o *owner) find(ref api.WorkRef) (*job, *item) {
	j := o.table.Job(ref.Job)
	if j == nil || ref.Item < 0 || ref.Item >= len(j.items) {
		return nil, nil
	}
	return j, &j.items[ref.Item]
}

func (o *owner) forget(key itemKey) {
	delete(o.running, key)
	delete(o.orphans, key)
	o.dropResume(key)
}

// tick returns the facts that follow from the passing of time: lost attempts
// and jobs that ran out of time.
func (o *owner) tick(now time.Time) []fact {
	var out []fact
	for key, a := range o.running {
		j, it := o.find(a.ref)
		if it == nil || it.first != 0 || j.ended() {
			o.forget(key)
			continue
		}
		if !a.committing && now.Sub(a.seen) > AttemptTimeout {
			out = append(out, o.lost(now, j, a)...)
		}
	}
	for key, since := range o.orphans {
		out = append(out, o.orphanLost(now, key, since)...)
	}
	for _, j := range o.openJobs() {
		if !j.expired && now.After(j.Expires) {
			j.expired = true
			out = append(out, fact{Kind: factExpire, Job: j.ID})
		}
	}
	o.dropEnded()
	for endpoint, seen := range o.endpoints {
		if now.Sub(seen) > 2*AttemptTimeout {
			delete(o.endpoints, endpoint)
		}
	}
	return out
}

// dropEnded forgets the failures of items that have ended.
func (o *owner) dropEnded() {
	over := func(key itemKey) bool {
		j, it := o.find(api.WorkRef{Job: key.job, Item: key.item})
		return it == nil || it.first != 0 || j.ended()
	}
	maps.DeleteFunc(o.counted, func(key itemKey, _ string) bool { return over(key) })
	maps.DeleteFunc(o.confined, func(key itemKey, _ bool) bool { return over(key) })
}

// lost handles an attempt that was not named for long: its endpoint is gone,
// or lives and never got it.
func (o *owner) lost(now time.Time, j *job, a *attempt) []fact {
	r := &api.Result{WorkRef: a.ref, State: api.ResultUnknown}
	if tgt, _ := j.target(a.ref.Item); !tgt.Idempotent {
		return o.finish(now, j, r, itemUnknown)
	}
	if now.Sub(o.endpoints[a.endpoint]) <= AttemptTimeout {
		o.release(j, a.ref.Item, now)
		return nil
	}
	if !o.alreadyCounted(a.ref) {
		o.mourned = append(o.mourned, *a)
	}
	return o.setback(now, j, r, 0, 1)
}

// orphanLost ends a begun item whose attempt is not heard of.
func (o *owner) orphanLost(now time.Time, key itemKey, since time.Time) []fact {
	ref := api.WorkRef{Job: key.job, Item: key.item}
	j, it := o.find(ref)
	if it == nil || it.first != 0 || it.running || j.ended() {
		delete(o.orphans, key)
		return nil
	}
	if b, _ := j.currentBegin(key.item); b == nil {
		delete(o.orphans, key) // released meanwhile
		return nil
	}
	if now.Sub(since) <= AttemptTimeout {
		return nil
	}
	return o.finish(now, j, &api.Result{WorkRef: ref, State: api.ResultUnknown}, itemUnknown)
}
