package jobs

import (
	"fmt"
	"slices"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/invariant"
	"dandelionrelay/quarantine"
)

// itemKey identifies an item of a partition.
type itemKey struct {
	job  string
	item int
}

// attempt is one run of an item at an endpoint.
type attempt struct {
	ref           api.WorkRef
	endpoint      string
	lastHeartbeat time.Time // of the last heartbeat that named it
	customer      string
	digest        quarantine.Digest // zero until the item was read
	suspect       bool              // an endpoint died with the item before
	committing    bool              // its result is on the way to the log
}

// backlog is what a job still has to hand out to one deployment: the items
// from cursor on, and those that came back.
type backlog struct {
	cursor  int
	retries []pendingRetry
}

// retry is an item to be handed out again.
type pendingRetry struct {
	item      int
	notBefore time.Time
}

// owner decides which item of a partition runs where. It is passive; the
// table is replayed by the caller.
type scheduler struct {
	inv              *invariant.Set
	table            *Table
	nonce            string // makes attempt ids unique
	attemptCount     int
	running          map[itemKey]*attempt
	orphans          map[itemKey]time.Time // begun elsewhere, not heard of since
	resumes          map[itemKey]*api.Resume
	resumeBytes      int                  // bytes in resumes
	endpointSeen     map[string]time.Time // last heard of
	sortedOpen       []*job               // by due time; refreshed when commits changes
	jobsVersion      int
	reportedSuspects map[itemKey]bool   // suspects that no endpoint died of here
	countedAttempts  map[itemKey]string // last attempt whose failure was counted
	lostAttempts     []attempt          // lost since the last look, with their endpoint
	beginsBlocked    bool               // the log is down: non-idempotent items can't start
}

func newScheduler(inv *invariant.Set, table *Table, nonce string) *scheduler {
	return &scheduler{
		inv:              inv,
		table:            table,
		nonce:            nonce,
		running:          make(map[itemKey]*attempt),
		orphans:          make(map[itemKey]time.Time),
		resumes:          make(map[itemKey]*api.Resume),
		endpointSeen:     make(map[string]time.Time),
		reportedSuspects: make(map[itemKey]bool),
		countedAttempts:  make(map[itemKey]string),
		jobsVersion:      -1,
	}
}

// openJobs returns the jobs that have not ended, earliest due first.
func (sc *scheduler) openJobs() []*job {
	if sc.jobsVersion != sc.table.jobsVersion {
		sc.jobsVersion = sc.table.jobsVersion
		sc.sortedOpen = sc.table.List("")
		slices.SortStableFunc(sc.sortedOpen, func(a, b *job) int { return a.Due.Compare(b.Due) })
	}
	sc.sortedOpen = slices.DeleteFunc(sc.sortedOpen, func(j *job) bool { return j.ended() || j.deletedOffset != 0 })
	return sc.sortedOpen
}

// candidate is a job that has an item for a puller.
type candidate struct {
	partition *partition
	customer  string
	job       string
	due       time.Time
}

// candidates returns for each customer its earliest due job that has an item
// for an endpoint of deployment.
func (sc *scheduler) candidates(now time.Time, deployment, endpoint string, isolates bool) []candidate {
	var out []candidate
	suspects := isolates && !sc.hasSuspect(endpoint)
	known := make(map[string]bool)
	for _, j := range sc.openJobs() {
		if known[j.Customer] || now.After(j.Expires) {
			continue
		}
		if _, ok := sc.nextItem(now, j, deployment, suspects); ok {
			known[j.Customer] = true
			out = append(out, candidate{customer: j.Customer, job: j.ID, due: j.Due})
		}
	}
	return out
}

// hasSuspect says whether a suspect runs at endpoint: each runs alone.
func (sc *scheduler) hasSuspect(endpoint string) bool {
	for _, a := range sc.running {
		if a.endpoint == endpoint && a.suspect {
			return true
		}
	}
	return false
}

// isSuspect says whether an item is only to run alone.
func (sc *scheduler) isSuspect(j *job, i int) bool {
	return j.items[i].crashes > 0 || sc.reportedSuspects[itemKey{j.ID, i}]
}

// next returns the item of j to hand out next, without taking it. suspects
// says whether that may be a suspect.
func (sc *scheduler) nextItem(now time.Time, j *job, deployment string, suspects bool) (int, bool) {
	b := sc.backlogFor(j, deployment)
	if sc.beginsBlocked && !j.idempotent() {
		return 0, false
	}
	b.retries = slices.DeleteFunc(b.retries, func(r pendingRetry) bool { return !sc.isPending(j, r.item) })
	for _, r := range b.retries {
		if r.notBefore.After(now) || !suspects && sc.isSuspect(j, r.item) || sc.trackOrphan(now, j, r.item) {
			continue
		}
		return r.item, true
	}
	for ; b.cursor < len(j.items); b.cursor++ {
		if !sc.isPending(j, b.cursor) || !sc.targetsDeployment(j, b.cursor, deployment) {
			continue
		}
		if sc.trackOrphan(now, j, b.cursor) {
			continue
		}
		if !suspects && sc.isSuspect(j, b.cursor) {
			sc.scheduleRetry(j, b.cursor, now)
			continue
		}
		return b.cursor, true
	}
	return 0, false
}

func (sc *scheduler) backlogFor(j *job, deployment string) *backlog {
	b, ok := j.backlogs[deployment]
	if !ok {
		b = new(backlog)
		if j.backlogs == nil {
			j.backlogs = make(map[string]*backlog)
		}
		j.backlogs[deployment] = b
		if !slices.ContainsFunc(j.file.Targets, func(t target) bool { return t.Deployment == deployment }) {
			b.cursor = len(j.items)
		}
	}
	return b
}

// goesTo says whether an open item is for deployment.
func (sc *scheduler) targetsDeployment(j *job, i int, deployment string) bool {
	tgt, ok := j.target(i)
	sc.inv.Check(ok, invariant.AcknowledgedIsDurable, "job %s item %d: accepted but its body is gone", j.ID, i)
	return ok && tgt.Deployment == deployment
}

func (sc *scheduler) isPending(j *job, i int) bool {
	return j.items[i].doneOffset == 0 && !j.items[i].running
}

// orphaned notes an item that was begun by an attempt not known here.
func (sc *scheduler) trackOrphan(now time.Time, j *job, i int) bool {
	if b, _ := j.currentBegin(i); b == nil {
		return false
	}
	key := itemKey{j.ID, i}
	if _, ok := sc.orphans[key]; !ok {
		sc.orphans[key] = now
	}
	return true
}

// taken is an item on its way to an endpoint.
type assignment struct {
	work  api.Work
	chunk chunk // a copy
	index int   // within the chunk
	gen   int   // generation to begin, of a non-idempotent item
}

// take marks the next item of a job as running at endpoint.
func (sc *scheduler) assign(now time.Time, jobID, deployment, endpoint string, isolates bool) (assignment, bool) {
	j := sc.table.Job(jobID)
	if j == nil || j.ended() {
		return assignment{}, false
	}
	i, ok := sc.nextItem(now, j, deployment, isolates && !sc.hasSuspect(endpoint))
	if !ok {
		return assignment{}, false
	}
	tgt, _ := j.target(i)
	_, gen := j.currentBegin(i)
	sc.attemptCount++
	ref := api.WorkRef{Job: j.ID, Item: i, Attempt: fmt.Sprintf("%s-%d", sc.nonce, sc.attemptCount)}
	sc.startAttempt(now, j, ref, endpoint)
	c := j.file.chunkOf(i)
	key := itemKey{j.ID, i}
	t := assignment{chunk: *c, index: i - c.firstItem, gen: gen}
	t.work = api.Work{
		WorkRef:    ref,
		Customer:   j.Customer,
		Deployment: tgt.Deployment,
		Path:       tgt.Path,
		Idempotent: tgt.Idempotent,
		Suspect:    sc.isSuspect(j, i),
		Due:        j.Due,
		Resume:     sc.resumes[key],
	}
	sc.dropResume(key)
	return t, true
}

// postpone moves an item to the retries, to be handed out at a later time.
func (sc *scheduler) scheduleRetry(j *job, i int, at time.Time) {
	tgt, _ := j.target(i)
	b := sc.backlogFor(j, tgt.Deployment)
	for n := range b.retries {
		if b.retries[n].item == i {
			b.retries[n].notBefore = at
			return
		}
	}
	b.retries = append(b.retries, pendingRetry{i, at})
}

func (sc *scheduler) startAttempt(now time.Time, j *job, ref api.WorkRef, endpoint string) {
	sc.inv.Check(!j.ended(), invariant.CancelStops, "job %s item %d started after its end", j.ID, ref.Item)
	it := &j.items[ref.Item]
	it.running = true
	key := itemKey{j.ID, ref.Item}
	delete(sc.orphans, key)
	sc.running[key] = &attempt{
		ref:           ref,
		endpoint:      endpoint,
		lastHeartbeat: now,
		customer:      j.Customer,
		suspect:       sc.isSuspect(j, ref.Item),
	}
}

// release ends the attempt at an item and hands the item out again at a time.
func (sc *scheduler) releaseItem(j *job, i int, at time.Time) {
	delete(sc.running, itemKey{j.ID, i})
	j.items[i].running = false
	sc.scheduleRetry(j, i, at)
}

func (sc *scheduler) storeResume(key itemKey, r *api.Resume) {
	if r == nil || sc.resumeBytes+len(r.Text) > ResumeBytes {
		return
	}
	sc.dropResume(key)
	sc.resumes[key] = r
	sc.resumeBytes += len(r.Text)
}

func (sc *scheduler) dropResume(key itemKey) {
	if r, ok := sc.resumes[key]; ok {
		sc.resumeBytes -= len(r.Text)
		delete(sc.resumes, key)
	}
}
