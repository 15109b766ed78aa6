package placement

import "time"

// AdoptRamps applies the rounds that a peer reports and that this entry does not know, and
// adds up the growth that all peers report. It is called after SetPeer with the same report.
func (t *Table) AdoptRamps(now time.Duration, reported map[Key]Ramp) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.onRamp == nil {
		return
	}
	for key, r := range reported {
		e := t.endpoints[key]
		if e == nil || e.OtherCell || r.Round < e.rampRound || r.Round == e.rampRound && e.ramp == nil {
			continue
		}
		if r.Round > e.rampRound {
			e.rampRound = r.Round
			e.ramp = &rampState{Ramp: Ramp{Round: r.Round, Base: max(1, r.Base)}, startedAt: now, changedAt: now}
			t.notifyRamp(e, RampAdopted, RampReasonReported)
		}
		e.ramp.Base = min(e.ramp.Base, max(1, r.Base))
		if !e.ramp.complete {
			t.sumGrowth(e, now)
		}
	}
}

// sumGrowth adds up the growth of the ramp of e that peers report for its round.
func (t *Table) sumGrowth(e *endpoint, now time.Duration) {
	sum := 0
	for _, r := range t.peers {
		if ramp, ok := r.Ramps[e.key]; ok && ramp.Round == e.rampRound {
			sum += ramp.Grown
		}
	}
	if sum > e.ramp.peers {
		e.ramp.changedAt = now
	}
	e.ramp.peers = max(sum, e.ramp.peers)
	t.completeIfDone(e)
}

// Ramps returns this entry's part in the ramps of endpoints, for the reports to others, and
// ends those that have expired.
func (t *Table) Ramps(now time.Duration) map[Key]Ramp {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expireRamps(now)
	t.noteStarted(now)
	var ramps map[Key]Ramp
	for key, e := range t.endpoints {
		if e.ramp == nil {
			continue
		}
		if ramps == nil {
			ramps = make(map[Key]Ramp)
		}
		ramps[key] = e.ramp.Ramp
	}
	return ramps
}
