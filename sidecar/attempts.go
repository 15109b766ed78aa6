package sidecar

import (
	"sync"
	"time"
)

const (
	// attemptTTL is how long an attempt ID is remembered. It exceeds the time
	// that an attempt can take to reach a sidecar.
	attemptTTL = 2 * time.Minute
	// maxAttempts bounds the number of attempt IDs that are remembered.
	maxAttempts = 1 << 16
)

// attempts remembers the IDs of recent attempts, so that none starts twice.
type attempts struct {
	mu    sync.Mutex
	seen  map[string]*attempt
	order []*attempt // the oldest first
}

// attempt is one remembered attempt.
type attempt struct {
	id    string
	at    time.Time
	sends int // times that a connection to the endpoint was obtained for the call
}

func newAttempts() *attempts {
	return &attempts{seen: make(map[string]*attempt)}
}

// addResult is the result of attempts.add.
type addResult int

const (
	attemptAdded     addResult = iota // not seen before
	attemptDuplicate                  // seen before
	attemptsFull                      // too many recent IDs to remember another
)

// add remembers id, unless it is a duplicate or maxAttempts is reached.
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
	added := &attempt{id: id, at: now}
	a.seen[id] = added
	a.order = append(a.order, added)
	return attemptAdded
}

// recordSent records that a connection to the endpoint was obtained for the call
// of an attempt.
func (a *attempts) recordSent(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.seen[id]; ok {
		known.sends++
	}
}

// sends returns how often the call of an attempt was sent to the endpoint.
func (a *attempts) sends(id string) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if known, ok := a.seen[id]; ok {
		return known.sends
	}
	return 0
}

// expire removes the attempts that are older than attemptTTL. The caller holds the
// lock.
func (a *attempts) expire(now time.Time) {
	n := 0
	for n < len(a.order) && now.Sub(a.order[n].at) > attemptTTL {
		delete(a.seen, a.order[n].id)
		n++
	}
	a.order = a.order[n:]
}
