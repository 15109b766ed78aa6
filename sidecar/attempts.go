package sidecar

import (
	"sync"
	"time"
)

const (
	// attemptTTL is how long an attempt id is remembered: longer than an
	// attempt can be under way to a sidecar.
	attemptTTL = 2 * time.Minute
	// maxAttempts bounds the ids remembered.
	maxAttempts = 1 << 16
)

// attempts remembers the ids of recent attempts, so that none starts twice.
type attempts struct {
	mu    sync.Mutex
	seen  map[string]*attempt
	order []*attempt // the oldest first
}

// attempt is one remembered id.
type attempt struct {
	id    string
	at    time.Time
	sends int // calls handed to the endpoint's connection
}

func newAttempts() *attempts {
	return &attempts{seen: make(map[string]*attempt)}
}

// verdict of attempts.add.
type addResult int

const (
	attemptAdded     addResult = iota // the first time
	attemptDuplicate                  // seen before
	attemptsFull                      // too many recent ids to remember another
)

// add remembers id.
func (a *attempts) add(id string, now time.Time) addResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if _, ok := a.seen[id]; ok {
		return attemptDuplicate
	}
	if len(a.seen) >= maxAttempts {
		return attemptsFull
	}
	entry := &attempt{id: id, at: now}
	a.seen[id] = entry
	a.order = append(a.order, entry)
	return attemptAdded
}

// sent notes that a connection to the endpoint was handed the call.
func (a *attempts) recordSent(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.seen[id]; ok {
		entry.sends++
	}
}

// runs returns how often the call of an attempt was handed to the endpoint.
func (a *attempts) sends(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if entry, ok := a.seen[id]; ok {
		return entry.sends
	}
	return 0
}

// expire forgets ids past their time. The caller holds the lock.
func (a *attempts) expire(now time.Time) {
	n := 0
	for n < len(a.order) && now.Sub(a.order[n].at) > attemptTTL {
		delete(a.seen, a.order[n].id)
		n++
	}
	a.order = a.order[n:]
}
