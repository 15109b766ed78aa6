// Package quota enforces each customer's request rate over all entries. Each entry
// keeps one token bucket for each customer and charges it with its own admissions and
// with those that other entries report, directly or as the sum of several entries (see
// Tally). An entry uses only the share of the rate that belongs to the entries whose
// reports it receives, so that the sum over the fleet stays within the rate under any
// network partition. The package does no I/O and reads no clock: the time is an
// argument.
package quota

import (
	"hash/fnv"
	"math"
	"sync"
	"time"
)

// Key is the hash of a customer's ID that entries exchange in place of the ID.
type Key uint32

// KeyOf returns the key of a customer.
func KeyOf(customer string) Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(customer))
	return Key(h.Sum32())
}

// Limit is the rate and burst of a customer over the whole fleet.
type Limit struct {
	Rate  float64 // requests per second; 0: no limit
	Burst float64 // requests
}

// Count is the number of requests of a customer that an entry has admitted since it
// started, less the refunded ones. It wraps around, so only differences between counts
// are used.
type Count uint32

// noShareRetryAfter is the wait that Admit returns while the entry does not know its
// share yet.
const noShareRetryAfter = 300 * time.Millisecond

// bucket is the token bucket of one customer. Its times are readings of the entry's
// clock.
type bucket struct {
	level          float64       // tokens; negative if overdrawn
	refilledAt     time.Duration // clock at the last refill
	initialized    bool          // the share of the slack was added
	inheritedShare float64       // share of the inherited tokens that was added to level
	localCount     Count         // of this entry
	admitted       windowCount   // by this entry and, as far as reported, by others
	surgeUntil     time.Duration // clock until which the customer is in surge
	unseen         windowCount   // admissions of this entry that others may not know
	unseenPeriod   time.Duration // over which unseen is counted
	share          float64       // at the last refill
	queued         uint32        // refused requests
	nextDue        time.Duration // clock at which the next token is due that no refused request was told
	surgeAtStart   bool          // in surge since this entry started: it does not know all of the customer's admissions

	// Admissions of this entry (local) and of other entries by their reports
	// (remote), as sums that decay with reportLag (recent) or usageDecay (long).
	localRecent, remoteRecent decayingSum
	localLong, remoteLong     decayingSum
}

const (
	// reportLag is the time from an admission until all other entries have its
	// report: the send interval between data centres plus the network latency.
	reportLag = 300 * time.Millisecond
	// usageDecay is the time constant of the sums from which the spread of a
	// customer's requests over the entries is estimated.
	usageDecay = 5 * time.Second
	// assumedEntries is the number of entries over which the requests of a customer
	// without recent admissions are assumed to be spread.
	assumedEntries = 7
)

// decayingSum is a sum that decays exponentially.
type decayingSum struct {
	sum float64       // as of at
	at  time.Duration // clock at the last addition
}

// add adds n at now. The sum decays with the given time constant and never falls
// below 0.
func (s *decayingSum) add(now time.Duration, n float64, decay time.Duration) {
	s.sum = max(0, s.value(now, decay)+n)
	s.at = now
}

// value returns the sum at now.
func (s *decayingSum) value(now, decay time.Duration) float64 {
	return s.sum * math.Exp(-float64(now-s.at)/float64(decay))
}

// unreported estimates how many requests other entries have admitted that are not
// in their reports yet, less the tolerated number. The estimate is the larger of
// two values: what they reported within the last reportLag, and, for a surge that
// has just begun, this entry's own recent admissions times the usual ratio of
// remote to local admissions. It leaves at least one token of capacity. The result
// is 0 for an entry that uses only its own share, as it shares no tokens with others.
func (b *bucket) unreported(now time.Duration, share Share, capacity, tolerated float64) float64 {
	if share.at(now) <= share.Own {
		return 0
	}
	reported := b.remoteRecent.value(now, reportLag)
	local := b.localLong.value(now, usageDecay) + 1
	remote := b.remoteLong.value(now, usageDecay) + min(assumedEntries, 1/share.Own) - 1
	surge := b.localRecent.value(now, reportLag) * remote / local
	return max(0, min(max(reported, surge), capacity-1)-tolerated)
}

// Table holds the buckets of all customers. It is safe for concurrent use.
type Table struct {
	tolerance Tolerance
	slack     float64 // tokens over all entries by which the level may exceed the burst

	mu        sync.Mutex
	share     Share
	limits    map[Key]Limit // nil before the first SetLimits
	buckets   map[Key]*bucket
	sources   sources          // last counts of each source
	seed      uint64           // of dither
	inherited *inheritedLevels // nil: none

	startingUntil time.Duration // clock until which this entry does not know all recent admissions
}

// Share is the fraction, 0 to 1, of each rate and burst that an entry may use.
type Share struct {
	Observed   float64       // of all entries in contact with this one in both directions, directly or through relays, itself included
	Own        float64       // of this entry alone
	ValidUntil time.Duration // on this entry's clock; later only Own may be used
}

// at returns the share to use at now. An entry that was paused past ValidUntil falls
// back to its own share.
func (s Share) at(now time.Duration) float64 {
	if now > s.ValidUntil {
		return s.Own
	}
	return s.Observed
}

// NewTable returns a Table that admits nothing before SetShare is called.
func NewTable(tolerance Tolerance) *Table {
	return &Table{
		tolerance: tolerance,
		slack:     tolerance.Slack * bucketSlackShare,
		buckets:   make(map[Key]*bucket),
		sources:   make(sources),
	}
}

// SetLimits replaces the limits of all customers. New customers get a bucket that is
// refilled from now on.
func (t *Table) SetLimits(now time.Duration, limits map[string]Limit) {
	byKey := make(map[Key]Limit, len(limits))
	for customer, l := range limits {
		byKey[KeyOf(customer)] = l
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limits == nil {
		t.startingUntil = now + t.tolerance.Window
	}
	t.limits = byKey
	for key := range byKey {
		if t.buckets[key] == nil {
			t.buckets[key] = &bucket{refilledAt: now}
		}
	}
}

// SetTolerance replaces the tolerance. After a change of the window, admissions are
// counted anew, and each customer is treated as after a start.
func (t *Table) SetTolerance(now time.Duration, tolerance Tolerance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if tolerance.Window != t.tolerance.Window {
		t.startingUntil = now + tolerance.Window
		for _, b := range t.buckets {
			b.admitted = windowCount{}
		}
	}
	t.tolerance = tolerance
	t.slack = tolerance.Slack * bucketSlackShare
}

// SetShare sets this entry's share.
func (t *Table) SetShare(share Share) {
	t.mu.Lock()
	t.share = share
	t.mu.Unlock()
}

// Decision says whether a request is within its customer's rate, and holds the values
// on which the decision is based.
type Decision struct {
	Admitted bool
	Wait     time.Duration // until the next token is available; 0 if admitted
	Level    float64       // tokens in this entry's bucket before the request
	Share    float64       // fraction of the rate that this entry used
	Limit    Limit

	// Set if the request is refused for its customer's rate.
	Reserve float64       // tokens of Level that were kept for admissions that others have not reported
	Part    float64       // fraction of the customer's requests that arrive at this entry, as estimated
	Age     time.Duration // of the oldest report on which Level is based, of those of sources in contact
}

// Admit takes a token from the customer's bucket if one is available. Requests of
// customers without a limit are admitted. Nothing is admitted while the share is 0.
func (t *Table) Admit(now time.Duration, customer string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	l := t.limits[key]
	if l.Rate <= 0 {
		return Decision{Admitted: true}
	}
	b := t.bucket(key)
	d := t.decide(now, key, b, l)
	if !d.Admitted {
		if d.Share > 0 {
			b.surgeUntil = now + t.tolerance.Window
		}
		return d
	}
	b.level--
	b.localCount++
	t.unseenAdmissions(now, b) // sets the period
	b.unseen.add(now, b.unseenPeriod, 1)
	b.admitted.add(now, t.tolerance.Window, 1)
	b.localRecent.add(now, 1, reportLag)
	b.localLong.add(now, 1, usageDecay)
	return d
}

// decide refills the bucket b of a customer with the limit l and decides on a request,
// without a change for the request itself. The caller holds the lock.
func (t *Table) decide(now time.Duration, key Key, b *bucket, l Limit) Decision {
	share := t.share.at(now)
	if share <= 0 {
		return Decision{Wait: noShareRetryAfter, Limit: l}
	}
	t.refill(now, key, b, l)
	available := b.level - b.unreported(now, t.share, (l.Burst+t.slack)*share, t.toleratedUnreported(now, b, l))
	d := Decision{Admitted: t.admits(now, key, b, l, available), Level: b.level, Share: share, Limit: l}
	if !d.Admitted {
		d.Wait = time.Duration(max(0, 1-available) / (l.Rate * share) * float64(time.Second))
		d.Reserve, d.Part, d.Age = b.level-available, t.part(now, b), t.sources.age(now)
	}
	return d
}

// toleratedUnreported returns how many of the admissions of a customer that other
// entries have not reported yet are ignored. It is the minimum for a window after this
// entry has started or has refused the customer: in the first case it does not know all
// of the customer's admissions, in the second the customer exceeds its rate, and many
// entries would use the tokens of a refill at the same time. The caller holds the lock.
func (t *Table) toleratedUnreported(now time.Duration, b *bucket, l Limit) float64 {
	if now < t.startingUntil || now < b.surgeUntil {
		return t.tolerance.minUnreported(l)
	}
	return t.tolerance.unreported(l, t.share.at(now), b.admitted.value(now, t.tolerance.Window))
}

// Refund returns the token of a request that did not run to the customer's bucket.
func (t *Table) Refund(customer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	if t.limits[key].Rate <= 0 {
		return
	}
	b := t.bucket(key)
	b.level++
	b.localCount--
}

// bucket returns the bucket of a customer and creates it if there is none. The
// caller holds the lock.
func (t *Table) bucket(key Key) *bucket {
	b := t.buckets[key]
	if b == nil {
		b = &bucket{}
		t.buckets[key] = b
	}
	return b
}

// refill adds the tokens since the last refill, up to the share of burst and slack.
// A new bucket starts with only its share of the slack and of the inherited tokens:
// this entry may have been restarted, and what it admitted before still counts. The
// caller holds the lock.
func (t *Table) refill(now time.Duration, key Key, b *bucket, l Limit) {
	share := t.share.at(now)
	if t.divides() {
		t.adjustShare(now, b, share, l)
	}
	if !b.initialized {
		b.initialized = true
		b.level += t.slack * t.share.Own
	}
	if added := share - b.inheritedShare; added > 0 && t.inherited != nil {
		b.level += added * t.inheritedTokens(now, key, l)
		b.inheritedShare = share
	}
	b.level += (now - b.refilledAt).Seconds() * l.Rate * share
	b.level = min(b.level, (l.Burst+t.slack)*share)
	b.refilledAt = now
}

// Report describes the counts that a source reports. A source is another entry, or a
// relay that reports the sums of several entries.
type Report struct {
	Full     bool // all customers with admissions are included; else only those whose count changed recently
	FromZero bool // nothing in a first report was charged before, and the reporting entry started at about the same time as this one or later: the report is charged in full
}

// Observe charges the buckets with the admissions that a source has counted since its
// last report and returns them by customer. A number is negative if more requests were
// refunded than admitted. The first report of a source may only set the baseline; see
// Report.FromZero. incarnation changes when the reporting entry restarts. Of the
// admissions of a source that was out of contact only those count that fall, at an even
// rate, into the last window.
func (t *Table) Observe(now time.Duration, source string, incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, known := t.sources[source]; !known {
		t.seed ^= sourceHash(source)
	}
	increase, silence := t.sources.update(now, source, incarnation, counts, r)
	charged := 1.0
	if t.divides() {
		charged = afterSilence(increase, silence, t.tolerance.Window)
	}
	for key, n := range increase {
		b := t.bucket(key)
		if l := t.limits[key]; l.Rate > 0 {
			t.refill(now, key, b, l)
		}
		b.level -= float64(n) * charged
		b.admitted.add(now, t.tolerance.Window, int(n))
		b.remoteRecent.add(now, float64(n)*charged, reportLag)
		b.remoteLong.add(now, float64(n), usageDecay)
	}
	return increase
}

// Forget drops the last counts of a source. The admissions that it reported remain
// charged.
func (t *Table) Forget(source string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sources, source)
}

// LocalCounts returns this entry's counts by customer.
func (t *Table) LocalCounts() map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[Key]Count, len(t.buckets))
	for key, b := range t.buckets {
		counts[key] = b.localCount
	}
	return counts
}
