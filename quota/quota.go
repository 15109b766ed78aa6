// Package quota keeps customers' requests within their rate over all entries.
// Each entry keeps a token bucket a customer, from which it takes its own
// admissions and those that other entries report. For entries that it does not
// hear it leaves their share untouched, so the sum holds under any cut. A pure
// decision: the time is an argument.
package quota

import (
	"hash/fnv"
	"sync"
	"time"
)

// Key names a customer between entries.
type Key uint32

// KeyOf returns the key of a customer.
func KeyOf(customer string) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer))
	return Key(h.Sum32())
}

// Limit is a customer's rate over the whole fleet.
type Limit struct {
	Rate  float64 // requests a second; 0: no limit
	Burst float64 // requests
}

// Count is the sum of an entry's admissions of a customer since it started.
// Differences wrap around.
type Count uint32

// noShareWait is when a caller returns to an entry that does not know its
// share yet.
const noShareWait = 300 * time.Millisecond

// bucket is the state of one customer.
type bucket struct {
	level   float64
	at      time.Duration
	started bool
	own     Count
}

// Table holds the buckets of all customers.
type Table struct {
	slack float64 // requests by which a bucket may exceed the burst

	mu      sync.Mutex
	share   Share
	buckets map[Key]*bucket
	seen    map[string]observed // by entry
}

// Share is the part of each rate that an entry may count on, 0 to 1.
type Share struct {
	Part  float64       // until Until: of all entries whose admissions it observes
	Alone float64       // afterwards: of itself
	Until time.Duration // on the entry's clock
}

// at returns the share at now. An entry that was paused finds it expired.
func (s Share) at(now time.Duration) float64 {
	if now > s.Until {
		return s.Alone
	}
	return s.Part
}

// NewTable returns a Table that admits nothing before SetShare is called.
// slack is what the operator tolerates beyond the burst, in requests.
func NewTable(slack float64) *Table {
	return &Table{
		slack:   slack,
		buckets: make(map[Key]*bucket),
		seen:    make(map[string]observed),
	}
}

// SetShare sets the share of this entry.
func (t *Table) SetShare(share Share) {
	t.mu.Lock()
	t.share = share
	t.mu.Unlock()
}

// Admit takes a token of the customer. Without one it returns how long the
// next takes.
func (t *Table) Admit(now time.Duration, customer string, l Limit) (ok bool, wait time.Duration) {
	if l.Rate <= 0 {
		return true, 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(KeyOf(customer))
	share := t.share.at(now)
	if share <= 0 {
		return false, noShareWait
	}
	b.refill(now, l, t.slack, share)
	if b.level < 1 {
		return false, time.Duration((1 - b.level) / (l.Rate * share) * float64(time.Second))
	}
	b.level--
	b.own++
	return true, 0
}

// Return gives a token back whose request did not run.
func (t *Table) Return(customer string, l Limit) {
	if l.Rate <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.bucket(KeyOf(customer))
	b.level++
	b.own--
}

func (t *Table) bucket(k Key) *bucket {
	b := t.buckets[k]
	if b == nil {
		b = &bucket{}
		t.buckets[k] = b
	}
	return b
}

// refill adds the tokens since the last call, up to the share of the burst.
func (b *bucket) refill(now time.Duration, l Limit, slack, share float64) {
	top := (l.Burst + slack) * share
	if !b.started {
		b.started = true
		b.level += top
	} else {
		b.level += (now - b.at).Seconds() * l.Rate * share
	}
	b.level = min(b.level, top)
	b.at = now
}

// observed is what an entry has reported last.
type observed struct {
	incarnation uint64
	counts      map[Key]Count
}

// Observe takes what another entry has admitted since its last report; since
// its start, if it has started again.
func (t *Table) Observe(id string, incarnation uint64, counts map[Key]Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before, known := t.seen[id]
	t.seen[id] = observed{incarnation: incarnation, counts: counts}
	if !known {
		return
	}
	if before.incarnation != incarnation {
		before.counts = nil
	}
	for key, count := range counts {
		used := int32(count - before.counts[key])
		if used != 0 {
			t.bucket(key).level -= float64(used)
		}
	}
}

// Own returns this entry's counts.
func (t *Table) Own() map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[Key]Count, len(t.buckets))
	for key, b := range t.buckets {
		own[key] = b.own
	}
	return own
}
