package jobs

import (
	"slices"
	"time"

	"dandelionrelay/infra"
)

// item is the state of one item; 24 bytes, as there are many.
type item struct {
	first    infra.Offset // of its first completion; 0: open
	at       infra.Offset // record that holds the latest copy of its result
	index    uint32       // of the fact in that record
	attempts uint8        // answers with a server error
	deaths   uint8        // endpoints lost with it
	failed   bool         // its result is not an answer with a status below 400
	running  bool         // handed out by this owner
}

// job is one batch job.
type job struct {
	jobRecord
	born    time.Time    // of the first record seen about it
	at      infra.Offset // its latest job record
	file    *file        // nil until known
	items   []item       // grows with facts until the file is known
	done    int          // items with a result
	failed  int          // those of them that failed
	last    time.Time    // of the last completion
	end     infra.Offset // of the first cancel or expiry; 0: none
	endKind factKind
	endTime time.Time
	endAt   infra.Offset // latest copy of that fact
	deleted infra.Offset
	delAt   infra.Offset
	begins  map[int][]begin      // of non-idempotent items, by generation
	noted   map[int]infra.Offset // items with setbacks: latest copy
	work    map[string]*backlog  // by deployment
	expired bool                 // an expiry is on its way to the log
}

// begin is the first attempt of one generation of a non-idempotent item. The
// next generation may begin only once this one was released.
type begin struct {
	first    infra.Offset
	at       infra.Offset // latest copy
	attempt  string
	releases []string     // attempts that certainly never started
	relAt    infra.Offset // latest copy of a release
}

// open says whether the begun attempt may be running.
func (b *begin) open() bool {
	return b.first != 0 && !slices.Contains(b.releases, b.attempt)
}

// released says whether the begun attempt certainly never started.
func (b *begin) released() bool { return b.first != 0 && !b.open() }

func newJob(id string, born time.Time) *job {
	return &job{jobRecord: jobRecord{ID: id}, born: born}
}

func (j *job) committed() bool { return j.at != 0 }

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
	return j.end != 0 || j.file != nil && j.done == len(j.items)
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
	return j.file.Targets[c.targets[i-c.first]], true
}

// chunkOf returns the chunk that holds an item, nil if it is not kept.
func (f *file) chunkOf(i int) *chunk {
	seq, exact := slices.BinarySearch(f.Firsts, i)
	if !exact {
		seq--
	}
	c := f.upload.chunks[seq]
	if c == nil || i >= c.first+c.count {
		return nil
	}
	return c
}

// currentBegin returns the begin that is not released, if any, and the
// generation that would begin next.
func (j *job) currentBegin(i int) (*begin, int) {
	gens := j.begins[i]
	for g := range gens {
		if gens[g].open() {
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
