package placement

import "time"

// Notice is what an endpoint says of itself in a response.
type Notice struct {
	Limited bool    // it takes no more than Limit
	Limit   float64 // requests a second from all entries together
	Leaving bool    // it shuts down
	Cold    ColdNotice
}

// NoticeChange says what a notice has changed.
type NoticeChange struct {
	Limit   bool // a limit has begun or ended
	Leaving bool // the endpoint gets no further requests from this entry
	Cold    bool // the endpoint has become cold or is no longer cold
}

// leavingTTL is how long a notice of leaving is remembered after it was last given. By
// then the endpoint is gone.
const leavingTTL = 10 * time.Minute

// Observe applies what the endpoint of the grant says of itself in a response at now.
func (g *Grant) Observe(now time.Duration, n Notice) NoticeChange {
	t, e := g.table, g.state
	t.mu.Lock()
	defer t.mu.Unlock()
	e.heardAt = now
	t.observeRamp(g, now)
	return NoticeChange{Limit: t.observeLimit(e, now, n), Leaving: n.Leaving && t.observeLeaving(e, now), Cold: t.observeCold(e, now, n.Cold)}
}

// HeardSince reports whether an endpoint has sent this entry the header of a response, or the
// end of one, at or after since.
func (t *Table) HeardSince(k Key, since time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[k]
	return e != nil && e.heardAt != 0 && e.heardAt >= since
}

// Leaving reports whether an endpoint has said that it is leaving, in its registration or in a
// response.
func (t *Table) Leaving(k Key) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, said := t.leaving[k]
	e := t.endpoints[k]
	return said || e != nil && e.Draining
}

// Suspend suspends an endpoint that fell silent, unless it is suspended already.
func (t *Table) Suspend(k Key, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpoints[k]; e != nil && now >= e.suspendedUntil {
		e.suspend(now)
	}
}

// observeLeaving records that e says at now that it is leaving. It is not revoked, as an
// incarnation that leaves does not come back, whatever a registration says that is older
// or that this entry reads later. It reports whether that is new.
func (t *Table) observeLeaving(e *endpoint, now time.Duration) bool {
	for key, at := range t.leaving {
		if now-at > leavingTTL {
			delete(t.leaving, key)
		}
	}
	t.leaving[e.key] = now
	known := e.leaving
	e.leaving = true
	return !known
}
