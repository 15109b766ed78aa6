// Package quota keeps customers' requests within their rate over all entries.
// Each entry keeps a token bucket a customer, from which it takes its own
// admissions and those that other entries report. For entries that it does not
// hear it leaves their share untouched, so the sum holds under any cut. A pure
// decision: the time is an argument.
package quota

import (
	"hash/fnv"
	"math"
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
	level     float64
	at        time.Duration // of the last refill
	started   bool
	inherited float64 // part of the inherited tokens that the level holds
	own       Count

	// What was admitted here and, by their reports, elsewhere: within about
	// reportLag, and within about usageMemory.
	ownRecent, otherRecent fading
	ownLong, otherLong     fading
}

const (
	// reportLag is the time from an admission until all other entries know of
	// it: the pace of datagrams between data centres and the way.
	reportLag = 300 * time.Millisecond
	// usageMemory is for how long it is remembered where a customer's requests
	// arrive.
	usageMemory = 5 * time.Second
	// priorEntries is at how many entries a customer without a past is assumed
	// to arrive at the same time.
	priorEntries = 7
)

// fading is a sum whose parts fade with time.
type fading struct {
	sum float64
	at  time.Duration
}

// add adds n at now, to a sum that fades over memory.
func (f *fading) add(now time.Duration, n float64, memory time.Duration) {
	f.sum = max(0, f.value(now, memory)+n)
	f.at = now
}

func (f *fading) value(now, memory time.Duration) float64 {
	return f.sum * math.Exp(-float64(now-f.at)/float64(memory))
}

// unreported estimates what other entries have admitted without word of it,
// beyond what is tolerated: as much as they reported in the time that reports
// take, or, when a surge has just begun, as much as follows from this entry's own
// admissions and its usual part of the customer's.
// An entry that counts on its own part alone leaves nothing to others.
func (b *bucket) unreported(now time.Duration, share Share, top, tolerated float64) float64 {
	if share.at(now) <= share.Own {
		return 0
	}
	reported := b.otherRecent.value(now, reportLag)
	own := b.ownLong.value(now, usageMemory) + 1
	others := b.otherLong.value(now, usageMemory) + min(priorEntries, 1/share.Own) - 1
	surge := b.ownRecent.value(now, reportLag) * others / own
	return max(0, min(max(reported, surge), top-1)-tolerated)
}

// Table holds the buckets of all customers.
type Table struct {
	tolerance Tolerance
	slack     float64 // requests by which a bucket may exceed the burst

	mu       sync.Mutex
	share    Share
	limits   map[Key]Limit
	buckets  map[Key]*bucket
	seen     sources // by entry
	heritage *heritage
}

// Share is the part of each rate that an entry may count on, 0 to 1.
type Share struct {
	Observed float64       // until Until: of all entries whose admissions it observes
	Own      float64       // afterwards: of itself
	Until    time.Duration // on the entry's clock
}

// at returns the share at now. An entry that was paused finds it expired.
func (s Share) at(now time.Duration) float64 {
	if now > s.Until {
		return s.Own
	}
	return s.Observed
}

// NewTable returns a Table that admits nothing before SetShare is called.
func NewTable(tolerance Tolerance) *Table {
	return &Table{
		tolerance: tolerance,
		slack:     tolerance.Slack * slackShare,
		limits:    make(map[Key]Limit),
		buckets:   make(map[Key]*bucket),
		seen:      make(sources),
	}
}

// SetLimits replaces the limits of all customers.
// Customers that are new get a bucket at now.
func (t *Table) SetLimits(now time.Duration, limits map[string]Limit) {
	byKey := make(map[Key]Limit, len(limits))
	for customer, l := range limits {
		byKey[KeyOf(customer)] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limits = byKey
	for key := range byKey {
		if t.buckets[key] == nil {
			t.buckets[key] = &bucket{at: now}
		}
	}
}

// SetShare sets the share of this entry.
func (t *Table) SetShare(share Share) {
	t.mu.Lock()
	t.share = share
	t.mu.Unlock()
}

// Decision says whether a request is within its customer's rate, and what
// decided it.
type Decision struct {
	Admitted bool
	Wait     time.Duration // until the next token, if it is not admitted
	Level    float64       // tokens in this entry's bucket
	Share    float64       // part of the rate that this entry counted on
	Limit    Limit
}

// Admit takes a token of the customer if there is one.
func (t *Table) Admit(now time.Duration, customer string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	l := t.limits[key]
	if l.Rate <= 0 {
		return Decision{Admitted: true}
	}
	b := t.bucket(key)
	share := t.share.at(now)
	if share <= 0 {
		return Decision{Wait: noShareWait, Limit: l}
	}
	t.refill(now, key, b, l)
	left := b.level - b.unreported(now, t.share, (l.Burst+t.slack)*share, t.tolerance.unseen(l))
	v := Decision{Admitted: left >= 1, Level: b.level, Share: share, Limit: l}
	if !v.Admitted {
		v.Wait = time.Duration((1 - left) / (l.Rate * share) * float64(time.Second))
		return v
	}
	b.level--
	b.own++
	b.ownRecent.add(now, 1, reportLag)
	b.ownLong.add(now, 1, usageMemory)
	return v
}

// Refund gives a token back whose request did not run.
func (t *Table) Refund(customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	if t.limits[key].Rate <= 0 {
		return
	}
	b := t.bucket(key)
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

// refill adds the tokens since the last refill, up to the share of the burst.
// A bucket begins with what is inherited and little else: this entry may have
// started again, and what it admitted before still counts.
func (t *Table) refill(now time.Duration, key Key, b *bucket, l Limit) {
	share := t.share.at(now)
	if !b.started {
		b.started = true
		b.level += t.slack * t.share.Own
	}
	if part := share - b.inherited; part > 0 && t.heritage != nil {
		b.level += part * t.inherits(now, key, l)
		b.inherited = share
	}
	b.level += (now - b.at).Seconds() * l.Rate * share
	b.level = min(b.level, (l.Burst+t.slack)*share)
	b.at = now
}

// Report says what the counts of another entry hold.
type Report struct {
	Complete bool // of all customers that it ever admitted
	FromZero bool // it started with this entry or later: all that it admitted counts
}

// Observe takes what another entry has admitted since its last report, and returns
// it by customer; see sources.take.
func (t *Table) Observe(now time.Duration, id string, incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	grown := t.seen.take(id, incarnation, counts, r)
	for key, used := range grown {
		b := t.bucket(key)
		if l := t.limits[key]; l.Rate > 0 {
			t.refill(now, key, b, l)
		}
		b.level -= float64(used)
		b.otherRecent.add(now, float64(used), reportLag)
		b.otherLong.add(now, float64(used), usageMemory)
	}
	return grown
}

// Forget drops what the entry id has reported; what it admitted stays counted.
func (t *Table) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.seen, id)
}

// LocalCounts returns this entry's counts.
func (t *Table) LocalCounts() map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[Key]Count, len(t.buckets))
	for key, b := range t.buckets {
		own[key] = b.own
	}
	return own
}
