package placement

// Endpoints that respond with errors respond fast, so that they mostly have free slots
// and would attract the most requests. They are passed over while most of their
// responses are errors, unless no other endpoint is left for an online request. The
// entries that saw the errors report them to the others; of these entries, the one with
// the lowest ID probes the endpoint whenever its suspension ends, with one request at a
// time that may be repeated.
const (
	// errorRateWeight is the weight of a new response in the error rate of an endpoint.
	errorRateWeight = 0.3
	// failingThreshold is the error rate from which an endpoint counts as failing: two
	// errors in a row reach it.
	failingThreshold = 0.5
	// maxFailingShare is the largest share of the endpoints of a deployment that may be
	// excluded as failing: if more fail, the requests are the likely cause.
	maxFailingShare = 0.5
)

// recordResponse updates the error rate of e.
func (e *endpoint) recordResponse(failed bool) {
	outcome := 0.0
	if failed {
		outcome = 1
	}
	e.errorRate += errorRateWeight * (outcome - e.errorRate)
}

// failing reports whether most responses of e to this entry are errors.
func (e *endpoint) failing() bool { return e.errorRate >= failingThreshold }

// excluded reports whether e must not get the request because its responses fail. An
// entry that saw the errors itself may probe e with a request that may be repeated while
// it has no other at e.
func (e *endpoint) excluded(req Request) bool {
	if e.failing() {
		return req.AtMostOnce || e.local != (Load{})
	}
	return e.failingReports > 0
}

// delegateProbe leaves the probes of e, which the peer id reports as failing, to that
// peer if e is also failing here and the peer's ID is lower than this entry's. It resets
// the error rate and the suspension of e: the report of the peer excludes e.
func (t *Table) delegateProbe(id string, e *endpoint) {
	if id < t.self && e.failing() {
		e.errorRate, e.consecutiveFailures, e.suspendedUntil = 0, 0, 0
	}
}

// tooManyFailing reports whether more than maxFailingShare of the endpoints are failing
// here or by the reports of peers, so that none is excluded.
func (g *group) tooManyFailing() bool {
	n := 0
	for _, e := range g.endpoints {
		if e.failing() || e.failingReports > 0 {
			n++
		}
	}
	return float64(n) > maxFailingShare*float64(len(g.endpoints))
}

// FailingEndpoints returns the endpoints most of whose responses to this entry are errors,
// without those that only other entries report.
func (t *Table) FailingEndpoints() []Key {
	t.mu.Lock()
	defer t.mu.Unlock()
	var keys []Key
	for key, e := range t.endpoints {
		if e.failing() {
			keys = append(keys, key)
		}
	}
	return keys
}
