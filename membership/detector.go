package membership

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Times of the failure detector.
const (
	// ProbeAfterSilence is how long an endpoint that owes an answer may show no
	// sign before it is probed.
	ProbeAfterSilence = time.Second
	// ProbeTimeout is how long a probe waits for its answer.
	ProbeTimeout = 500 * time.Millisecond
	// MissedProbeThreshold is how many probes in a row a silent endpoint misses
	// before it is suspected.
	MissedProbeThreshold = 2

	firstProbeDelay = 200 * time.Millisecond // after a failure
	maxProbeDelay   = 5 * time.Second        // between probes of a suspect
	forgetAfter     = 10 * time.Minute       // without any event
)

const detectorShards = 16

// Detector joins what one process sees of the endpoints: answers, failures
// and leaving notices. It is passive: the driver asks Due which endpoints to
// probe and reports the results.
type Detector struct {
	shards [detectorShards]detectorShard
}

type detectorShard struct {
	mu   sync.Mutex
	seen map[string]*sighting
}

// sighting is what is known of one endpoint.
type sighting struct {
	lastSign  time.Time // of life
	lastEvent time.Time
	nextProbe time.Time
	waiting   int // attempts that wait for an answer
	misses    int // probes missed in a row
	suspect   bool
	leaving   bool
	probing   bool
}

// NewDetector returns a Detector that has seen nothing and suspects nobody.
func NewDetector() *Detector {
	d := &Detector{}
	for i := range d.shards {
		d.shards[i].seen = make(map[string]*sighting)
	}
	return d
}

func (d *Detector) shard(id string) *detectorShard {
	return &d.shards[xxhash.Sum64String(id)%detectorShards]
}

// update runs f on what is known of id, under the lock of its shard.
func (d *Detector) update(id string, now time.Time, f func(*sighting)) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.seen[id]
	if !ok {
		e = &sighting{}
		s.seen[id] = e
	}
	e.lastEvent = now
	f(e)
}

// Usable says that id is neither suspected nor leaving.
func (d *Detector) Usable(id string) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.seen[id]
	return !ok || !e.suspect && !e.leaving
}

// Leaving says that id gave notice that it leaves.
func (d *Detector) Leaving(id string) bool {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.seen[id]
	return ok && e.leaving
}

// RecordLeaving records a leaving notice. It holds for good, as an id is never
// used again.
func (d *Detector) RecordLeaving(id string, now time.Time) {
	d.update(id, now, func(e *sighting) { e.leaving = true })
}

// BeginAttempt records that an attempt was sent to id and waits for its answer.
func (d *Detector) BeginAttempt(id string, now time.Time) {
	d.update(id, now, func(e *sighting) {
		if e.waiting == 0 {
			e.lastSign = now
		}
		e.waiting++
	})
}

// EndAttempt records that an attempt at id is over, however it went.
func (d *Detector) EndAttempt(id string, now time.Time) {
	d.update(id, now, func(e *sighting) { e.waiting-- })
}

// RecordAlive records a sign of life: an answer, a part of one, or a good probe.
func (d *Detector) RecordAlive(id string, now time.Time) {
	d.update(id, now, func(e *sighting) {
		e.lastSign = now
		e.misses = 0
		e.suspect = false
		e.probing = false
		e.nextProbe = time.Time{}
	})
}

// RecordProgress records a part of an answer. It lifts no suspicion, as it may
// have been under way before the failure.
func (d *Detector) RecordProgress(id string, now time.Time) {
	d.update(id, now, func(e *sighting) { e.lastSign = now })
}

// RecordFailure records a refused or broken connection: id is suspected at once.
func (d *Detector) RecordFailure(id string, now time.Time) {
	d.update(id, now, func(e *sighting) {
		if e.suspect {
			return
		}
		e.suspect = true
		e.nextProbe = now.Add(firstProbeDelay)
	})
}

// RecordMissedProbe records that a probe of id got no good answer. It returns
// whether id is suspected now.
func (d *Detector) RecordMissedProbe(id string, now time.Time) (suspect bool) {
	d.update(id, now, func(e *sighting) {
		e.probing = false
		e.misses++
		e.suspect = e.suspect || e.misses >= MissedProbeThreshold
		delay := firstProbeDelay << min(e.misses, 10)
		e.nextProbe = now.Add(min(delay, maxProbeDelay))
		suspect = e.suspect
	})
	return suspect
}

// DueProbes returns the endpoints to probe now: suspects, and those that owe an
// answer and have been silent. Each is returned once until its result is
// reported. Endpoints without any event for long are forgotten.
func (d *Detector) DueProbes(now time.Time) []string {
	var due []string
	for i := range d.shards {
		due = d.shards[i].due(now, due)
	}
	return due
}

func (s *detectorShard) due(now time.Time, due []string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.seen {
		if e.waiting == 0 && !e.suspect && now.Sub(e.lastEvent) > forgetAfter {
			delete(s.seen, id)
			continue
		}
		silent := e.waiting > 0 && now.Sub(e.lastSign) >= ProbeAfterSilence
		if e.probing || now.Before(e.nextProbe) || !silent && !e.suspect {
			continue
		}
		e.probing = true
		due = append(due, id)
	}
	return due
}

// Forget drops what is known of id, as the instance is gone for good.
func (d *Detector) Forget(id string) {
	s := d.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.seen[id]; ok && e.waiting == 0 {
		delete(s.seen, id)
	}
}
