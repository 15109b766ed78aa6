package placement

import "time"

// Known is what the table knew of a deployment's load when it decided on a batch item, for
// logs and metrics.
type Known struct {
	Phase   string        // "none" without a wave, else "trough" or "peak"
	LowLeft time.Duration // expected rest of the trough
	Online  int           // requests at the endpoints
	Highest int           // the most of them within waveWindow
	Slots   int
	Batch   int // items at the endpoints
}

// known returns what the table knows of a deployment's load.
func (t *Table) known(deployment string) Known {
	k := Known{Phase: "none"}
	k.Slots, k.Batch = t.group(deployment).batchLoad()
	w := t.waves[deployment]
	if w == nil {
		return k
	}
	k.Online, k.Highest = w.level, w.highest
	if w.known(t.clock) {
		k.LowLeft = w.lowLeft(t.clock)
		k.Phase = "peak"
		if w.low {
			k.Phase = "trough"
		}
	}
	return k
}

// KnownAtStart returns what was known when the item of g was placed.
func (g *Grant) KnownAtStart() Known { return g.knownAtStart }

// Preempted reports whether the table has preempted the item of g, and what was known then.
func (g *Grant) Preempted() (Known, bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.knownAtPreemption, g.preempting
}
