package placement

import (
	"math"
	"strconv"
	"time"

	"dandelionrelay/quota"
)

// An endpoint is cold for some time after its start, or later. While it is cold, it
// tolerates a limited number of requests a second over all entries, and crashes well above
// it. Two limits apply to each request that an entry sends there:
//   - the shared rate, counted by quota.Table with the admissions of other entries;
//   - the entry's own part of the bound that must hold without contact, see coldPart.

// ColdRate limits the requests to each endpoint of a deployment while it is cold.
type ColdRate struct {
	Rate float64       // requests a second that it tolerates, over all entries
	Time time.Duration // for which it counts as cold if it is not known how long it is
}

// ColdTolerance bounds the requests to a cold endpoint in any second:
// Rate x Excess + Slack.
type ColdTolerance struct {
	Excess float64 // at least 1
	Slack  float64 // requests
}

// bound returns the largest number of requests in a second.
func (t ColdTolerance) bound(rate float64) float64 { return max(1, t.Excess)*rate + t.Slack }

// ColdNotice is what an endpoint says of how long it remains cold.
type ColdNotice struct {
	Given     bool
	Malformed bool          // the value can't be used: cold for the whole ColdRate.Time
	Left      time.Duration // 0: it is not cold
}

const (
	// coldNoticeHold is the time after a response for which an older statement of a
	// registration may still arrive. Within it registrations don't shorten the time.
	coldNoticeHold = 2 * time.Second
	// maxColdWait bounds the time for which the shared rate is not asked again, as tokens
	// may be due earlier once entries are back in contact.
	maxColdWait = time.Second
	// minColdWait bounds how often the shared rate is asked.
	minColdWait = 5 * time.Millisecond
)

// coldLimits are the limits on cold endpoints of all deployments.
type coldLimits struct {
	quota     *quota.Table        // shared rates by endpoint; nil: no deployment has a cold rate
	rates     map[string]ColdRate // by deployment
	tolerance ColdTolerance
	since     time.Duration             // clock when rates were first set
	stale     bool                      // the limits in quota are not those of the listed endpoints
	responses map[Key]responseStatement // what endpoints said in responses, also of those that are not listed
	entries   coldEntries
	stats     ColdStats // so far
}

// responseStatement is the last statement of an endpoint in a response.
type responseStatement struct {
	until time.Duration
	at    time.Duration // clock at its receipt
}

// coldStatement is the last statement of a registration about its endpoint.
type coldStatement struct {
	ColdNotice
	until time.Duration // unless malformed
}

// coldState is the state of an endpoint whose deployment has a cold rate. Times are
// readings of the entry's clock.
type coldState struct {
	name         string // in coldLimits.quota
	rate         ColdRate
	known        bool          // until is set
	until        time.Duration // it is cold before
	malformed    bool          // the last statement can't be used
	respondedAt  time.Duration // of the last statement in a response; long before the start: none
	source       ColdSource    // of until
	counted      bool          // it has counted as cold, and EndedCold has not returned it since
	refusedUntil time.Duration // the shared rate has no token for this entry before
	part         coldPart
}

// active reports whether the endpoint is cold at now. If that is not known, what a response
// said before it was listed holds as far as it is cold then; otherwise it counts as cold for
// the whole time from now on.
func (c *coldState) active(now time.Duration) bool {
	if !c.known && now < c.until {
		c.setUntil(now, c.until)
	} else if !c.known {
		c.source = ColdUnknown
		c.setUntil(now, now+c.rate.Time)
	}
	c.counted = c.counted || now < c.until
	return now < c.until
}

// setUntil sets the time until which the endpoint is cold. One that becomes cold gets no
// tokens of earlier times.
func (c *coldState) setUntil(now, until time.Duration) {
	if wasCold := c.known && now < c.until; !wasCold {
		c.part.reset(now)
		c.refusedUntil = 0
	}
	c.known, c.until, c.counted = true, until, now < until
}

// wait returns the time until this entry may send a request to the endpoint; 0 if it is
// not cold. It is math.MaxInt64 if the entry has no part of the limit.
func (c *coldState) wait(now time.Duration) time.Duration {
	if !c.active(now) {
		return 0
	}
	return max(c.part.wait(now), c.refusedUntil-now)
}

// refuse records that the shared rate has no token before the given wait.
func (c *coldState) refuse(now, wait time.Duration) {
	c.refusedUntil = now + min(max(wait, minColdWait), maxColdWait)
}

// allows reports whether this entry may send a request to the endpoint as far as it is cold.
func (c *coldState) allows(now time.Duration, req Request) bool {
	return c.wait(now) == 0 && !(req.warmOnly && c.active(now))
}

// coldWait returns the time until this entry may send a request to e as far as e is cold.
func (e *endpoint) coldWait(now time.Duration) time.Duration {
	if e.cold == nil {
		return 0
	}
	return e.cold.wait(now)
}

// isCold reports whether e is cold at now.
func (e *endpoint) isCold(now time.Duration) bool { return e.cold != nil && e.cold.active(now) }

// takeColdToken takes a token for a request to e if e is cold. If it returns false, e is
// not eligible before a token is due.
func (t *Table) takeColdToken(now time.Duration, e *endpoint) bool {
	if !e.isCold(now) {
		return true
	}
	c := e.cold
	if c.wait(now) > 0 {
		t.cold.stats.Refused++
		return false
	}
	t.updateColdLimits(now)
	if d := t.cold.quota.Admit(now, c.name); !d.Admitted {
		c.refuse(now, d.Wait)
		t.cold.stats.Refused++
		return false
	}
	c.part.grant(now)
	t.cold.stats.Granted++
	return true
}

// TakeSendToken takes the tokens for sending the request to the grant's endpoint at now, and
// returns false if there are none. It is called once, right before the request is sent: the
// endpoint may have become cold since the grant, and requests that were held up must not
// reach a cold endpoint together.
func (g *Grant) TakeSendToken(now time.Duration) bool {
	if !g.coldLimited {
		return true
	}
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	e := g.state
	if !e.isCold(now) {
		return true
	}
	if !g.coldToken && !t.takeColdToken(now, e) {
		return false
	}
	c := e.cold
	if wait := c.part.sendWait(now); wait > 0 {
		// Placement skips the endpoint until then, also for the same request.
		c.refusedUntil = max(c.refusedUntil, now+wait)
		return false
	}
	c.part.send(now)
	return true
}

// coldRetryAfter returns the time until this entry may send a request to one of the
// endpoints that are only held back as they are cold, and whether there is one. If this
// entry has no part of their limits, it is the time until a token is due at any entry.
func (t *Table) coldRetryAfter(now time.Duration, req Request) (time.Duration, bool) {
	shortest := time.Duration(math.MaxInt64)
	found := false
	if t.cold.quota == nil {
		return 0, false
	}
	group := t.group(req.Deployment)
	for _, candidates := range [][]*endpoint{group.endpoints, group.otherCell} {
		for _, e := range candidates {
			wait := e.coldWait(now)
			if wait == 0 || !e.usable(req) || e.limitWait(now) > 0 {
				continue
			}
			if wait == math.MaxInt64 {
				wait = min(e.cold.until-now, time.Duration(float64(time.Second)/e.cold.rate.Rate))
			}
			shortest, found = min(shortest, wait), true
		}
	}
	return shortest, found
}

// allCold reports whether all endpoints that may be chosen for a request are cold.
func allCold(now time.Duration, endpoints []*endpoint, req Request) bool {
	for _, e := range endpoints {
		if e.usable(req) && !e.isCold(now) {
			return false
		}
	}
	return true
}

// coldName returns the name of an endpoint in the shared rates. It is that of one
// incarnation.
func coldName(e Endpoint) string {
	return "cold endpoint " + e.ID + " " + strconv.FormatInt(e.StartMs, 10)
}
