package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
)

const (
	loadShards = 16
	// serviceTimeWeight is the weight of the newest duration in the exponential
	// moving average of attempt durations.
	serviceTimeWeight = 0.1
	// loadRetention is how long the load of an endpoint is kept after its last
	// attempt.
	loadRetention = 10 * time.Minute
)

// Loads holds what one entry knows of the load of endpoints: the queue wait that
// a response last reported, and the number and mean duration of the entry's own
// attempts. It does no I/O and is safe for concurrent use.
type Loads struct{ shards [loadShards]loadShard }

type loadShard struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	instance    infra.Instance
	queueWait   time.Duration // as last reported
	reportedAt  time.Time     // when queueWait was reported
	lastAttempt time.Time     // when an attempt last began or ended
	inFlight    int
	suspects    int           // suspect requests among those in flight
	serviceTime time.Duration // exponential moving average of attempt durations
	version     string        // of the endpoint's software, as last reported
	responded   bool          // version was reported
}

// NewLoads returns an empty Loads.
func NewLoads() *Loads {
	l := &Loads{}
	for i := range l.shards {
		l.shards[i].loads = make(map[string]*load)
	}
	return l
}

func (l *Loads) shard(id string) *loadShard {
	return &l.shards[xxhash.Sum64String(id)%loadShards]
}

// Begin records that an attempt is sent to i. Each Begin must be followed by one
// End.
func (l *Loads) Begin(i infra.Instance, suspect bool, now time.Time) {
	s := l.shard(i.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[i.ID]
	if !ok {
		e = &load{}
		s.loads[i.ID] = e
	}
	e.instance = i
	e.lastAttempt = now
	e.inFlight++
	if suspect {
		e.suspects++
	}
}

// End records that an attempt ended after the duration took.
func (l *Loads) End(id string, suspect bool, took time.Duration, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	if !ok {
		return
	}
	e.lastAttempt = now
	e.inFlight--
	if suspect {
		e.suspects--
	}
	if e.serviceTime == 0 {
		e.serviceTime = took
		return
	}
	e.serviceTime += time.Duration(serviceTimeWeight * float64(took-e.serviceTime))
}

// RecordQueueWait records the queue wait that a response reported. It does
// nothing for an endpoint whose load is not known.
func (l *Loads) RecordQueueWait(id string, wait time.Duration, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.loads[id]; ok {
		e.queueWait = wait
		e.reportedAt = now
	}
}

// RecordVersion records the version of an endpoint's software that a response named; empty:
// none. It does nothing for an endpoint whose load is not known.
func (l *Loads) RecordVersion(id, version string) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.loads[id]; ok {
		e.version, e.responded = version, true
	}
}

// HasOtherVersion reports whether the software of an endpoint is known to have another
// version.
func (l *Loads) HasOtherVersion(id, version string) bool {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	return ok && e.responded && e.version != version
}

// Instance returns the instance of an endpoint that an attempt was sent to, or
// false if its load is not known or has expired.
func (l *Loads) Instance(id string) (infra.Instance, bool) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	if !ok {
		return infra.Instance{}, false
	}
	return e.instance, true
}

// Expire removes endpoints that have no attempt in flight and had none within
// loadRetention.
func (l *Loads) Expire(now time.Time) {
	for i := range l.shards {
		l.shards[i].expire(now)
	}
}

func (s *loadShard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.loads {
		if e.inFlight == 0 && now.Sub(e.lastAttempt) > loadRetention {
			delete(s.loads, id)
		}
	}
}

// loadSnapshot is the load of an endpoint at one time.
type loadSnapshot struct {
	cost     time.Duration // estimated delay before a new request starts
	inFlight int
	suspects int
}

// snapshot returns the load of an endpoint, which is zero if it is not known.
// slots is the number of the endpoint's slots, or 0 if that is unknown.
func (l *Loads) snapshot(id string, slots int, now time.Time) loadSnapshot {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	if !ok {
		return loadSnapshot{}
	}
	return loadSnapshot{cost: e.cost(slots, now), inFlight: e.inFlight, suspects: e.suspects}
}

// cost returns the estimated delay before a new request starts: the reported
// queue wait less the time since, plus inFlightCost for each request in flight.
// If all slots are taken, it is at least the time until enough requests end.
func (e *load) cost(slots int, now time.Time) time.Duration {
	cost := max(0, e.queueWait-now.Sub(e.reportedAt))
	cost += time.Duration(e.inFlight) * inFlightCost
	if over := e.inFlight - slots; slots > 0 && over >= 0 {
		cost = max(cost, time.Duration(over+1)*e.serviceTime/time.Duration(slots))
	}
	return cost
}
