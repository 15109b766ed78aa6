package limit

import (
	"sync"
	"time"

	"dandelionrelay/infra"
)

// slot is what is known of one partition.
type slot struct {
	epoch   uint64
	holder  string    // empty: nobody is known to hold it
	addr    string    // of the holder
	updated time.Time // when the record in force was read
	tenure  Tenure    // if this process is the holder
	closing bool      // this process has closed its shares to hand them over
	stale   bool      // another claimed an epoch that this holder had already passed
}

// Table is one process's view of the holders of all partitions, rebuilt by
// replay of the log. It is passive and safe for concurrent use.
type Table struct {
	self string
	addr string

	mu      sync.RWMutex
	slots   [Partitions]slot
	whole   bool // the replay began at the first record ever
	started time.Time

	observed  time.Time // last Observe
	resumed   time.Time // end of the last pause
	confirmed time.Time // start of the last read that reached the end of the log
	down      bool      // the log did not answer since then

	seen        map[string]sighting // entries by id
	live        []infra.Instance    // entries as last listed
	dataCentres map[string]struct{} // as last listed
	dropped     bool                // this entry was listed and is no longer
}

// NewTable returns the table of the entry self, whose peers reach it at addr.
func NewTable(self, addr string, now time.Time) *Table {
	return &Table{self: self, addr: addr, started: now, observed: now, seen: make(map[string]sighting)}
}

// StartReplay says that replay begins, or begins anew, at the oldest record kept,
// and whether that is the first one ever.
func (t *Table) StartReplay(now time.Time, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.whole = whole
	t.started = now
	t.confirmed = time.Time{}
}

// Apply takes in the next record of the log. Records must come in the order
// of their offsets.
func (t *Table) Apply(now time.Time, r *Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	for _, c := range r.Claims {
		if c.Partition >= 0 && c.Partition < Partitions {
			t.apply(now, c)
		}
	}
}

func (t *Table) apply(now time.Time, c Claim) {
	s := &t.slots[c.Partition]
	if c.Epoch <= s.epoch {
		// Its author did not know of our record, which may have expired.
		s.stale = s.stale || s.holder == t.self && c.Epoch < s.epoch && c.Holder != t.self
		return
	}
	renewed := s.holder == c.Holder && c.Carry == nil && !s.closing
	first := s.epoch == 0 && c.Epoch == 1 && t.whole
	previous := *s
	*s = slot{epoch: c.Epoch, holder: c.Holder, addr: c.Addr, updated: now}
	if c.Holder != t.self {
		return
	}
	switch {
	case renewed:
		s.tenure = previous.tenure
	case first:
		// Nobody has ever minted here: the shares are full.
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: time.Time{}}
	case c.Carry != nil:
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: now.Add(-c.Carry.Age), Carry: c.Carry}
	default:
		s.tenure = Tenure{Acquired: c.Epoch, Learnt: now, From: now.Add(TakeoverDelay)}
	}
}

// Tick must be called more often than MaxGap; a longer gap between calls
// means that this process was paused.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
}

func (t *Table) observe(now time.Time) {
	if now.Sub(t.observed) > MaxTickGap {
		t.resumed = now
	}
	if now.After(t.observed) {
		t.observed = now
	}
}

// ConfirmRead says that a read of the log that was started at start reached its
// end, and that all its records were applied.
func (t *Table) ConfirmRead(start, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	t.down = false
	if start.After(t.confirmed) {
		t.confirmed = start
	}
}

// ReadFailed says that a read of the log failed.
func (t *Table) ReadFailed(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	t.down = true
}

// Holder returns who holds a partition and its address for peers. The id is
// empty if nobody is known to.
func (t *Table) Holder(partition int) (id, addr string) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &t.slots[partition]
	return s.holder, s.addr
}

// Complete reports whether the log was read to its end and each partition has a
// holder, dead or alive.
func (t *Table) Complete() bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.confirmed.IsZero() {
		return false
	}
	for i := range t.slots {
		if t.slots[i].holder == "" {
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
	for i := range t.slots {
		if t.slots[i].holder == t.self {
			n++
		}
	}
	return n
}

// Tenure returns this entry's right to mint for a partition, if it has it at
// now.
func (t *Table) Tenure(now time.Time, partition int) (Tenure, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s := &t.slots[partition]
	if s.holder != t.self || s.closing || !t.certain(now) {
		return Tenure{}, false
	}
	if now.Before(s.tenure.From) && s.tenure.Carry == nil {
		return Tenure{}, false
	}
	return s.tenure, true
}

// certain reports whether the table may still be acted on as holder: it was
// confirmed lately, or the log is down, this process has not been paused since
// it was confirmed, and the list still shows it. The caller holds the lock.
func (t *Table) certain(now time.Time) bool {
	if t.confirmed.IsZero() || t.confirmed.Before(t.resumed) || now.Sub(t.observed) > MaxTickGap {
		return false
	}
	return t.down && !t.dropped || now.Sub(t.confirmed) <= ConfirmationTTL
}
