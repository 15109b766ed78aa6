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
	seen  map[string]struct{}
	order []attempt // the oldest first
}

type attempt struct {
	id string
	at time.Time
}

func newAttempts() *attempts {
	return &attempts{seen: make(map[string]struct{})}
}

// verdict of attempts.add.
type verdict int

const (
	fresh     verdict = iota // the first time
	duplicate                // seen before
	full                     // too many recent ids to remember another
)

// add remembers id.
func (a *attempts) add(id string, now time.Time) verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.expire(now)
	if _, ok := a.seen[id]; ok {
		return duplicate
	}
	if len(a.seen) >= maxAttempts {
		return full
	}
	a.seen[id] = struct{}{}
	a.order = append(a.order, attempt{id: id, at: now})
	return fresh
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
