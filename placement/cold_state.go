package placement

import (
	"time"

	"dandelionrelay/quota"
)

// ColdSource is where the time comes from for which an endpoint counts as cold.
type ColdSource int

// The sources.
const (
	ColdUnknown ColdSource = iota // the endpoint has said nothing
	ColdRegistration
	ColdResponse
)

// String returns the name of the source in the log.
func (s ColdSource) String() string { return [...]string{"unknown", "registration", "response"}[s] }

// ColdChange says that an endpoint has become cold or is no longer cold, as far as this
// entry knows.
type ColdChange struct {
	Endpoint  Endpoint
	Cold      bool
	Left      time.Duration // for which it remains cold
	Source    ColdSource
	Malformed bool // the statement can't be used
}

// ColdStats counts decisions about cold endpoints.
type ColdStats struct {
	Granted   uint64 // tokens taken for requests
	Refused   uint64 // failed attempts to take a token
	Malformed uint64 // statements that can't be used
}

// SetColdRates replaces the rates of cold endpoints by deployment, and the tolerance. The
// shared rates are counted in q, which the caller supplies with the counts of other entries.
func (t *Table) SetColdRates(now time.Duration, q *quota.Table, rates map[string]ColdRate, tolerance ColdTolerance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cold.quota == nil {
		t.cold.since = now
		t.cold.responses = make(map[Key]responseStatement)
	}
	t.cold.quota, t.cold.rates, t.cold.tolerance = q, rates, tolerance
	q.SetTolerance(now, quota.Tolerance{Window: time.Second, Excess: max(1, tolerance.Excess) - 1, Slack: tolerance.Slack})
	for _, e := range t.endpoints {
		t.setUpCold(e)
	}
	t.cold.stale = true
	t.updateColdLimits(now)
}

// setUpCold creates, updates or removes the cold state of e after a change of the list or of
// the rates. The caller sets cold.stale.
func (t *Table) setUpCold(e *endpoint) {
	rate, limited := t.cold.rates[e.Deployment]
	if !limited {
		e.cold = nil
		return
	}
	if e.cold == nil {
		e.cold = &coldState{name: coldName(e.Endpoint), respondedAt: -coldNoticeHold}
		if s := e.coldStated; s != nil && !s.Malformed {
			e.cold.known, e.cold.until, e.cold.source = true, s.until, ColdRegistration
		}
		if h, ok := t.cold.responses[e.key]; ok {
			e.cold.respondedAt = h.at
			if h.until > e.cold.until {
				e.cold.until, e.cold.source = h.until, ColdResponse
			}
		}
	}
	e.cold.rate = rate
	t.shareCold(e)
}

// updateColdLimits sets the limits of the listed endpoints in the shared rates.
func (t *Table) updateColdLimits(now time.Duration) {
	if !t.cold.stale {
		return
	}
	t.cold.stale = false
	limits := make(map[string]quota.Limit)
	for _, e := range t.endpoints {
		if e.cold != nil {
			limits[e.cold.name] = t.coldLimit(e.cold)
		}
	}
	t.cold.quota.SetLimits(now, limits)
}

// coldLimit returns the limit of an endpoint in the shared rates.
func (t *Table) coldLimit(c *coldState) quota.Limit {
	burst, _ := t.cold.tolerance.parts(c.rate.Rate)
	return quota.Limit{Rate: c.rate.Rate, Burst: burst}
}

// SetColdShare sets the share of the shared rates that this entry may use. An entry without
// contact to others uses the part of one user, the largest over all deployments, as the
// table has one share for all.
func (t *Table) SetColdShare(s quota.Share) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cold.quota == nil {
		return
	}
	for _, rate := range t.cold.rates {
		s.Own = max(s.Own, 1/float64(t.cold.tolerance.users(rate.Rate, len(t.coldUsers()))))
	}
	s.Observed = max(s.Observed, s.Own)
	t.cold.quota.SetShare(s)
}

// StateCold applies what registrations that were read at now say of their endpoints. It
// returns the changes, also of endpoints of which nothing is known and which count as cold
// from now on.
func (t *Table) StateCold(now time.Duration, statements map[Key]ColdNotice) []ColdChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireColdEntries(now)
	var changes []ColdChange
	for key, n := range statements {
		e := t.endpoints[key]
		if e == nil || !n.Given {
			continue
		}
		if n.Malformed {
			t.cold.stats.Malformed++
		}
		e.coldStated = &coldStatement{ColdNotice: n, until: now + n.Left}
		if e.cold != nil && t.applyCold(now, e, n, false) {
			changes = append(changes, e.coldChange(now, n))
		}
	}
	if len(t.cold.rates) == 0 {
		return nil
	}
	t.updateColdLimits(now)
	for _, e := range t.endpoints {
		if e.cold != nil && !e.cold.known && e.cold.active(now) {
			changes = append(changes, e.coldChange(now, ColdNotice{}))
		}
	}
	return changes
}

// coldChange describes the state of e after the notice n.
func (e *endpoint) coldChange(now time.Duration, n ColdNotice) ColdChange {
	return ColdChange{Endpoint: e.Endpoint, Cold: e.cold.active(now), Left: max(0, e.cold.until-now), Source: e.cold.source, Malformed: n.Malformed}
}

// applyCold applies a statement of e that arrived at now, in a response or a registration.
// It reports whether e has become cold or is no longer cold.
func (t *Table) applyCold(now time.Duration, e *endpoint, n ColdNotice, response bool) bool {
	c := e.cold
	until := now + n.Left
	if n.Malformed {
		until = now + c.rate.Time
	}
	repeated := n.Malformed && c.malformed
	c.malformed = n.Malformed
	if repeated {
		return false // the time counts from the first such statement
	}
	if response {
		c.respondedAt = now
		t.recordResponse(now, e.key, until)
	} else if now-c.respondedAt < coldNoticeHold && until < c.until {
		return false // the registration may be older than the response
	}
	c.source = ColdRegistration
	if response {
		c.source = ColdResponse
	}
	wasKnown, wasCold := c.known, c.known && now < c.until
	c.setUntil(now, until)
	isCold := now < until
	return isCold != wasCold || isCold && !wasKnown
}

// recordResponse records a statement in a response, so that it holds for the incarnation
// also after it was not listed for a while.
func (t *Table) recordResponse(now time.Duration, key Key, until time.Duration) {
	for other, h := range t.cold.responses {
		if now-h.at > coldNoticeHold && now > h.until {
			delete(t.cold.responses, other)
		}
	}
	t.cold.responses[key] = responseStatement{until: until, at: now}
}

// observeCold applies what e says in a response at now of how long it remains cold. It
// reports whether that is a change.
func (t *Table) observeCold(e *endpoint, now time.Duration, n ColdNotice) bool {
	if !n.Given || e.cold == nil {
		return false
	}
	if n.Malformed {
		t.cold.stats.Malformed++
	}
	return t.applyCold(now, e, n, true)
}

// EndedCold returns the listed endpoints that were cold and whose time is over at now without
// a statement that they are no longer cold. Each end is returned once.
func (t *Table) EndedCold(now time.Duration) []ColdChange {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ended []ColdChange
	for _, e := range t.endpoints {
		if e.cold != nil && e.cold.counted && !e.cold.active(now) {
			e.cold.counted = false
			ended = append(ended, e.coldChange(now, ColdNotice{}))
		}
	}
	return ended
}

// ColdEndpoints returns the number of listed endpoints that are cold at now.
func (t *Table) ColdEndpoints(now time.Duration) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, e := range t.endpoints {
		if e.isCold(now) {
			n++
		}
	}
	return n
}

// ColdStats returns the counts so far.
func (t *Table) ColdStats() ColdStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cold.stats
}
