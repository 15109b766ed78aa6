package idempotency

import "time"

const (
	// appendInterval is the minimum time between two records that a coordinator
	// appends to one stream: over all 16 streams the fleet makes at most 160
	// appends per second. An event of an idle stream is appended at once.
	appendInterval  = 100 * time.Millisecond
	maxRecordEvents = 500 // events in one record
	// maxRecordResponseBytes is the total size of the response bodies in one record
	// at which no further event is added to it.
	maxRecordResponseBytes = 1 << 20
)

// CommitQueue groups the events of a stream into records (group commit). It does
// no I/O and is not safe for concurrent use.
type CommitQueue struct {
	pending   []Event
	lastTaken time.Time // time of the last Take that returned events
}

// Add queues an event.
func (q *CommitQueue) Add(e Event) { q.pending = append(q.pending, e) }

// Len returns the number of events queued.
func (q *CommitQueue) Len() int { return len(q.pending) }

// Take removes and returns the events of the next record. If appendInterval has
// not passed since the last one, it returns the time left instead. It returns
// neither if no event is queued.
func (q *CommitQueue) Take(now time.Time) (events []Event, wait time.Duration) {
	if len(q.pending) == 0 {
		return nil, 0
	}
	if wait := q.lastTaken.Add(appendInterval).Sub(now); wait > 0 {
		return nil, wait
	}
	q.lastTaken = now
	n, bytes := 0, 0
	for n < len(q.pending) && n < maxRecordEvents && bytes < maxRecordResponseBytes {
		if a := q.pending[n].Answer; a != nil {
			bytes += len(a.Body)
		}
		n++
	}
	events = q.pending[:n:n]
	q.pending = q.pending[n:]
	return events, 0
}

// RemoveBegin removes the begin of token from the queue and reports whether it
// was there.
func (q *CommitQueue) RemoveBegin(token string) bool {
	for i, e := range q.pending {
		if e.Kind == Begin && e.Token == token {
			q.pending = append(q.pending[:i:i], q.pending[i+1:]...)
			return true
		}
	}
	return false
}
