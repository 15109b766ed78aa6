package gateway

import "time"

// Ready reports whether the entry accepts requests: it is not leaving, has loaded its
// state, and its configuration is recent enough.
func (g *Gateway) Ready() bool {
	g.mu.Lock()
	leaving := g.leaving
	g.mu.Unlock()
	if leaving || g.Config.Current().Version == 0 {
		return false
	}
	if _, loaded := g.membersFollower.NextOffset(); !loaded {
		return false
	}
	if _, loaded := g.jobsFollower.NextOffset(); !loaded {
		return false
	}
	return g.configRecent()
}

// readyAgeShare is the fraction of the withdrawal bound after which an entry that can't
// confirm its configuration is no longer ready, so that callers use another one.
const readyAgeShare = 0.6

// configRecent reports whether the configuration was confirmed within readyAgeShare of
// the withdrawal bound. It is true if no bound is set.
func (g *Gateway) configRecent() bool {
	bound := time.Duration(g.settings.Load().WithdrawalBound)
	if bound == 0 {
		return true
	}
	return g.configConfirmedWithin(time.Duration(readyAgeShare * float64(bound)))
}

// configConfirmedWithin reports whether the configuration was confirmed less than d ago.
func (g *Gateway) configConfirmedWithin(d time.Duration) bool {
	age, ok := g.ConfigFeed.Age()
	return ok && age < d
}

// Leave starts the shutdown of the entry: it is no longer ready, drains its batch jobs
// and notifies the other entries.
func (g *Gateway) Leave() {
	g.mu.Lock()
	g.leaving = true
	g.mu.Unlock()
	g.jobs.Drain()
	g.node.NotifyChange()
}

// StopAdmitting makes the entry refuse all further calls as not run. Leave has been called
// before.
func (g *Gateway) StopAdmitting() { g.admission.End() }

// Leaving reports whether Leave was called.
func (g *Gateway) Leaving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leaving
}
