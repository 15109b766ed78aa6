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
	lastHeartbeat time.Time // time of its assignment or of the last heartbeat that named it
	customer      string
	digest        quarantine.Digest // zero until the item's body was read
	suspect       bool              // the item must run alone: see isSuspect
	committing    bool              // its completion is being appended
}

// scheduler decides which item of a partition runs where. It starts no
// goroutines and is not safe for concurrent use; the caller replays the table.
type scheduler struct {
	inv              *invariant.Set
	table            *Table
	nonce            string // makes attempt IDs unique
	attemptCount     int
	running          map[itemKey]*attempt
	orphans          map[itemKey]time.Time // items begun by an attempt that is not known here, and when that was first seen
	resumes          map[itemKey]*api.Resume
	resumeBytes      int                  // sum of the text sizes in resumes
	endpointSeen     map[string]time.Time // time of the last report or heartbeat, by endpoint
	sortedOpen       []*job               // open jobs by due time; refreshed when jobsVersion changes
	jobsVersion      int
	reportedSuspects map[itemKey]bool   // items that quarantine suspects
	countedAttempts  map[itemKey]string // last attempt at an item whose failure was counted
	lostAttempts     []attempt          // lost together with their endpoint since the last tick
	beginsBlocked    bool               // the log does not respond: non-idempotent items can't start

	// permits reports whether items of a customer in a backlog may run at an endpoint.
	permits func(endpoint, customer string, key backlogKey) bool
	// isolates reports whether an endpoint is an isolation endpoint among those at which
	// items of a customer in a backlog may run.
	isolates func(endpoint, customer string, key backlogKey) bool
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
		permits:          func(_, _ string, _ backlogKey) bool { return true },
		isolates:         func(_, _ string, _ backlogKey) bool { return false },
	}
}

// openJobs returns the jobs that have not ended, by due time.
func (sc *scheduler) openJobs() []*job {
	if sc.jobsVersion != sc.table.jobsVersion {
		sc.jobsVersion = sc.table.jobsVersion
		sc.sortedOpen = sc.table.List("")
		slices.SortStableFunc(sc.sortedOpen, func(a, b *job) int { return a.Due.Compare(b.Due) })
	}
	sc.sortedOpen = slices.DeleteFunc(sc.sortedOpen, func(j *job) bool { return j.ended() || j.deletedOffset != 0 })
	return sc.sortedOpen
}

// candidate is a job that has an item for an endpoint.
type candidate struct {
	partition *partition
	customer  string
	job       string
	due       time.Time
}

// candidates returns, for each customer, the job that is due first of those
// that have an item for an endpoint of deployment. isolation says whether
// that endpoint is an isolation endpoint, which may run suspects.
func (sc *scheduler) candidates(now time.Time, deployment, endpoint string, isolation bool) []candidate {
	var out []candidate
	allowSuspects := isolation && !sc.hasSuspect(endpoint)
	known := make(map[string]bool)
	for _, j := range sc.openJobs() {
		if known[j.Customer] || now.After(j.Expires) {
			continue
		}
		if _, ok := sc.nextItem(now, j, deployment, endpoint, allowSuspects); ok {
			known[j.Customer] = true
			out = append(out, candidate{customer: j.Customer, job: j.ID, due: j.Due})
		}
	}
	return out
}

// hasSuspect reports whether a suspect runs at endpoint. Of suspects only one
// runs at an endpoint at a time.
func (sc *scheduler) hasSuspect(endpoint string) bool {
	for _, a := range sc.running {
		if a.endpoint == endpoint && a.suspect {
			return true
		}
	}
	return false
}

// isSuspect reports whether an item must run alone, because an endpoint crashed
// or was lost while it ran the item, or because quarantine suspects the item.
func (sc *scheduler) isSuspect(j *job, i int) bool {
	return j.items[i].crashes > 0 || sc.reportedSuspects[itemKey{j.ID, i}]
}

// isPending reports whether an item has no result and is not running.
func (sc *scheduler) isPending(j *job, i int) bool {
	return j.items[i].doneOffset == 0 && !j.items[i].running
}

// trackOrphan reports whether an item was begun by an attempt that is not known
// here. If so, it records when that was first seen.
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

// assignment is an item assigned to a sidecar, with the location of its input.
// The item is not sent to the sidecar yet: its body must be read, quarantine may
// hold it back, and a non-idempotent item needs a begin record first.
type assignment struct {
	work  api.Work
	chunk chunk // a copy
	index int   // of the item within the chunk
	gen   int   // generation to begin, if the item is not idempotent
	route string
}

// assign starts an attempt at the next item of a job, at endpoint. isolation says
// whether that is an isolation endpoint. It returns false if the job has ended or
// has no item for the endpoint now.
func (sc *scheduler) assign(now time.Time, jobID, deployment, endpoint string, isolation bool) (assignment, bool) {
	j := sc.table.Job(jobID)
	if j == nil || j.ended() {
		return assignment{}, false
	}
	i, ok := sc.nextItem(now, j, deployment, endpoint, isolation && !sc.hasSuspect(endpoint))
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
	t := assignment{chunk: *c, index: i - c.firstItem, gen: gen, route: tgt.Route}
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

// scheduleRetry has an item assigned again, not before at.
func (sc *scheduler) scheduleRetry(j *job, i int, at time.Time) {
	tgt, _ := j.target(i)
	b := sc.backlogFor(j, tgt)
	for n := range b.retries {
		if b.retries[n].item == i {
			b.retries[n].notBefore = at
			return
		}
	}
	b.retries = append(b.retries, pendingRetry{i, at})
}

// startAttempt records that an attempt runs at endpoint.
func (sc *scheduler) startAttempt(now time.Time, j *job, ref api.WorkRef, endpoint string) {
	sc.inv.Check(!j.ended(), invariant.CancelStops, "job %s item %d started after the job ended", j.ID, ref.Item)
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

// releaseItem ends the attempt at an item; the item may be assigned again, not
// before at.
func (sc *scheduler) releaseItem(j *job, i int, at time.Time) {
	delete(sc.running, itemKey{j.ID, i})
	j.items[i].running = false
	sc.scheduleRetry(j, i, at)
}

// storeResume keeps the partial output of an item that was returned (preempted
// or drained), unless that would exceed ResumeBytes.
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
