package placement

import "time"

// BatchLoad is the load of a deployment, as the table knew it when it decided on a batch
// item, for logs and metrics.
type BatchLoad struct {
	Phase   string        // "none" without a wave, else "trough" or "peak"
	LowLeft time.Duration // expected rest of the trough
	Online  int           // requests at the endpoints
	Highest int           // the most of them within waveWindow
	Slots   int
	Batch   int // items at the endpoints
}

// loadOf returns the load of a deployment.
func (t *Table) loadOf(deployment string) BatchLoad {
	k := BatchLoad{Phase: "none"}
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

// LoadAtStart returns the load when the item of g was placed.
func (g *Grant) LoadAtStart() BatchLoad { return g.loadAtStart }

// Preempted reports whether the table has preempted the item of g, and what was known then.
func (g *Grant) Preempted() (BatchLoad, bool) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.loadAtPreemption, g.preempting
}
