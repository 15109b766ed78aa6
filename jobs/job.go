package jobs

import (
	"slices"
	"time"

	"dandelionrelay/infra"
)

// item is the state of one item. It takes 24 bytes; a partition holds one for
// each item of its jobs.
type item struct {
	doneOffset     infra.Offset // of its first completion; 0: not completed
	copyOffset     infra.Offset // of the record that holds the latest copy of its result
	factIndex      uint32       // of the result in the facts of that record
	failedAttempts uint8        // those that count towards MaxAttempts
	crashes        uint8        // endpoints that crashed or were lost while they ran it
	failed         bool         // its result is an error or a response with a status of 400 or more
	running        bool         // assigned to an endpoint, or its completion is being appended
}

// job is one batch job.
type job struct {
	jobRecord
	firstSeen      time.Time    // time of the first record about it
	copyOffset     infra.Offset // of the latest copy of its job record; 0: not committed
	file           *file        // nil until its record is replayed
	items          []item       // grows with the facts until the file is known
	done           int          // items with a result
	failed         int          // items whose result is a failure
	lastCompletion time.Time    // time of the last completion
	endOffset      infra.Offset // of the first cancel or expiry; 0: none
	endKind        factKind
	endTime        time.Time
	endCopy        infra.Offset            // of the latest copy of that fact
	deletedOffset  infra.Offset            // of the first delete; 0: none
	deletedCopy    infra.Offset            // of the latest copy of that fact
	begins         map[int][]begin         // of non-idempotent items, by item and generation
	failureCopies  map[int]infra.Offset    // latest copy of the failure counts, by item
	backlogs       map[backlogKey]*backlog // by deployment and route
	expiryPending  bool                    // its expiry is being appended
}

// begin is the begin record that counts for one generation of a non-idempotent
// item: the one with the lowest offset. The next generation may begin only
// after the attempt of this one was released, that is, after it is certain that
// it did not start.
type begin struct {
	origOffset  infra.Offset
	copyOffset  infra.Offset // of its latest copy
	attempt     string
	releases    []string     // attempts that certainly did not start
	releaseCopy infra.Offset // of the latest copy of a release
}

// mayRun reports whether the attempt may be running or may have run.
func (b *begin) mayRun() bool {
	return b.origOffset != 0 && !slices.Contains(b.releases, b.attempt)
}

// released reports whether the attempt certainly did not start.
func (b *begin) released() bool { return b.origOffset != 0 && !b.mayRun() }

func newJob(id string, firstSeen time.Time) *job {
	return &job{jobRecord: jobRecord{ID: id}, firstSeen: firstSeen}
}

func (j *job) committed() bool { return j.copyOffset != 0 }

// attach sets the job's file and sizes its items to it.
func (j *job) attach(f *file) {
	j.file = f
	exact := make([]item, f.Items)
	copy(exact, j.items)
	j.items = exact
}

// grow extends the items to include index i.
func (j *job) grow(i int) {
	if i < len(j.items) {
		return
	}
	j.items = slices.Grow(j.items, i+1-len(j.items))[:i+1]
}

// ended reports whether no further item may complete.
func (j *job) ended() bool {
	return j.endOffset != 0 || j.file != nil && j.done == len(j.items)
}

// idempotent reports whether all items of the job may be repeated.
func (j *job) idempotent() bool {
	return !slices.ContainsFunc(j.file.Targets, func(t target) bool { return !t.Idempotent })
}

// target returns the target of an item. It returns false if the chunk of the
// item is not known.
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

// chunkOf returns the chunk that holds an item, or nil if it is not known.
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

// currentBegin returns the begin of item i whose attempt may run, and its
// generation. If there is none, it returns nil and the generation to begin next.
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
