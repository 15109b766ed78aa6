package jobs

import (
	"fmt"
	"time"
)

// writer collects facts into group records. At most one group is being appended
// at a time, and at most one is started per CommitInterval. It is not safe for
// concurrent use and starts no goroutines.
type writer struct {
	nonce      string
	groupCount int
	pending    []fact
	bytes      int       // sum of the body sizes of the facts not yet stored
	inFlight   bool      // a group is being appended
	startedAt  time.Time // of the group being appended
	nextStart  time.Time // time at which the next group may start
}

// group is one record to be appended. Until it is known to be stored it may be
// appended again under the same ID.
type group struct {
	id   string
	data []byte
	size int // sum of the body sizes
}

// add queues facts.
func (w *writer) add(facts []fact) {
	for i := range facts {
		w.bytes += len(facts[i].body)
	}
	w.pending = append(w.pending, facts...)
}

// full reports whether so many facts wait for the log that no more items may be
// assigned and no more results accepted.
func (w *writer) full() bool {
	return w.bytes > PendingBytes || len(w.pending) > maxPendingFacts
}

// stalled reports whether the log has not confirmed the current group within
// beginTimeout.
func (w *writer) stalled(now time.Time) bool {
	return w.inFlight && now.Sub(w.startedAt) > beginTimeout
}

// maxPendingFacts is the number of facts waiting for the log above which the
// writer of a partition is full.
const maxPendingFacts = 20_000

// maxGroupFacts is the maximum number of facts in one group record.
const maxGroupFacts = 5_000

// nextGroup returns the next group, or nil and how long to wait for it. A wait
// of 0 means that there is nothing to append, or that a group is being
// appended.
func (w *writer) nextGroup(now time.Time) (*group, time.Duration) {
	if w.inFlight || len(w.pending) == 0 {
		return nil, 0
	}
	if wait := w.nextStart.Sub(now); wait > 0 {
		return nil, wait
	}
	size, n := 0, 0
	for n < len(w.pending) && n < maxGroupFacts {
		size += len(w.pending[n].body)
		if n > 0 && size > GroupBytes {
			size -= len(w.pending[n].body)
			break
		}
		n++
	}
	w.groupCount++
	g := &group{
		id:   fmt.Sprintf("%s-g%d", w.nonce, w.groupCount),
		data: encodeFacts(w.pending[:n]),
		size: size,
	}
	w.pending = append([]fact(nil), w.pending[n:]...)
	w.inFlight = true
	w.startedAt = now
	w.nextStart = now.Add(CommitInterval)
	return g, 0
}

// markStored records that the group being appended is in the log.
func (w *writer) markStored(g *group) {
	w.inFlight = false
	w.bytes -= g.size
}
