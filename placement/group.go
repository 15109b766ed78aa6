package placement

import (
	"slices"
	"time"
)

// group is the endpoints of one deployment.
type group struct {
	endpoints []*endpoint
	foreign   []*endpoint
	reference time.Duration // median time between events over the group; 0: unknown
	stale     bool          // reference is to be worked out anew
}

// group returns the endpoints of a deployment. The caller holds the lock.
func (t *Table) group(deployment string) *group {
	g := t.groups[deployment]
	if g == nil {
		g = &group{}
		t.groups[deployment] = g
	}
	return g
}

func (g *group) add(e *endpoint) {
	if e.OtherCell {
		g.foreign = append(g.foreign, e)
		return
	}
	g.endpoints = append(g.endpoints, e)
	g.changed()
}

// own returns the endpoints whose loads are known; where there are none, all.
func (g *group) own() []*endpoint {
	if len(g.endpoints) == 0 {
		return g.foreign
	}
	return g.endpoints
}

// changed notes that the time between events has changed at some endpoint.
func (g *group) changed() { g.stale = true }

// slowness is how many times slower than the group an endpoint is, at least 1.
func (g *group) slowness(e *endpoint) float64 {
	if g.stale {
		g.reference = g.median()
		g.stale = false
	}
	if e.gap <= 0 || g.reference <= 0 || e.gap <= g.reference {
		return 1
	}
	return float64(e.gap) / float64(g.reference)
}

func (g *group) median() time.Duration {
	gaps := make([]time.Duration, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		if e.gap > 0 {
			gaps = append(gaps, e.gap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
