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
	ref        api.WorkRef
	endpoint   string
	seen       time.Time // of the last heartbeat that named it
	customer   string
	digest     quarantine.Digest // zero until the item was read
	suspect    bool              // an endpoint died with the item before
	committing bool              // its result is on the way to the log
}

// backlog is what a job still has to hand out to one deployment: the items
// from cursor on, and those that came back.
type backlog struct {
	cursor int
	retry  []retry
}

// retry is an item to be handed out again.
type retry struct {
	item int
	at   time.Time
}

// owner decides which item of a partition runs where. It is passive; the
// table is replayed by the caller.
type owner struct {
	inv       *invariant.Set
	table     *Table
	nonce     string // makes attempt ids unique
	attempts  int
	running   map[itemKey]*attempt
	orphans   map[itemKey]time.Time // begun elsewhere, not heard of since
	resumes   map[itemKey]*api.Resume
	resumed   int                  // bytes in resumes
	endpoints map[string]time.Time // last heard of
	open      []*job               // by due time; refreshed when commits changes
	commits   int
	confined  map[itemKey]bool   // suspects that no endpoint died of here
	counted   map[itemKey]string // last attempt whose failure was counted
	mourned   []attempt          // lost since the last look, with their endpoint
	noBegins  bool               // the log is down: non-idempotent items can't start
}

func newOwner(inv *invariant.Set, table *Table, nonce string) *owner {
	return &owner{
		inv:       inv,
		table:     table,
		nonce:     nonce,
		running:   make(map[itemKey]*attempt),
		orphans:   make(map[itemKey]time.Time),
		resumes:   make(map[itemKey]*api.Resume),
		endpoints: make(map[string]time.Time),
		confined:  make(map[itemKey]bool),
		counted:   make(map[itemKey]string),
		commits:   -1,
	}
}

// openJobs returns the jobs that have not ended, earliest due first.
func (o *owner) openJobs() []*job {
	if o.commits != o.table.commits {
		o.commits = o.table.commits
		o.open = o.table.List("")
		slices.SortStableFunc(o.open, func(a, b *job) int { return a.Due.Compare(b.Due) })
	}
	o.open = slices.DeleteFunc(o.open, func(j *job) bool { return j.ended() || j.deleted != 0 })
	return o.open
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
func (o *owner) candidates(now time.Time, deployment, endpoint string, isolates bool) []candidate {
	var out []candidate
	suspects := isolates && !o.hasSuspect(endpoint)
	known := make(map[string]bool)
	for _, j := range o.openJobs() {
		if known[j.Customer] || now.After(j.Expires) {
			continue
		}
		if _, ok := o.next(now, j, deployment, suspects); ok {
			known[j.Customer] = true
			out = append(out, candidate{customer: j.Customer, job: j.ID, due: j.Due})
		}
	}
	return out
}

// hasSuspect says whether a suspect runs at endpoint: each runs alone.
func (o *owner) hasSuspect(endpoint string) bool {
	for _, a := range o.running {
		if a.endpoint == endpoint && a.suspect {
			return true
		}
	}
	return false
}

// isSuspect says whether an item is only to run alone.
func (o *owner) isSuspect(j *job, i int) bool {
	return j.items[i].deaths > 0 || o.confined[itemKey{j.ID, i}]
}

// next returns the item of j to hand out next, without taking it. suspects
// says whether that may be a suspect.
func (o *owner) next(now time.Time, j *job, deployment string, suspects bool) (int, bool) {
	b := o.backlog(j, deployment)
	if o.noBegins && !j.idempotent() {
		return 0, false
	}
	b.retry = slices.DeleteFunc(b.retry, func(r retry) bool { return !o.waiting(j, r.item) })
	for _, r := range b.retry {
		if r.at.After(now) || !suspects && o.isSuspect(j, r.item) || o.orphaned(now, j, r.item) {
			continue
		}
		return r.item, true
	}
	for ; b.cursor < len(j.items); b.cursor++ {
		if !o.waiting(j, b.cursor) || !o.goesTo(j, b.cursor, deployment) {
			continue
		}
		if o.orphaned(now, j, b.cursor) {
			continue
		}
		if !suspects && o.isSuspect(j, b.cursor) {
			o.postpone(j, b.cursor, now)
			continue
		}
		return b.cursor, true
	}
	return 0, false
}

func (o *owner) backlog(j *job, deployment string) *backlog {
	b, ok := j.work[deployment]
	if !ok {
		b = new(backlog)
		if j.work == nil {
			j.work = make(map[string]*backlog)
		}
		j.work[deployment] = b
		if !slices.ContainsFunc(j.file.Targets, func(t target) bool { return t.Deployment == deployment }) {
			b.cursor = len(j.items)
		}
	}
	return b
}

// goesTo says whether an open item is for deployment.
func (o *owner) goesTo(j *job, i int, deployment string) bool {
	tgt, ok := j.target(i)
	o.inv.Check(ok, invariant.AcknowledgedIsDurable, "job %s item %d: accepted but its body is gone", j.ID, i)
	return ok && tgt.Deployment == deployment
}

func (o *owner) waiting(j *job, i int) bool {
	return j.items[i].first == 0 && !j.items[i].running
}

// orphaned notes an item that was begun by an attempt not known here.
func (o *owner) orphaned(now time.Time, j *job, i int) bool {
	if b, _ := j.currentBegin(i); b == nil {
		return false
	}
	key := itemKey{j.ID, i}
	if _, ok := o.orphans[key]; !ok {
		o.orphans[key] = now
	}
	return true
}

// taken is an item on its way to an endpoint.
type taken struct {
	work  api.Work
	chunk chunk // a copy
	index int   // within the chunk
	gen   int   // generation to begin, of a non-idempotent item
}

// take marks the next item of a job as running at endpoint.
func (o *owner) take(now time.Time, jobID, deployment, endpoint string, isolates bool) (taken, bool) {
	j := o.table.Job(jobID)
	if j == nil || j.ended() {
		return taken{}, false
	}
	i, ok := o.next(now, j, deployment, isolates && !o.hasSuspect(endpoint))
	if !ok {
		return taken{}, false
	}
	tgt, _ := j.target(i)
	_, gen := j.currentBegin(i)
	o.attempts++
	ref := api.WorkRef{Job: j.ID, Item: i, Attempt: fmt.Sprintf("%s-%d", o.nonce, o.attempts)}
	o.start(now, j, ref, endpoint)
	c := j.file.chunkOf(i)
	key := itemKey{j.ID, i}
	t := taken{chunk: *c, index: i - c.first, gen: gen}
	t.work = api.Work{
		WorkRef:    ref,
		Customer:   j.Customer,
		Deployment: tgt.Deployment,
		Path:       tgt.Path,
		Idempotent: tgt.Idempotent,
		Suspect:    o.isSuspect(j, i),
		Due:        j.Due,
		Resume:     o.resumes[key],
	}
	o.dropResume(key)
	return t, true
}

// postpone moves an item to the retries, to be handed out at a later time.
func (o *owner) postpone(j *job, i int, at time.Time) {
	tgt, _ := j.target(i)
	b := o.backlog(j, tgt.Deployment)
	for n := range b.retry {
		if b.retry[n].item == i {
			b.retry[n].at = at
			return
		}
	}
	b.retry = append(b.retry, retry{i, at})
}

func (o *owner) start(now time.Time, j *job, ref api.WorkRef, endpoint string) {
	o.inv.Check(!j.ended(), invariant.CancelStops, "job %s item %d started after its end", j.ID, ref.Item)
	it := &j.items[ref.Item]
	it.running = true
	key := itemKey{j.ID, ref.Item}
	delete(o.orphans, key)
	o.running[key] = &attempt{
		ref:      ref,
		endpoint: endpoint,
		seen:     now,
		customer: j.Customer,
		suspect:  o.isSuspect(j, ref.Item),
	}
}

// release ends the attempt at an item and hands the item out again at a time.
func (o *owner) release(j *job, i int, at time.Time) {
	delete(o.running, itemKey{j.ID, i})
	j.items[i].running = false
	o.postpone(j, i, at)
}

func (o *owner) keepResume(key itemKey, r *api.Resume) {
	if r == nil || o.resumed+len(r.Text) > ResumeBytes {
		return
	}
	o.dropResume(key)
	o.resumes[key] = r
	o.resumed += len(r.Text)
}

func (o *owner) dropResume(key itemKey) {
	if r, ok := o.resumes[key]; ok {
		o.resumed -= len(r.Text)
		delete(o.resumes, key)
	}
}
