package jobs

import (
	"slices"
	"time"

	"dandelionrelay/infra"
)

// item is the state of one item; 24 bytes, as there are many.
type item struct {
	doneOffset infra.Offset // of its first completion; 0: open
	copyOffset infra.Offset // record that holds the latest copy of its result
	factIndex  uint32       // of the fact in that record
	attempts   uint8        // answers with a server error
	crashes    uint8        // endpoints lost with it
	failed     bool         // its result is not an answer with a status below 400
	running    bool         // handed out by this owner
}

// job is one batch job.
type job struct {
	jobRecord
	firstSeen      time.Time    // of the first record seen about it
	copyOffset     infra.Offset // its latest job record
	file           *file        // nil until known
	items          []item       // grows with facts until the file is known
	done           int          // items with a result
	failed         int          // those of them that failed
	lastCompletion time.Time    // of the last completion
	endOffset      infra.Offset // of the first cancel or expiry; 0: none
	endKind        factKind
	endTime        time.Time
	endCopy        infra.Offset // latest copy of that fact
	deletedOffset  infra.Offset
	deletedCopy    infra.Offset
	begins         map[int][]begin      // of non-idempotent items, by generation
	failureCopies  map[int]infra.Offset // items with setbacks: latest copy
	backlogs       map[string]*backlog  // by deployment
	expiryPending  bool                 // an expiry is on its way to the log
}

// begin is the first attempt of one generation of a non-idempotent item. The
// next generation may begin only once this one was released.
type begin struct {
	origOffset  infra.Offset
	copyOffset  infra.Offset // latest copy
	attempt     string
	releases    []string     // attempts that certainly never started
	releaseCopy infra.Offset // latest copy of a release
}

// open says whether the begun attempt may be running.
func (b *begin) mayRun() bool {
	return b.origOffset != 0 && !slices.Contains(b.releases, b.attempt)
}

// released says whether the begun attempt certainly never started.
func (b *begin) released() bool { return b.origOffset != 0 && !b.mayRun() }

func newJob(id string, born time.Time) *job {
	return &job{jobRecord: jobRecord{ID: id}, firstSeen: born}
}

func (j *job) committed() bool { return j.copyOffset != 0 }

// attach joins the job with its file.
func (j *job) attach(f *file) {
	j.file = f
	exact := make([]item, f.Items)
	copy(exact, j.items)
	j.items = exact
}

// grow makes room for the item with index i.
func (j *job) grow(i int) {
	if i < len(j.items) {
		return
	}
	j.items = slices.Grow(j.items, i+1-len(j.items))[:i+1]
}

// ended says whether no further item may complete.
func (j *job) ended() bool {
	return j.endOffset != 0 || j.file != nil && j.done == len(j.items)
}

// idempotent says whether all items of the job may be repeated.
func (j *job) idempotent() bool {
	return !slices.ContainsFunc(j.file.Targets, func(t target) bool { return !t.Idempotent })
}

// target returns where an item goes, false if its chunk is not kept.
func (j *job) target(i int) (target, bool) {
	c := j.file.chunkOf(i)
	if c == nil {
		return target{}, false
	}
	if c.targets == nil {
		return j.file.Targets[0], true
	}
	return j.file.Targets[c.targets[i-c.firstItem]], true
}

// chunkOf returns the chunk that holds an item, nil if it is not kept.
func (f *file) chunkOf(i int) *chunk {
	seq, exact := slices.BinarySearch(f.FirstItems, i)
	if !exact {
		seq--
	}
	c := f.upload.chunks[seq]
	if c == nil || i >= c.firstItem+c.count {
		return nil
	}
	return c
}

// currentBegin returns the begin that is not released, if any, and the
// generation that would begin next.
func (j *job) currentBegin(i int) (*begin, int) {
	gens := j.begins[i]
	for g := range gens {
		if gens[g].mayRun() {
			return &gens[g], g
		}
		if !gens[g].released() {
			return nil, g
		}
	}
	return nil, len(gens)
}

func (j *job) generation(i, gen int) *begin {
	if j.begins == nil {
		j.begins = make(map[int][]begin)
	}
	for len(j.begins[i]) <= gen {
		j.begins[i] = append(j.begins[i], begin{})
	}
	return &j.begins[i][gen]
}
