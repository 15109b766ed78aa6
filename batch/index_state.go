package batch

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"dandelionrelay/keyedlog"
)

// job is a Job with the state replayed from the records that followed it.
type job struct {
	Job
	owner     Owner
	cancelled bool
	results   map[int]Result // by position
	listed    map[int]bool   // items with a result in the index, by item index
	changed   chan struct{}  // closed at the next record of this job, or by Reset
}

// open reports whether items of the job may still run.
func (j *job) open() bool { return !j.cancelled && len(j.listed) < len(j.Items) }

// IndexState is the state of all jobs, replayed from the index partition. It
// implements keyedlog.State.
type IndexState struct {
	onBadRecord func(key string, err error)
	onChange    func()

	mu   sync.Mutex
	jobs map[string]*job
}

// NewIndexState returns an empty IndexState. onBadRecord is called for each record
// that cannot be decoded, onChange after each Reset and Apply. Neither may call
// methods of the IndexState.
func NewIndexState(onBadRecord func(key string, err error), onChange func()) *IndexState {
	return &IndexState{onBadRecord: onBadRecord, onChange: onChange, jobs: make(map[string]*job)}
}

// Reset implements keyedlog.State.
func (s *IndexState) Reset(records []keyedlog.Record) {
	s.mu.Lock()
	before := s.jobs
	s.jobs = make(map[string]*job)
	// Records come in the order of their keys here, which puts some kinds before
	// the jobs that they refer to: replay jobs first.
	for _, wantJobs := range []bool{true, false} {
		for _, r := range records {
			if isJob := len(r.Key) > 0 && r.Key[:1] == kindJob; isJob == wantJobs {
				s.replay(r)
			}
		}
	}
	s.mu.Unlock()
	for _, j := range before {
		close(j.changed)
	}
	s.onChange()
}

// Apply implements keyedlog.State.
func (s *IndexState) Apply(records []keyedlog.Record) {
	s.mu.Lock()
	for _, r := range records {
		s.replay(r)
	}
	s.mu.Unlock()
	s.onChange()
}

// replay applies one record and reports it to onBadRecord if that fails. The
// caller holds the lock.
func (s *IndexState) replay(r keyedlog.Record) {
	if err := s.applyRecord(r); err != nil {
		s.onBadRecord(r.Key, err)
	}
}

// applyRecord applies one record. The caller holds the lock.
func (s *IndexState) applyRecord(r keyedlog.Record) error {
	kind, id, item, err := splitKey(r.Key)
	if err != nil {
		return err
	}
	if kind == kindJob {
		return s.applyJob(id, r.Value)
	}
	j := s.jobs[id]
	if j == nil || r.Value == nil {
		return nil // the job was deleted
	}
	switch kind {
	case kindOwner:
		err = json.Unmarshal(r.Value, &j.owner)
	case kindCancel:
		j.cancelled = true
	case kindResult:
		err = j.applyResult(item, r.Value)
	default:
		err = BadRecord.New("unknown record kind %q", kind)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return err
}

// applyJob applies the record of a job; a nil value deletes the job. The caller holds
// the lock.
func (s *IndexState) applyJob(id string, value []byte) error {
	if value == nil {
		if j := s.jobs[id]; j != nil {
			delete(s.jobs, id)
			close(j.changed)
		}
		return nil
	}
	var accepted Job
	if err := json.Unmarshal(value, &accepted); err != nil {
		return err
	}
	if accepted.ID != id {
		return BadRecord.New("job %q is stored under the key of job %q", accepted.ID, id)
	}
	s.jobs[id] = &job{
		Job:     accepted,
		owner:   accepted.Owner,
		results: make(map[int]Result),
		listed:  make(map[int]bool),
		changed: make(chan struct{}),
	}
	return nil
}

// applyResult applies the record of an item's result. The caller holds the lock.
func (j *job) applyResult(item int, value []byte) error {
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	if item < 0 || item >= len(j.Items) {
		return BadRecord.New("result of item %d, but the job has %d items", item, len(j.Items))
	}
	r.Item = item
	j.results[r.Position] = r
	j.listed[item] = true
	return nil
}

// pendingTokens returns the sum of tokens of a customer's items on a route that
// have no result, without those of cancelled jobs. The caller holds the lock.
func (s *IndexState) pendingTokens(customer, route string) int {
	sum := 0
	for _, j := range s.jobs {
		if j.Customer != customer || j.Route != route || j.cancelled {
			continue
		}
		for i, item := range j.Items {
			if !j.listed[i] {
				sum += item.Tokens
			}
		}
	}
	return sum
}

// view is a snapshot of the state of a job.
type view struct {
	Job
	owner     Owner
	cancelled bool
	results   []Result // in order of their positions, from 0 without gaps
	listed    map[int]bool
	changed   <-chan struct{}
}

// view returns a snapshot of a job; false if the job is not known.
func (s *IndexState) view(id string) (view, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j := s.jobs[id]
	if j == nil {
		return view{}, false
	}
	return j.view(), true
}

// view returns a snapshot of j. The caller holds the lock of the IndexState.
func (j *job) view() view {
	v := view{Job: j.Job, owner: j.owner, cancelled: j.cancelled, listed: maps.Clone(j.listed), changed: j.changed}
	for p := 0; ; p++ {
		r, ok := j.results[p]
		if !ok {
			return v
		}
		v.results = append(v.results, r)
	}
}

// views returns snapshots of the jobs that match selects, in the order of their
// IDs. match is called with the lock held and must not call methods of s.
func (s *IndexState) views(match func(*job) bool) []view {
	s.mu.Lock()
	defer s.mu.Unlock()
	var picked []view
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		if j := s.jobs[id]; match(j) {
			picked = append(picked, j.view())
		}
	}
	return picked
}
