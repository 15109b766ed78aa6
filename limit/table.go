package limit

import (
	"sync"
	"time"

	"dandelionrelay/infra"
)

// partitionState is what this process knows of one partition.
type partitionState struct {
	epoch     uint64
	holder    string    // instance ID; empty if no holder is known
	addr      string    // ip:port at which peers reach the holder
	updatedAt time.Time // when the record in force was read
	tenure    Tenure    // set if this entry is the holder
	closing   bool      // this entry has closed its shares to hand them over
	contested bool      // another entry claimed an epoch below the one in force, so that the record in force may have expired
}

// Table is one process's view of the holders of all partitions, rebuilt by
// replaying the log. It does no I/O and is safe for concurrent use.
type Table struct {
	self string
	addr string

	mu            sync.RWMutex
	partitions    [Partitions]partitionState
	completeLog   bool // the replay began at the first record of the stream
	replayStarted time.Time

	lastTick    time.Time // latest time passed to tick
	pauseEnded  time.Time // end of the last pause of this process
	confirmedAt time.Time // start of the last read that reached the end of the log
	logDown     bool      // a call to the log failed since the last read that reached its end

	sightings   map[string]sighting // of entries, by instance ID
	live        []infra.Instance    // live entries of the last instance list
	dataCentres map[string]struct{} // of all instances of the last instance list
	delisted    bool                // this entry was listed and is no longer
}

// NewTable returns the table of the entry self, which peers reach at addr.
func NewTable(self, addr string, now time.Time) *Table {
	return &Table{self: self, addr: addr, replayStarted: now, lastTick: now, sightings: make(map[string]sighting)}
}

// StartReplay records that the replay begins, or begins anew, at the oldest
// record kept; completeLog says that this is the first record of the stream.
func (t *Table) StartReplay(now time.Time, completeLog bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.completeLog = completeLog
	t.replayStarted = now
	t.confirmedAt = time.Time{}
}

// Apply applies the next record of the log. Records must be applied in the
// order of their offsets.
func (t *Table) Apply(now time.Time, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	for _, c := range r.Claims {
		if c.Partition >= 0 && c.Partition < Partitions {
			t.apply(now, c)
		}
	}
}

func (t *Table) apply(now time.Time, c Claim) {
	s := &t.partitions[c.Partition]
	if c.Epoch <= s.epoch {
		// The claimant did not know the record in force, which may have expired.
		s.contested = s.contested || s.holder == t.self && c.Epoch < s.epoch && c.Holder != t.self
		return
	}
	renewed := s.holder == c.Holder && c.Carry == nil && !s.closing
	first := s.epoch == 0 && c.Epoch == 1 && t.completeLog
	previous := *s
	*s = partitionState{epoch: c.Epoch, holder: c.Holder, addr: c.Addr, updatedAt: now}
	if c.Holder != t.self {
		return
	}
	switch {
	case renewed:
		s.tenure = previous.tenure
	case first:
		// No entry has held the partition before: the shares are full.
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: time.Time{}}
	case c.Carry != nil:
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: now.Add(-c.Carry.Age), Carry: c.Carry}
	default:
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: now.Add(TakeoverDelay)}
	}
}

// Tick must be called more often than once in MaxTickGap; a longer gap between
// calls means that this process was paused.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
}

func (t *Table) tick(now time.Time) {
	if now.Sub(t.lastTick) > MaxTickGap {
		t.pauseEnded = now
	}
	if now.After(t.lastTick) {
		t.lastTick = now
	}
}

// ConfirmRead records that a read of the log that was started at start reached
// its end, and that all its records were applied.
func (t *Table) ConfirmRead(start, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	t.logDown = false
	if start.After(t.confirmedAt) {
		t.confirmedAt = start
	}
}

// LogFailed records that a read of the log, or an append to it, failed.
func (t *Table) LogFailed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	t.logDown = true
}

// Holder returns the instance ID of a partition's holder and its address for
// peers. The ID is empty if no holder is known.
func (t *Table) Holder(partition int) (id, addr string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &t.partitions[partition]
	return s.holder, s.addr
}

// Complete reports whether the log was read to its end and each partition has
// a holder, which may be down.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.confirmedAt.IsZero() {
		return false
	}
	for i := range t.partitions {
		if t.partitions[i].holder == "" {
			return false
		}
	}
	return true
}

// HeldCount returns the number of partitions that this entry holds.
func (t *Table) HeldCount() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for i := range t.partitions {
		if t.partitions[i].holder == t.self {
			n++
		}
	}
	return n
}

// Tenure returns this entry's tenure of a partition. It returns false if this
// entry may not grant tokens of the partition at now.
func (t *Table) Tenure(now time.Time, partition int) (Tenure, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &t.partitions[partition]
	if s.holder != t.self || s.closing || !t.authoritative(now) {
		return Tenure{}, false
	}
	if now.Before(s.tenure.From) && s.tenure.Carry == nil {
		return Tenure{}, false
	}
	return s.tenure, true
}

// authoritative reports whether this entry may act as a holder on what the
// table says. This process must not have been paused since the last confirming
// read, and that read must be at most ConfirmationTTL old or, while the log is
// down, this entry must still be listed. The caller holds the lock.
func (t *Table) authoritative(now time.Time) bool {
	if t.confirmedAt.IsZero() || t.confirmedAt.Before(t.pauseEnded) || now.Sub(t.lastTick) > MaxTickGap {
		return false
	}
	return t.logDown && !t.delisted || now.Sub(t.confirmedAt) <= ConfirmationTTL
}
