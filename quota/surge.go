package quota

import (
	"hash/fnv"
	"time"
)

// A customer is in surge at an entry for one window after the entry has refused one of
// its requests. Its tokens are then divided by where its requests arrive: an entry takes,
// within unseenPeriod, at most the part of the common tokens that its part of the customer's
// recent admissions amounts to. All entries know the common tokens and the parts nearly
// alike, so that together they take what is left, and what is tolerated, once.

const (
	// calmLevel is the share of the burst from which a customer is not taken for one in surge
	// any more, although this entry has refused it in the last window: the bound leaves as
	// much as before the surge.
	calmLevel = 0.8
	// unseenInCell and unseenBetweenCells are the longest times for which the admissions
	// of an entry are unknown to others that still use a common share with it: the time
	// after which a silent entry counts as out of contact, 0.7 s, and the interval at which
	// that is checked; between cells the loss of a relay is passed on as well.
	unseenInCell       = 750 * time.Millisecond
	unseenBetweenCells = 1100 * time.Millisecond
	// oneCell is the largest fleet whose entries all report to one another.
	oneCell = 40
	// maxSilence is the time without a report after which a source has been out of
	// contact: its admissions since then used its own share.
	maxSilence = time.Second
	// windowPrior is the number of admissions, as a fraction of the bound, that are assumed
	// to be spread evenly when a customer's requests are divided by the window. Without it,
	// customers within their rate are refused at entries that get few of their requests.
	windowPrior = 0.1
	// freeLevel is the fraction of the burst from which the first request within
	// unseenPeriod is not checked against the window.
	freeLevel = 0.1
)

// divides reports whether the tokens of customers in surge are divided. Windows that are
// hardly longer than unseenPeriod leave no time to make up for what others have not seen.
func (t *Table) divides() bool { return t.tolerance.Window >= 2*unseenBetweenCells }

// unseenPeriod returns unseenInCell or unseenBetweenCells. The caller holds the lock.
func (t *Table) unseenPeriod() time.Duration {
	if t.share.Own*oneCell < 1 {
		return unseenBetweenCells
	}
	return unseenInCell
}

// unseenAdmissions returns the number of admissions of this entry that others may not know.
// The caller holds the lock.
func (t *Table) unseenAdmissions(now time.Duration, b *bucket) int {
	if period := t.unseenPeriod(); b.unseenPeriod != period {
		b.unseen, b.unseenPeriod = windowCount{}, period // counted anew when the fleet grows into cells
	}
	return b.unseen.value(now, b.unseenPeriod)
}

// part returns the fraction of the customer's requests that arrive at this entry. The
// caller holds the lock.
func (t *Table) part(now time.Duration, b *bucket) float64 {
	if t.share.at(now) <= t.share.Own {
		return 1
	}
	return b.part(now, t.share.Own, min(assumedEntries, 1/t.share.Own))
}

// part estimates the fraction, 0 to 1, of the customer's requests that arrive at this
// entry, from the recent admissions of all entries. The parts of all entries add up to 1.
func (b *bucket) part(now time.Duration, own, prior float64) float64 {
	local := b.localLong.value(now, usageDecay) + prior*own
	remote := b.remoteLong.value(now, usageDecay) + prior*(1-own)
	return local / (local + remote)
}

// admits reports whether a request is admitted. available are the tokens left after the
// unreported admissions. A surge in which this entry started is left to them until it
// ends, as the entry does not know all of the customer's admissions. The caller holds the
// lock.
func (t *Table) admits(now time.Duration, key Key, b *bucket, l Limit, available float64) bool {
	b.surgeAtStart = now < t.startingUntil || b.surgeAtStart && now < b.surgeUntil
	if t.share.at(now) <= t.share.Own || b.surgeAtStart || !t.divides() {
		return available >= 1
	}
	calm := now >= b.surgeUntil || b.level >= calmLevel*l.Burst*t.share.at(now)
	if calm && available >= 1 {
		return true
	}
	return b.level >= 1 && t.windowAdmits(now, key, b, l) || t.surgeAdmits(now, key, b, l)
}

// withinPart reports whether this entry may take one more of the given common tokens,
// which it and the others may take within unseenPeriod, after its unseen ones. dither,
// above 0 and up to 1, stands for the token's fraction, so that the parts of many entries,
// each below one token, are neither all rounded down nor all rounded up.
func withinPart(unseen int, part, common, dither float64) bool {
	return float64(unseen)+dither <= part*common
}

// surgeAdmits reports whether a request of a customer in surge is admitted. The caller
// holds the lock.
func (t *Table) surgeAdmits(now time.Duration, key Key, b *bucket, l Limit) bool {
	common := min(t.windowLeft(now, b, l), b.level+float64(t.unseenAdmissions(now, b))+t.tolerance.surge(l)*t.share.at(now))
	return withinPart(t.unseenAdmissions(now, b), t.part(now, b), common, t.dither(now, key))
}

// windowAdmits reports whether one more request can't break the bound, although entries
// that don't know of a surge yet may admit too. The first request within unseenPeriod is left
// to the level. The caller holds the lock.
func (t *Table) windowAdmits(now time.Duration, key Key, b *bucket, l Limit) bool {
	unseen := t.unseenAdmissions(now, b)
	if unseen == 0 && b.level >= freeLevel*l.Burst*t.share.at(now) {
		return true
	}
	left := min(t.windowLeft(now, b, l), b.level+float64(unseen)+refilledShare*t.tolerance.remainder(l)*t.share.at(now))
	return withinPart(unseen, b.part(now, t.share.Own, windowPrior*t.tolerance.bound(l)), left, t.dither(now, key))
}

// dither returns a number above 0 and up to 1 that differs between entries and customers
// and changes each unseenPeriod. Entries know different sources, from whose names the seed is
// made. The caller holds the lock.
func (t *Table) dither(now time.Duration, key Key) float64 {
	seed := mix(t.seed ^ uint64(key))
	phase := time.Duration(seed % uint64(unseenBetweenCells))
	return unit(mix(seed + uint64((now+phase)/t.unseenPeriod())))
}

// unit maps x to a number above 0 and up to 1.
func unit(x uint64) float64 { return (float64(x>>11) + 1) / (1 << 53) }

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// sourceHash returns the contribution of a source to the seed.
func sourceHash(source string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(source))
	return mix(h.Sum64())
}

// adjustShare adapts the level of a customer in surge to a smaller share. Entries that are
// out of contact have used tokens unseen until their loss was noticed, and take their part
// of the rest or of the debt with them. The caller holds the lock.
func (t *Table) adjustShare(now time.Duration, b *bucket, share float64, l Limit) {
	before := b.share
	b.share = share
	if share > 0 && share < before && now < b.surgeUntil {
		b.level = (b.level - l.Rate*t.unseenPeriod().Seconds()*(before-share)) * share / before
	}
}

// windowLeft returns how many requests the entries in contact may admit by the bound, those
// that this entry has admitted within unseenPeriod included. The caller holds the lock.
func (t *Table) windowLeft(now time.Duration, b *bucket, l Limit) float64 {
	return t.share.at(now) * (t.tolerance.bound(l) - float64(b.admitted.value(now, t.tolerance.Window)-t.unseenAdmissions(now, b)))
}
