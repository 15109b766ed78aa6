package placement

import (
	"math"
	"time"
)

// recordRequest adds an online request at now to the sum of recent requests.
func (t *Table) recordRequest(now time.Duration) {
	t.recentRequests = t.recentRequests*math.Exp(-float64(now-t.lastRequestAt)/float64(reportLag)) + 1
	t.requestSum = t.requestSum*math.Exp(-float64(now-t.lastRequestAt)/float64(rateDecay)) + 1
	t.lastRequestAt = now
}

// queueDelay returns the expected wait at e, all of whose slots are taken by online
// requests, beyond the result of estimateWait. All entries compete for the endpoints
// whose estimated wait is within MaxWait and do not know of one another's latest
// placements yet, so each uses only its part of them: with a probability equal to the
// number of such endpoints, divided by the number of entries and by the recent requests
// at this entry, there is no further delay. Otherwise the request is expected to wait
// for one more request.
func (t *Table) queueDelay(now time.Duration, req Request, e *endpoint) time.Duration {
	share := 1 / (float64(len(t.peers)+1) * t.recentRequests)
	if t.random.Float64() < share*float64(t.countAvailable(now, req)) {
		return 0
	}
	return t.serviceTime / time.Duration(max(e.Slots, 1))
}

// countAvailable returns the number of endpoints at which a request would start within
// its MaxWait.
func (t *Table) countAvailable(now time.Duration, req Request) int {
	n := 0
	group := t.group(req.Deployment)
	for _, e := range group.endpoints {
		if !e.eligible(now, req) || now < e.suspendedUntil {
			continue
		}
		if t.estimateWait(e, now, group.slowness(e)) <= req.MaxWait {
			n++
		}
	}
	return n
}

// HasFreeSlot reports whether an online request would start at once at the endpoint of
// this cell that earliestStart chooses. Suspended endpoints and those excluded as
// failing do not count.
func (t *Table) HasFreeSlot(now time.Duration, req Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	req.warmOnly = true // a token is not certain
	best, _ := t.earliestStart(now, req, t.group(req.Deployment).endpoints, true)
	return best != nil && best.online()+best.batch() < best.Slots && now >= best.fullUntil
}

// retryAfter returns the time after which a caller should retry whose expected wait
// exceeds MaxWait by excess. A random part spreads the retries over a service time, so
// that callers refused together do not return together.
func (t *Table) retryAfter(excess time.Duration) time.Duration {
	spread := time.Duration(t.random.Float64() * float64(t.serviceTime))
	return excess + t.serviceTime/4 + spread
}

// selectEndpoint returns the endpoint to use for a request and the expected wait there,
// or nil if none is eligible. Endpoints that are neither suspended nor excluded as
// failing come first, and among those the endpoints of this cell before those of other
// cells.
func (t *Table) selectEndpoint(now time.Duration, req Request) (*endpoint, time.Duration) {
	group := t.group(req.Deployment)
	for _, healthyOnly := range []bool{true, false} {
		for _, candidates := range [][]*endpoint{group.endpoints, group.otherCell} {
			if best, wait := t.earliestStart(now, req, candidates, healthyOnly); best != nil {
				return best, wait
			}
		}
	}
	return nil, 0
}

// earliestStart returns the candidate with the lowest cost and the expected wait there,
// or nil if there is none. The cost is the expected wait plus tieBreak and penalty. With
// healthyOnly, suspended endpoints and those excluded as failing are skipped.
func (t *Table) earliestStart(now time.Duration, req Request, candidates []*endpoint, healthyOnly bool) (*endpoint, time.Duration) {
	var best *endpoint
	var lowest, wait time.Duration
	group := t.group(req.Deployment)
	includeFailing := group.tooManyFailing()
	for _, e := range candidates {
		if !e.eligible(now, req) || healthyOnly && (now < e.suspendedUntil || !includeFailing && e.excluded(req)) {
			continue
		}
		w := t.estimateWait(e, now, group.slowness(e))
		cost := w + t.tieBreak(e) + t.penalty(now, e)
		if best == nil || cost < lowest {
			best, lowest, wait = e, cost, w
		}
	}
	return best, wait
}

// penalty returns what is added to the expected wait at e.
func (t *Table) penalty(now time.Duration, e *endpoint) time.Duration {
	var p time.Duration
	if e.DataCentre != t.dataCentre {
		p += crossDataCentrePenalty
	}
	if !t.withinRamp(e, now) {
		p += rampPenalty
	}
	return p
}

// estimateWait estimates the time until one more online request would start at e.
func (t *Table) estimateWait(e *endpoint, now time.Duration, slowness float64) time.Duration {
	online := e.online()
	running := min(online+e.batch(), e.Slots)
	w := time.Duration(running) * stepTimePerRequest
	switch {
	case online >= e.Slots:
		ahead := online - e.Slots + 1
		w += time.Duration(ahead) * t.serviceTime / time.Duration(max(e.Slots, 1))
	case online+e.batch() >= e.Slots:
		w += preemptionDelay
	}
	if now < e.fullUntil {
		w += t.serviceTime / 2
	}
	return time.Duration(float64(w) * slowness)
}
