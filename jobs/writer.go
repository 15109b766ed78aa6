package jobs

import (
	"fmt"
	"time"
)

// writer gathers facts into group records: at most one record is on its way
// at a time, and at most one is started per CommitInterval. It is passive.
type writer struct {
	nonce      string
	groupCount int
	pending    []fact
	bytes      int // bodies in pending
	inFlight   bool
	startedAt  time.Time // of the group in flight
	nextStart  time.Time // when the next group may start
}

// group is one record to be appended. It may be appended again under the same
// id until it is known to be stored.
type group struct {
	id   string
	data []byte
	size int // bytes of bodies
}

// add queues facts.
func (w *writer) add(facts []fact) {
	for i := range facts {
		w.bytes += len(facts[i].body)
	}
	w.pending = append(w.pending, facts...)
}

// full says whether no more work shall be handed out until the log has taken
// what waits.
func (w *writer) full() bool {
	return w.bytes > PendingBytes || len(w.pending) > maxPendingFacts
}

// stuck says whether the log has not answered for long.
func (w *writer) stalled(now time.Time) bool {
	return w.inFlight && now.Sub(w.startedAt) > beginTimeout
}

// maxPending is the number of facts that may wait in one partition.
const maxPendingFacts = 20_000

// maxGroup is the number of facts in one record.
const maxGroupFacts = 5_000

// take returns the next group, or how long to wait for it; 0 and no group
// means until something is added.
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

// stored notes that the group in flight is in the log.
func (w *writer) markStored(g *group) {
	w.inFlight = false
	w.bytes -= g.size
}
