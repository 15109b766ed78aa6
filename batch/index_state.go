package batch

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"

	"dandelionrelay/keyedlog"
)

// job is a Job with all that happened to it.
type job struct {
	Job
	owner   Owner
	ended   bool
	results map[int]Result // by position
	listed  map[int]bool   // by index of the item
	changed chan struct{}  // closed at the next change
}

// open reports whether items may still run.
func (j *job) open() bool { return !j.ended && len(j.listed) < len(j.Items) }

// IndexState is the replayed index. It is the keyedlog.State of its partition.
type IndexState struct {
	bad    func(key string, err error)
	notify func()

	mu   sync.Mutex
	jobs map[string]*job
}

// NewIndexState returns an empty Ledger. bad is called for each record that can't
// be read, notify after each change; neither may call back.
func NewIndexState(bad func(key string, err error), notify func()) *IndexState {
	return &IndexState{bad: bad, notify: notify, jobs: make(map[string]*job)}
}

// Reset implements keyedlog.State.
func (l *IndexState) Reset(records []keyedlog.Record) {
	l.mu.Lock()
	before := l.jobs
	l.jobs = make(map[string]*job)
	// Records come by key here: jobs first, then what happened to them.
	for _, jobs := range []bool{true, false} {
		for _, r := range records {
			if isJob := len(r.Key) > 0 && r.Key[:1] == kindJob; isJob == jobs {
				l.apply(r)
			}
		}
	}
	l.mu.Unlock()
	for _, j := range before {
		close(j.changed)
	}
	l.notify()
}

// Apply implements keyedlog.State.
func (l *IndexState) Apply(records []keyedlog.Record) {
	l.mu.Lock()
	for _, r := range records {
		l.apply(r)
	}
	l.mu.Unlock()
	l.notify()
}

func (l *IndexState) apply(r keyedlog.Record) {
	if err := l.take(r); err != nil {
		l.bad(r.Key, err)
	}
}

// take adds one record.
func (l *IndexState) take(r keyedlog.Record) error {
	kind, id, item, err := splitKey(r.Key)
	if err != nil {
		return err
	}
	if kind == kindJob {
		return l.takeJob(id, r.Value)
	}
	j := l.jobs[id]
	if j == nil || r.Value == nil {
		return nil // of a job that was dropped
	}
	switch kind {
	case kindOwner:
		err = json.Unmarshal(r.Value, &j.owner)
	case kindEnd:
		j.ended = true
	case kindResult:
		err = j.takeResult(item, r.Value)
	default:
		err = BadRecord.New("unknown kind %q", kind)
	}
	close(j.changed)
	j.changed = make(chan struct{})
	return err
}

func (l *IndexState) takeJob(id string, value []byte) error {
	if value == nil {
		if j := l.jobs[id]; j != nil {
			delete(l.jobs, id)
			close(j.changed)
		}
		return nil
	}
	var accepted Job
	if err := json.Unmarshal(value, &accepted); err != nil {
		return err
	}
	if accepted.ID != id {
		return BadRecord.New("job %q under the key of %q", accepted.ID, id)
	}
	l.jobs[id] = &job{
		Job:     accepted,
		owner:   accepted.Owner,
		results: make(map[int]Result),
		listed:  make(map[int]bool),
		changed: make(chan struct{}),
	}
	return nil
}

func (j *job) takeResult(item int, value []byte) error {
	var r Result
	if err := json.Unmarshal(value, &r); err != nil {
		return err
	}
	if item < 0 || item >= len(j.Items) {
		return BadRecord.New("result of item %d of %d", item, len(j.Items))
	}
	r.Item = item
	j.results[r.Position] = r
	j.listed[item] = true
	return nil
}

// waiting returns the tokens of a customer's items on a route that have no
// result. The caller holds the lock.
func (l *IndexState) waiting(customer, route string) int {
	sum := 0
	for _, j := range l.jobs {
		if j.Customer != customer || j.Route != route || j.ended {
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

// view is what is known of a job at one moment.
type view struct {
	Job
	owner   Owner
	ended   bool
	results []Result // in order of their positions, from 0 without gaps
	listed  map[int]bool
	changed <-chan struct{}
}

// view returns what is known of a job.
func (l *IndexState) view(id string) (view, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	j := l.jobs[id]
	if j == nil {
		return view{}, false
	}
	return j.view(), true
}

func (j *job) view() view {
	v := view{Job: j.Job, owner: j.owner, ended: j.ended, listed: maps.Clone(j.listed), changed: j.changed}
	for p := 0; ; p++ {
		r, ok := j.results[p]
		if !ok {
			return v
		}
		v.results = append(v.results, r)
	}
}

// views returns the jobs that want picks, by id. want must not call back.
func (l *IndexState) views(want func(*job) bool) []view {
	l.mu.Lock()
	defer l.mu.Unlock()
	var picked []view
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		if j := l.jobs[id]; want(j) {
			picked = append(picked, j.view())
		}
	}
	return picked
}
