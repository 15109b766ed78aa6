package placement

import (
	"strconv"
	"time"

	"dandelionrelay/membership"
)

// An endpoint may name in its responses the number of requests a second that it takes from
// all entries together. Each of its users, a few entries chosen by rendezvous hashing,
// takes an equal part of the limit. No exchange between entries is needed, so the sum
// stays within the limit under any partition.

const (
	// extraUsers is the number of users of a limited endpoint beyond its limit in requests
	// a second.
	extraUsers = 3
	// burstDuration is the time for which unused parts of a limit are kept, so that waves
	// of requests may use them, and extraBurst the number of requests beyond that.
	burstDuration = 1500 * time.Millisecond
	extraBurst    = 3
	// limitTTL is how long a limit holds without a response that confirms it. Then one
	// request finds out whether it still does. The entries do so one after the other,
	// probeInterval apart.
	limitTTL      = 20 * time.Second
	probeInterval = 4 * time.Second
)

// requestLimit is the part of an endpoint's limit that this entry may use, as a token
// bucket. Times are readings of the entry's clock.
type requestLimit struct {
	limit      float64 // of the endpoint, in requests a second
	rate       float64 // of this entry, in requests a second; 0: it is not a user
	burst      float64 // of this entry, in requests
	tokens     float64
	refilledAt time.Duration
	expiresAt  time.Duration
}

// refill adds the tokens since the last refill, and one if the limit has expired.
func (l *requestLimit) refill(now time.Duration) {
	l.tokens = min(l.burst, l.tokens+(now-l.refilledAt).Seconds()*l.rate)
	l.refilledAt = now
	if now >= l.expiresAt {
		l.tokens = max(1, l.tokens)
	}
}

// wait returns the time until a request may be sent.
func (l *requestLimit) wait(now time.Duration) time.Duration {
	l.refill(now)
	if l.tokens >= 1 {
		return 0
	}
	wait := l.expiresAt - now
	if l.rate > 0 {
		wait = min(wait, time.Duration((1-l.tokens)/l.rate*float64(time.Second)))
	}
	return wait
}

// SetEntries replaces the names of the entries that use the same endpoints, this entry
// included.
func (t *Table) SetEntries(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entries = names
	for _, e := range t.endpoints {
		if e.limit != nil {
			t.shareLimit(e)
		}
		if e.cold != nil {
			t.shareCold(e)
		}
	}
}

// shareLimit sets this entry's part of the limit of e.
func (t *Table) shareLimit(e *endpoint) {
	l := e.limit
	users := min(max(len(t.entries), 1), int(l.limit)+extraUsers)
	l.rate, l.burst = 0, 0
	if t.entriesAhead(e) < users {
		l.rate = l.limit / float64(users)
		l.burst = (l.limit*burstDuration.Seconds() + extraBurst) / float64(users)
	}
}

// limitDuration returns how long a limit of e holds here without a response.
func (t *Table) limitDuration(e *endpoint) time.Duration {
	return limitTTL + time.Duration(t.entriesAhead(e))*probeInterval
}

// entriesAhead returns the number of entries that come before this one among the possible
// users of e.
func (t *Table) entriesAhead(e *endpoint) int { return t.rank(e, t.entries) }

// rank returns the number of the given entries that come before this one among the possible
// users of e.
func (t *Table) rank(e *endpoint, entries []string) int {
	key := strconv.FormatUint(uint64(e.key), 16)
	own := membership.Score(key, t.self)
	ahead := 0
	for _, name := range entries {
		if name != t.self && membership.Score(key, name) > own {
			ahead++
		}
	}
	return ahead
}

// observeLimit applies what e says of its limit in a response at now, and reports whether
// that begins or ends a limit.
func (t *Table) observeLimit(e *endpoint, now time.Duration, n Notice) bool {
	if !n.Limited {
		ended := e.limit != nil
		e.limit = nil
		return ended
	}
	began := e.limit == nil
	if began {
		e.limit = &requestLimit{tokens: t.random.Float64(), refilledAt: now, expiresAt: now + limitTTL}
	}
	e.limit.refill(now)
	e.limit.limit = n.Limit
	t.shareLimit(e)
	e.limit.expiresAt = now + t.limitDuration(e)
	return began
}

// LimitShare returns this entry's part of the limit of the grant's endpoint, in requests a
// second; 0 without a limit.
func (g *Grant) LimitShare() float64 {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if g.state.limit == nil {
		return 0
	}
	return g.state.limit.rate
}

// limitWait returns the time until the limit of e lets this entry send a request there; 0
// without a limit.
func (e *endpoint) limitWait(now time.Duration) time.Duration {
	if e.limit == nil {
		return 0
	}
	return e.limit.wait(now)
}

// takeToken charges a request at now to the limit of e.
func (t *Table) takeToken(e *endpoint, now time.Duration) {
	if e.limit == nil {
		return
	}
	e.limit.refill(now)
	e.limit.tokens--
	e.limit.expiresAt = max(e.limit.expiresAt, now+t.limitDuration(e))
}

// limitRetryAfter returns the time until the limits of eligible endpoints of a deployment
// let this entry send a request; 0 if no endpoint is only held back by its limit.
func (t *Table) limitRetryAfter(now time.Duration, req Request) time.Duration {
	var shortest time.Duration
	group := t.group(req.Deployment)
	for _, candidates := range [][]*endpoint{group.endpoints, group.otherCell} {
		for _, e := range candidates {
			if wait := e.limitWait(now); e.usable(req) && wait > 0 && (shortest == 0 || wait < shortest) {
				shortest = wait
			}
		}
	}
	return shortest
}

// allLimited reports whether all endpoints have limits.
func allLimited(endpoints []*endpoint) bool {
	for _, e := range endpoints {
		if e.limit == nil {
			return false
		}
	}
	return true
}
