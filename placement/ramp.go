package placement

import (
	"math"
	"slices"
	"time"
)

// An endpoint that has just started, or responds again after failures, has the fewest
// requests and would attract those of all entries at once, before it is known what it can
// take. A ramp bounds its concurrent requests. It begins with a few and grows by one with
// each response that comes in the usual time, so that it doubles with each round of
// responses; a rejection or a slow response halves it. It ends once it allows all slots.
//
// The state of a ramp is shared: the entry that sees a rejection begins a new round, which
// the others adopt, and within a round the growth that each entry reports is added up.
const (
	// initialRamp is the bound at the start of a ramp, in concurrent requests.
	initialRamp = 2
	// rampFailures is the number of consecutive failures at this entry after which an
	// endpoint that responds again begins a ramp. A single failure may be that of a
	// connection.
	rampFailures = 2
	// slowResponseFactor is the multiple of the usual time to the response header, and of
	// the median interval between events, from which an endpoint counts as slow.
	slowResponseFactor = 3
	// rampTTL is the time without a change after which a ramp ends: its endpoint gets no
	// requests.
	rampTTL = 2 * time.Second
	// rampPenalty is the additional wait elsewhere that is accepted before an online
	// request exceeds a ramp, more than othersSlotPenalty and crossDataCentrePenalty
	// together. A request is never refused because of ramps.
	rampPenalty = 100 * time.Millisecond
	// rateDecay is the time constant of the rate of an entry's requests.
	rateDecay = time.Second
)

// Ramp is what an entry reports of the ramp of an endpoint.
type Ramp struct {
	Round uint32 // raised whenever the ramp begins or is reduced; the highest of all entries counts
	Base  int    // bound at the start of the round, in concurrent requests
	Grown int    // growth by responses to the reporting entry in the round
}

// rampState is the state of a ramp at this entry. Its times are readings of the entry's
// clock.
type rampState struct {
	Ramp
	peers     int           // sum of the growth that peers report for the round
	startedAt time.Duration // start of the round, or when this entry learned of it
	changedAt time.Duration // last change of the bound
	complete  bool          // it allows all slots; it is still reported, as others add up what this entry has seen
}

// bound returns the concurrent requests that all entries together may have at the endpoint.
func (r *rampState) bound() int { return r.Base + r.Grown + r.peers }

// RampEvent is a step of a ramp.
type RampEvent string

// The steps of a ramp.
const (
	RampBegun   RampEvent = "begun"
	RampAdopted RampEvent = "adopted" // from the report of another entry
	RampReduced RampEvent = "reduced"
	RampEnded   RampEvent = "ended"
)

// The reasons of the steps.
const (
	RampReasonStarted      = "started"
	RampReasonRecovered    = "recovered"
	RampReasonReported     = "reported by another entry"
	RampReasonRejection    = "rejection"
	RampReasonSlowResponse = "slow response"
	RampReasonSlowEvents   = "slow events"
	RampReasonComplete     = "all slots allowed"
	RampReasonExpired      = "no responses"
)

// RampChange describes a step of the ramp of an endpoint.
type RampChange struct {
	Endpoint Endpoint
	Event    RampEvent
	Bound    int // concurrent requests over all entries after the step
	Round    uint32
	Reason   string
}

// EnableRamps lets endpoints that start or recover from now on begin with a ramp. notify is
// called with the table locked for each step; it must neither block nor call the table.
func (t *Table) EnableRamps(notify func(RampChange)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onRamp = notify
}

// beginRamp begins a ramp at e.
func (t *Table) beginRamp(e *endpoint, now time.Duration, reason string) {
	if t.onRamp == nil || e.Slots <= initialRamp {
		return
	}
	t.startRound(e, now, initialRamp, RampBegun, reason)
}

// startRound begins a new round of the ramp of e with the given bound.
func (t *Table) startRound(e *endpoint, now time.Duration, base int, event RampEvent, reason string) {
	e.rampRound++
	e.ramp = &rampState{Ramp: Ramp{Round: e.rampRound, Base: base}, startedAt: now, changedAt: now}
	t.notifyRamp(e, event, reason)
	t.notify()
}

func (t *Table) notifyRamp(e *endpoint, event RampEvent, reason string) {
	t.onRamp(RampChange{Endpoint: e.Endpoint, Event: event, Bound: min(e.ramp.bound(), e.Slots), Round: e.rampRound, Reason: reason})
}

// completeIfDone completes the ramp of e if it allows all slots.
func (t *Table) completeIfDone(e *endpoint) {
	if e.ramp.complete || e.ramp.bound() < e.Slots {
		return
	}
	e.ramp.complete = true
	t.notifyRamp(e, RampEnded, RampReasonComplete)
}

// expireRamps ends the ramps that have not changed for rampTTL.
func (t *Table) expireRamps(now time.Duration) {
	for _, e := range t.endpoints {
		if e.ramp == nil || now-e.ramp.changedAt < rampTTL {
			continue
		}
		if !e.ramp.complete {
			t.notifyRamp(e, RampEnded, RampReasonExpired)
		}
		e.ramp = nil
	}
}

// ramping reports whether a ramp bounds the requests at e.
func (e *endpoint) ramping() bool { return e.ramp != nil && !e.ramp.complete }

// withinRamp reports whether this entry may send one more request to e at now as far as its
// ramp goes. All entries may, but do not know one another's placements within reportLag: each
// uses what the bound leaves with a probability at which the expected requests of all entries
// in that time fit.
func (t *Table) withinRamp(e *endpoint, now time.Duration) bool {
	if !e.ramping() {
		return true
	}
	free := min(e.ramp.bound(), e.Slots) - e.online() - e.batch()
	if free <= 0 {
		return false
	}
	expected := t.requestRate(now) * reportLag.Seconds() * float64(max(len(t.entries), 1))
	return t.random.Float64()*expected < float64(free)
}

// requestRate returns the online requests a second at this entry, over about rateDecay.
func (t *Table) requestRate(now time.Duration) float64 {
	return t.requestSum * math.Exp(-float64(now-t.lastRequestAt)/float64(rateDecay)) / rateDecay.Seconds()
}

// observeRamp applies the time from a grant to its response header to the ramp of its
// endpoint, or to the usual time without one.
func (t *Table) observeRamp(g *Grant, now time.Duration) {
	if t.onRamp == nil {
		return
	}
	e, took := g.state, now-g.start
	if !e.ramping() {
		if g.Kind == Online {
			t.responseTime = movingAverage(t.responseTime, took)
		}
		return
	}
	if t.responseTime > 0 && took > slowResponseFactor*t.responseTime {
		t.reduceRamp(g, now, RampReasonSlowResponse)
		return
	}
	t.growRamp(g, now)
}

// growRamp raises the bound of the endpoint of g by one.
func (t *Table) growRamp(g *Grant, now time.Duration) {
	e := g.state
	if g.start < e.ramp.startedAt {
		return
	}
	e.ramp.Grown++
	e.ramp.changedAt = now
	t.notify()
	t.completeIfDone(e)
}

// reduceRamp halves the bound of the endpoint of g, unless g began before the present round:
// one overload reduces the bound once, however many requests see it.
func (t *Table) reduceRamp(g *Grant, now time.Duration, reason string) {
	e := g.state
	if !e.ramping() || g.start < e.ramp.startedAt {
		return
	}
	t.startRound(e, now, max(1, min(e.ramp.bound(), e.Slots)/2), RampReduced, reason)
}

// startedEndpoint is an endpoint that has started and whose ramp has not begun.
type startedEndpoint struct {
	*endpoint
	seen   bool          // seenAt is set: the list has no clock
	seenAt time.Duration // clock at the first report or request after it was listed
}

// noteStarted sets the time of the endpoints that have started, and drops those that were
// listed more than rampTTL ago: a ramp would have ended by now.
func (t *Table) noteStarted(now time.Duration) {
	t.started = slices.DeleteFunc(t.started, func(s startedEndpoint) bool { return s.seen && now-s.seenAt > rampTTL })
	for i := range t.started {
		if s := &t.started[i]; !s.seen {
			s.seen, s.seenAt = true, now
		}
	}
}

// beginRamps begins the ramps of the endpoints of this cell that have started. Reports would
// hold those of all endpoints of a large fleet otherwise.
func (t *Table) beginRamps(now time.Duration) {
	if len(t.started) == 0 {
		return
	}
	t.noteStarted(now)
	for _, s := range t.started {
		if s.rampRound == 0 && !s.Draining && !s.OtherCell {
			t.beginRamp(s.endpoint, now, RampReasonStarted)
		}
	}
	t.started = nil
}

// applyResultToRamp applies the result of the request of g at now, and the mean time between
// the events of its response, to the ramp of its endpoint. The failures that came before are
// those that the endpoint has recovered from if the result is Done.
func (t *Table) applyResultToRamp(g *Grant, now time.Duration, result Result, gap time.Duration) {
	e := g.state
	switch {
	case result == Done && e.consecutiveFailures >= rampFailures:
		t.beginRamp(e, now, RampReasonRecovered)
	case result == Full:
		t.reduceRamp(g, now, RampReasonRejection)
	case t.slowEvents(e, gap):
		t.reduceRamp(g, now, RampReasonSlowEvents)
	}
}

// slowEvents reports whether gap, the mean time between events of a response of e, is far
// above what is usual at its deployment. 0 stands for an unknown time.
func (t *Table) slowEvents(e *endpoint, gap time.Duration) bool {
	typical := t.group(e.Deployment).typicalGap()
	return typical > 0 && gap > slowResponseFactor*typical
}
