package placement

import (
	"math"
	"time"
)

// The own parts of a cold endpoint's bound need no exchange between entries: a few entries,
// its users, chosen by rendezvous hashing, each have a token bucket with an equal part of
// what may be sent in a second. The sum stays within the bound as long as all entries choose
// from the same list, whichever of them are out of contact, lost, restarted or frozen. Entries
// that have left the list are kept in it for a while, see coldEntries. If some are cut off for
// longer and still send, the sum may exceed the bound by the parts of those that replaced them.
const (
	// coldSendShare is the share of the bound that may be sent in a second. The rest is
	// for requests that arrive closer together than they were sent.
	coldSendShare = 0.88
	// coldBurstShare is the share of what may be sent in a second that may be sent at
	// once. The burst is also the number of users, one token each.
	coldBurstShare = 0.35
	// coldStartup is the time after the start of an entry in which it may not know all
	// others yet: one interval of registrations and one of reading them. Until then it
	// assumes coldStartupEntries, the largest number that uses the same endpoints.
	coldStartup        = 3 * time.Second
	coldStartupEntries = 40
	// maxColdJitter is by how much requests may be sent closer together than they were
	// granted, for example as the contents of some batch items are read faster.
	maxColdJitter = 100 * time.Millisecond
	// slowRate is the rate up to which no two requests fall into one second. There is no room
	// for maxColdJitter up to it.
	slowRate = 0.95
)

// coldPart is this entry's part of what may be sent to a cold endpoint. Requests take a token
// when they are granted, and another when they are sent, as they may be held up in between.
type coldPart struct {
	rate, burst  float64       // requests a second, and requests; 0: this entry is not a user
	startupRate  float64       // in place of rate before startupUntil
	startupUntil time.Duration // clock
	jitter       time.Duration // by which requests may be sent closer together than they were granted

	granted, sent coldBucket
}

// coldBucket is a token bucket with the rate and burst of a coldPart. It is empty until it is
// first used: the list of endpoints, which creates it, has no clock.
type coldBucket struct {
	begun      bool
	tokens     float64
	refilledAt time.Duration // clock
}

// reset discards the tokens.
func (p *coldPart) reset(now time.Duration) {
	p.granted = coldBucket{begun: true, refilledAt: now}
	p.sent = p.granted
}

// refill adds the tokens since the last refill to b and returns those that it has.
func (p *coldPart) refill(b *coldBucket, now time.Duration) float64 {
	if !b.begun {
		*b = coldBucket{begun: true, refilledAt: now}
	}
	b.tokens = min(p.burst, b.tokens+(now-b.refilledAt).Seconds()*p.rateAt(now))
	b.refilledAt = now
	return b.tokens
}

func (p *coldPart) rateAt(now time.Duration) float64 {
	if now < p.startupUntil {
		return p.startupRate
	}
	return p.rate
}

// wait returns the time until a request may be granted; math.MaxInt64 if none will be.
func (p *coldPart) wait(now time.Duration) time.Duration {
	tokens := p.refill(&p.granted, now)
	if p.burst < 1 {
		return math.MaxInt64
	}
	if tokens >= 1 {
		return 0
	}
	return max(1, time.Duration(math.Ceil((1-tokens)/p.rateAt(now)*float64(time.Second))))
}

// grant takes the token of a request that is granted.
func (p *coldPart) grant(now time.Duration) {
	p.refill(&p.granted, now)
	p.granted.tokens--
}

// sendWait returns the time until a request that was granted may be sent: 0 unless too many
// were sent recently.
func (p *coldPart) sendWait(now time.Duration) time.Duration {
	missing := 1 - p.rateAt(now)*p.jitter.Seconds() - p.refill(&p.sent, now)
	if missing <= 0 {
		return 0
	}
	if p.burst < 1 {
		return maxColdWait
	}
	return max(1, time.Duration(math.Ceil(missing/p.rateAt(now)*float64(time.Second))))
}

// send takes the token of a request that is sent.
func (p *coldPart) send(now time.Duration) {
	p.refill(&p.sent, now)
	p.sent.tokens--
}

// parts divides what may be sent to a cold endpoint in a second: the number of requests that
// may be sent at once, and the rate of the others.
func (t ColdTolerance) parts(rate float64) (burst, rest float64) {
	sendable := coldSendShare * t.bound(rate)
	burst = max(1, math.Floor(coldBurstShare*sendable))
	return burst, max(sendable-burst, min(rate, slowRate))
}

// users returns the number of entries, of n, that may send requests to a cold endpoint.
func (t ColdTolerance) users(rate float64, n int) int {
	burst, _ := t.parts(rate)
	return min(max(n, 1), int(burst))
}

// shareCold sets this entry's part of what may be sent to e while it is cold. Endpoints of
// other cells are left to the entries there.
func (t *Table) shareCold(e *endpoint) {
	p := &e.cold.part
	p.rate, p.startupRate, p.burst = 0, 0, 0
	p.startupUntil = t.cold.since + coldStartup
	entries := t.coldUsers()
	users := t.cold.tolerance.users(e.cold.rate.Rate, len(entries))
	if e.OtherCell || t.rankAmong(e, entries) >= users {
		return
	}
	burst, rest := t.cold.tolerance.parts(e.cold.rate.Rate)
	p.burst = burst / float64(users)
	p.rate = rest / float64(users)
	p.startupRate = min(p.rate, rest/coldStartupEntries)
	if p.jitter = maxColdJitter; rest <= slowRate {
		p.jitter = 0
	}
}
