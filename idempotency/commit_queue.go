package idempotency

import "time"

const (
	// appendInterval is the least time between two records of one home in
	// one stream: with all streams the fleet makes 160 appends a second at
	// most. An event that finds the stream idle is appended at once.
	appendInterval = 100 * time.Millisecond
	maxGroup       = 500 // events in one record
	// maxGroupBytes bounds the answers in one record.
	maxGroupBytes = 1 << 20
)

// CommitQueue collects the events of a stream into records. It is passive, and not
// safe for concurrent use.
type CommitQueue struct {
	waiting []Event
	last    time.Time // of the last record taken
}

// Add queues an event.
func (g *CommitQueue) Add(e Event) { g.waiting = append(g.waiting, e) }

// Len returns the number of events queued.
func (g *CommitQueue) Len() int { return len(g.waiting) }

// Take returns the events of the next record, or how long to wait for it.
// With neither nothing is queued.
func (g *CommitQueue) Take(now time.Time) (events []Event, wait time.Duration) {
	if len(g.waiting) == 0 {
		return nil, 0
	}
	if wait := g.last.Add(appendInterval).Sub(now); wait > 0 {
		return nil, wait
	}
	g.last = now
	n, bytes := 0, 0
	for n < len(g.waiting) && n < maxGroup && bytes < maxGroupBytes {
		if a := g.waiting[n].Answer; a != nil {
			bytes += len(a.Body)
		}
		n++
	}
	events = g.waiting[:n:n]
	g.waiting = g.waiting[n:]
	return events, 0
}

// RemoveBegin removes the begin of a token that was not taken yet, and returns
// whether it was there.
func (g *CommitQueue) RemoveBegin(token string) bool {
	for i, e := range g.waiting {
		if e.Kind == Begin && e.Token == token {
			g.waiting = append(g.waiting[:i:i], g.waiting[i+1:]...)
			return true
		}
	}
	return false
}
