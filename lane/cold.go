package lane

import (
	"math"
	"time"
)

// maxColdWait bounds the online requests that wait while the endpoint is cold to those
// that may start within it. The others are refused, as another endpoint may serve them
// sooner.
const maxColdWait = time.Second

// coldLimit limits the starts at a cold endpoint, which crashes at rates well above the
// one that it tolerates. It is a token bucket that holds one token, so that the starts of
// any span of a second are at most the rate, rounded up. A pause of the process adds no
// tokens.
type coldLimit struct {
	rate  float64   // starts a second; 0: the endpoint is never cold
	until time.Time // time until which the endpoint is cold
	last  time.Time // time of the last start, or of one that is reserved
}

// interval returns the time in which one token is added, rounded up: 23 intervals that are
// rounded down leave room for a 24th start in a second. Rates below one start an hour count
// as that.
func (c *coldLimit) interval() time.Duration {
	return time.Duration(min(math.Ceil(float64(time.Second)/c.rate), float64(time.Hour)))
}

// active reports whether the endpoint is cold.
func (c *coldLimit) active(now time.Time) bool { return c.rate > 0 && now.Before(c.until) }

// due returns the earliest time of the next start: now unless the endpoint is cold.
func (c *coldLimit) due(now time.Time) time.Time {
	if !c.active(now) {
		return now
	}
	at := c.last.Add(c.interval())
	if at.After(c.until) {
		at = c.until
	}
	if at.Before(now) {
		return now
	}
	return at
}

// ready reports whether a request or item may start.
func (c *coldLimit) ready(now time.Time) bool { return !c.due(now).After(now) }

// started records a start. Starts of an endpoint that is not cold count too, as it may
// become cold right after them.
func (c *coldLimit) started(now time.Time) {
	if now.After(c.last) {
		c.last = now
	}
}

// SetCold sets the rate at which requests and items may start until a time, in starts a
// second. A rate of 0 means that the endpoint is not cold.
func (q *Queue) SetCold(now time.Time, rate float64, until time.Time) Decision {
	q.resetDecision()
	if !q.cold.active(now) {
		q.cold.started(now) // the bucket starts empty
	}
	q.cold.rate, q.cold.until = rate, until
	return q.decide(now)
}

// Cold reports whether the endpoint is cold.
func (q *Queue) Cold(now time.Time) bool { return q.cold.active(now) }

// ReserveStart takes the next token for a request that is not in the queue, such as a
// health check, and returns how long to wait for it. It takes none and returns false if
// that is longer than most.
func (q *Queue) ReserveStart(now time.Time, most time.Duration) (wait time.Duration, ok bool) {
	at := q.cold.due(now)
	if wait = at.Sub(now); wait > most {
		return wait, false
	}
	q.cold.started(at)
	return wait, true
}

// ColdWait returns how long a new online request waits for its token, once those that
// wait have theirs.
func (q *Queue) ColdWait(now time.Time) time.Duration { return q.coldWait(now, float64(q.fair.size)) }

// coldWait returns the time until a request has its token that comes after the given
// number of others.
func (q *Queue) coldWait(now time.Time, ahead float64) time.Duration {
	if !q.cold.active(now) {
		return 0
	}
	wait := q.cold.due(now).Sub(now) + time.Duration(ahead*float64(q.cold.interval()))
	return min(wait, q.cold.until.Sub(now))
}

// requestsAhead estimates the number of requests that start before w.
func (q *Queue) requestsAhead(w *waitingRequest) float64 {
	if q.fair.waitingCost <= 0 {
		return float64(q.fair.size - 1)
	}
	return q.fair.costAhead(w) / q.fair.waitingCost * float64(q.fair.size)
}

// maxWaiting returns the maximum number of waiting online requests, and the reason for
// which the others are refused.
func (q *Queue) maxWaiting(now time.Time) (int, Reason) {
	if q.cold.active(now) {
		if n := max(1, int(q.cold.rate*maxColdWait.Seconds())); n < q.opts.MaxQueued {
			return n, EndpointCold
		}
	}
	return q.opts.MaxQueued, QueueFull
}

// StartableItems returns how many more items could start within maxColdWait.
func (q *Queue) StartableItems(now time.Time) int {
	n := q.IdleBatchSlots()
	if q.cold.active(now) {
		n = min(n, max(1, int(q.cold.rate*maxColdWait.Seconds()))-len(q.waitingItems))
	}
	return max(0, n)
}

// wakeForToken has Tick called when the next token is due, if a request or item waits for
// it.
func (q *Queue) wakeForToken(now time.Time) {
	if q.cold.ready(now) || q.fair.size+len(q.waitingItems) == 0 {
		return
	}
	if at := q.cold.due(now); q.decision.Wake.IsZero() || at.Before(q.decision.Wake) {
		q.decision.Wake = at
	}
}
