package placement

import (
	"slices"
	"time"
)

// group holds the endpoints of one deployment.
type group struct {
	endpoints   []*endpoint   // with known loads
	otherCell   []*endpoint   // see Endpoint.OtherCell
	medianGap   time.Duration // median of the known event gaps of endpoints; 0: unknown
	medianStale bool          // medianGap must be computed again
}

// group returns the group of a deployment and creates it if there is none.
func (t *Table) group(deployment string) *group {
	g := t.groups[deployment]
	if g == nil {
		g = &group{}
		t.groups[deployment] = g
	}
	return g
}

// add adds an endpoint to the group.
func (g *group) add(e *endpoint) {
	if e.OtherCell {
		g.otherCell = append(g.otherCell, e)
		return
	}
	g.endpoints = append(g.endpoints, e)
	g.invalidateMedian()
}

// preferred returns the endpoints with known loads or, if there are none, those of other
// cells.
func (g *group) preferred() []*endpoint {
	if len(g.endpoints) == 0 {
		return g.otherCell
	}
	return g.endpoints
}

// invalidateMedian makes slowness compute the median again. It must be called after the
// event gap of an endpoint has changed.
func (g *group) invalidateMedian() { g.medianStale = true }

// slowness returns the ratio of the event gap of e to the median gap of the group, at
// least 1; it is 1 if either is unknown.
func (g *group) slowness(e *endpoint) float64 {
	typical := g.typicalGap()
	if e.eventGap <= 0 || typical <= 0 || e.eventGap <= typical {
		return 1
	}
	return float64(e.eventGap) / float64(typical)
}

// typicalGap returns the median of the known event gaps; 0: unknown.
func (g *group) typicalGap() time.Duration {
	if g.medianStale {
		g.medianGap = g.median()
		g.medianStale = false
	}
	return g.medianGap
}

// median returns the median of the known event gaps of endpoints, or 0 if there are none.
func (g *group) median() time.Duration {
	gaps := make([]time.Duration, 0, len(g.endpoints))
	for _, e := range g.endpoints {
		if e.eventGap > 0 {
			gaps = append(gaps, e.eventGap)
		}
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[len(gaps)/2]
}
