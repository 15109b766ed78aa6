package origin

import (
	"slices"
	"sync"
	"time"

	"dandelionrelay/boottime"
)

// History remembers which versions of each deployment could begin streams, and where each
// route led. From it follows where a stream began that no one has recorded, if there was
// only one possibility. It is safe for concurrent use.
type History struct {
	clock boottime.Clock

	mu     sync.Mutex
	since  time.Duration            // clock from which on all versions listed are known; 0: none
	listed map[Origin]bool          // versions that are listed
	ended  map[Origin]time.Duration // versions that are no longer listed, and when they last were
	routes map[string]target        // by route ID
}

// target is where a route leads.
type target struct {
	deployments []string // sorted
	since       time.Duration
	maxAge      time.Duration // the longest that any configuration has allowed
}

// NewHistory returns an empty History.
func NewHistory(clock boottime.Clock) *History {
	return &History{clock: clock, listed: make(map[Origin]bool), ended: make(map[Origin]time.Duration), routes: make(map[string]target)}
}

// Listing is a change of the list of endpoints.
type Listing struct {
	Listed  []Origin // of the endpoints that are listed now
	Removed []Origin // of endpoints that were listed since the last Listing, however briefly
	Gap     bool     // endpoints may have been listed in between that are in neither
}

// SetListed applies a change of the list of endpoints.
func (h *History) SetListed(l Listing) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if h.since == 0 || l.Gap {
		h.since = now
	}
	for o := range h.listed {
		h.ended[o] = now
	}
	for _, o := range l.Removed {
		h.ended[o] = now
	}
	h.listed = make(map[Origin]bool, len(l.Listed))
	for _, o := range l.Listed {
		h.listed[o] = true
		delete(h.ended, o)
	}
	for o, at := range h.ended {
		if now-at > memory {
			delete(h.ended, o)
		}
	}
}

// Route says to which deployments a route leads.
type Route struct {
	ID          string
	Deployments []string
	MaxAge      time.Duration // streams are taken up no later than this after they began
}

// SetRoutes replaces the routes.
func (h *History) SetRoutes(routes []Route) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	next := make(map[string]target, len(routes))
	for _, r := range routes {
		deployments := slices.Compact(slices.Sorted(slices.Values(r.Deployments)))
		before, known := h.routes[r.ID]
		t := target{deployments: deployments, since: now, maxAge: max(before.maxAge, r.MaxAge)}
		if known && slices.Equal(before.deployments, deployments) {
			t.since = before.since
		}
		next[r.ID] = t
	}
	h.routes = next
}

// Only returns the only origin that a stream on a route can have that is taken up now: the
// route has led to one deployment, with one version, for its MaxAge. It returns false if
// there were several or the history does not reach that far back.
func (h *History) Only(route string) (Origin, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.routes[route]
	from := h.clock() - r.maxAge
	ageKnown := ok && r.maxAge > 0 && r.maxAge <= memory
	if !ageKnown || len(r.deployments) != 1 || r.since > from || h.since == 0 || h.since > from {
		return Origin{}, false
	}
	var only []Origin
	for o := range h.listed {
		if o.Deployment == r.deployments[0] {
			only = append(only, o)
		}
	}
	for o, at := range h.ended {
		if o.Deployment == r.deployments[0] && at >= from {
			only = append(only, o)
		}
	}
	if len(only) != 1 {
		return Origin{}, false
	}
	return only[0], true
}

// Stored is a History as an entry stores it for entries that start.
type Stored struct {
	Age      time.Duration   `json:"age"` // all versions listed since then are known
	Versions []StoredVersion `json:"versions"`
	Routes   []StoredRoute   `json:"routes"`
}

// StoredVersion is a version that is listed or was.
type StoredVersion struct {
	Origin
	Ended time.Duration `json:"ended"` // time since it was last listed; 0: it is
}

// StoredRoute is where a route leads, and for how long it has.
type StoredRoute struct {
	ID          string        `json:"id"`
	Deployments []string      `json:"deployments"`
	Age         time.Duration `json:"age"`
	MaxAge      time.Duration `json:"max_age"`
}

// Stored returns the history to store; false if the list of endpoints is not known yet.
func (h *History) Stored() (Stored, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.since == 0 {
		return Stored{}, false
	}
	now := h.clock()
	s := Stored{Age: now - h.since}
	for o := range h.listed {
		s.Versions = append(s.Versions, StoredVersion{Origin: o})
	}
	for o, at := range h.ended {
		s.Versions = append(s.Versions, StoredVersion{Origin: o, Ended: max(now-at, 1)})
	}
	for id, r := range h.routes {
		s.Routes = append(s.Routes, StoredRoute{ID: id, Deployments: r.deployments, Age: now - r.since, MaxAge: r.maxAge})
	}
	return s, true
}

// Inherit adds what another entry has stored, at any time before, and the versions that were
// listed since then. What was listed then counts as listed until now.
func (h *History) Inherit(s Stored, since []Origin) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.clock()
	if h.since == 0 || h.since <= now-s.Age {
		return
	}
	h.since = now - s.Age
	for _, v := range s.Versions {
		h.addEnded(v.Origin, now-v.Ended)
	}
	for _, o := range since {
		h.addEnded(o, now)
	}
	for _, stored := range s.Routes {
		r, ok := h.routes[stored.ID]
		if !ok {
			continue
		}
		r.maxAge = max(r.maxAge, stored.MaxAge)
		if slices.Equal(r.deployments, stored.Deployments) {
			r.since = min(r.since, now-stored.Age)
		}
		h.routes[stored.ID] = r
	}
}

// addEnded records that a version was listed until at. The caller holds the lock.
func (h *History) addEnded(o Origin, at time.Duration) {
	if !h.listed[o] {
		h.ended[o] = max(h.ended[o], at)
	}
}
