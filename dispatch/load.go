package dispatch

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
)

const (
	loadShards = 16
	// serviceWeight is the weight of the newest time in the moving average
	// of attempt durations.
	serviceWeight = 0.1
	// forgetLoadAfter is how long an endpoint without attempts is kept.
	forgetLoadAfter = 10 * time.Minute
)

// Loads holds what one entry knows of the load of endpoints: the queue wait
// last reported on an answer and what the entry itself has in flight. It is
// passive.
type Loads struct{ shards [loadShards]loadShard }

type loadShard struct {
	mu    sync.Mutex
	loads map[string]*load
}

type load struct {
	instance infra.Instance
	wait     time.Duration // as reported
	at       time.Time     // of the report
	last     time.Time     // of the last event
	inFlight int
	suspects int           // of those in flight
	service  time.Duration // moving average of attempt durations
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

// Begin records that an attempt is sent to i.
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
	e.last = now
	e.inFlight++
	if suspect {
		e.suspects++
	}
}

// End records that an attempt is over after it took a time.
func (l *Loads) End(id string, suspect bool, took time.Duration, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	if !ok {
		return
	}
	e.last = now
	e.inFlight--
	if suspect {
		e.suspects--
	}
	if e.service == 0 {
		e.service = took
		return
	}
	e.service += time.Duration(serviceWeight * float64(took-e.service))
}

// RecordQueueWait records the queue wait that an answer reported.
func (l *Loads) RecordQueueWait(id string, wait time.Duration, now time.Time) {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.loads[id]; ok {
		e.wait = wait
		e.at = now
	}
}

// Instance returns the description of an endpoint that was sent to.
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

// Expire forgets endpoints that have had no attempt for long.
func (l *Loads) Expire(now time.Time) {
	for i := range l.shards {
		l.shards[i].expire(now)
	}
}

func (s *loadShard) expire(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, e := range s.loads {
		if e.inFlight == 0 && now.Sub(e.last) > forgetLoadAfter {
			delete(s.loads, id)
		}
	}
}

// view is what a pick needs to know of an endpoint.
type view struct {
	cost     time.Duration // estimated until a new request would start
	inFlight int
	suspects int
}

// look returns the view of an endpoint with that many slots.
func (l *Loads) look(id string, slots int, now time.Time) view {
	s := l.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.loads[id]
	if !ok {
		return view{}
	}
	return view{cost: e.cost(slots, now), inFlight: e.inFlight, suspects: e.suspects}
}

func (e *load) cost(slots int, now time.Time) time.Duration {
	cost := max(0, e.wait-now.Sub(e.at))
	cost += time.Duration(e.inFlight) * inFlightCost
	if over := e.inFlight - slots; slots > 0 && over >= 0 {
		cost = max(cost, time.Duration(over+1)*e.service/time.Duration(slots))
	}
	return cost
}
