package placement

import (
	"math"
	"slices"
	"time"
)

// Parameters of waves.
const (
	// waveWindow is the time over which the extremes of the online load are taken. It
	// holds two periods of waves of up to 6 s.
	waveWindow = 12 * time.Second
	// waveBucket is the resolution of the recorded load.
	waveBucket = 200 * time.Millisecond
	// minSwing is the smallest difference between the extremes that counts as a wave, in
	// standard deviations of the number of requests that run at once when they arrive at
	// random at a constant rate. Over waveWindow these stay within 6.
	minSwing = 8
	// waveOverrun is the multiple of the last low phase after which a low phase is not
	// taken for one of the wave any more.
	waveOverrun = 1.5
	// phaseHysteresis is the distance from the middle between the extremes at which the
	// phase changes, as a share of their difference.
	phaseHysteresis = 0.1
	// maxPhases is the number of past phases of each kind that are kept.
	maxPhases = 3
)

// wave records the online load of a deployment over waveWindow and recognizes a load that
// alternates between a high and a low phase. Its other methods are meaningful only while
// known returns true. It is meant for a load whose peaks need slots that batch items use in
// between. Times are readings of the entry's clock.
type wave struct {
	buckets [waveWindow / waveBucket]loadRange
	newest  int64 // number of the newest bucket since clock 0; 0: none
	level   int   // newest load
	low     bool  // the present phase
	since   time.Duration
	lows    []time.Duration // lengths of the last complete low phases
	highs   []time.Duration
	// Extremes and mean of the load over the window.
	lowest, highest int
	mean            float64
}

// loadRange holds the extremes of the load in a bucket.
type loadRange struct {
	set             bool
	lowest, highest int
}

// observe records the online load at now.
func (w *wave) observe(now time.Duration, level int) {
	w.level = level
	number := int64(now/waveBucket) + 1
	if number-w.newest > int64(len(w.buckets)) {
		*w = wave{level: level, newest: number, since: now}
	}
	for ; w.newest < number; w.newest++ {
		w.buckets[(w.newest+1)%int64(len(w.buckets))] = loadRange{}
	}
	b := &w.buckets[number%int64(len(w.buckets))]
	fresh := !b.set
	if fresh {
		*b = loadRange{set: true, lowest: level, highest: level}
	}
	b.lowest, b.highest = min(b.lowest, level), max(b.highest, level)
	if fresh || level < w.lowest || level > w.highest {
		w.summarize()
	}
	w.updatePhase(now)
}

// summarize computes the extremes and the mean over the window.
func (w *wave) summarize() {
	n, sum := 0, 0
	w.lowest, w.highest = math.MaxInt, 0
	for _, b := range w.buckets {
		if b.set {
			n++
			sum += b.lowest + b.highest
			w.lowest, w.highest = min(w.lowest, b.lowest), max(w.highest, b.highest)
		}
	}
	w.mean = float64(sum) / float64(2*n)
}

// updatePhase begins the other phase when the load has crossed the middle between the
// extremes by phaseHysteresis.
func (w *wave) updatePhase(now time.Duration) {
	if !w.swings() {
		w.lows, w.highs, w.since = nil, nil, now
		w.low = false
		return
	}
	switch {
	case w.low && w.height() > 0.5+phaseHysteresis:
		w.lows = appendPhase(w.lows, now-w.since)
	case !w.low && w.height() < 0.5-phaseHysteresis:
		w.highs = appendPhase(w.highs, now-w.since)
	default:
		return
	}
	w.low, w.since = !w.low, now
}

func appendPhase(list []time.Duration, d time.Duration) []time.Duration {
	list = append(list, d)
	return list[max(0, len(list)-maxPhases):]
}

// swings reports whether the load varies by more than a constant rate explains.
func (w *wave) swings() bool {
	return float64(w.highest-w.lowest) > minSwing*math.Sqrt(max(w.mean, 1))
}

// known reports whether the load at now is that of a wave of which a low phase was seen.
func (w *wave) known(now time.Duration) bool {
	if !w.swings() || len(w.lows) == 0 {
		return false
	}
	return !w.low || now-w.since < time.Duration(waveOverrun*float64(w.lowLength()))
}

// lowLength returns the length of a low phase: the mean of the last ones.
func (w *wave) lowLength() time.Duration { return meanDuration(w.lows) }

// highLength returns the length of a high phase.
func (w *wave) highLength() time.Duration { return meanDuration(w.highs) }

// period returns the length of a wave.
func (w *wave) period() time.Duration { return w.lowLength() + w.highLength() }

// lowLeft returns the time until the low phase at now is expected to end; 0 in a high phase.
func (w *wave) lowLeft(now time.Duration) time.Duration {
	if w.falling(now) {
		return w.lowLength()
	}
	if !w.low {
		return 0
	}
	return max(0, w.lowLength()-(now-w.since))
}

// height returns where the load stands between the trough (0) and the peak (1).
func (w *wave) height() float64 {
	return float64(w.level-w.lowest) / float64(max(w.highest-w.lowest, 1))
}

// falling reports whether the load has left the peak for the trough.
func (w *wave) falling(now time.Duration) bool {
	return !w.low && w.height() < fallHeight && now-w.since > w.highLength()/2
}

// rising reports whether the load has left the trough for the peak, where it still rises for
// the time settle after its middle.
func (w *wave) rising(now, settle time.Duration) bool {
	return w.low && w.height() > riseHeight || !w.low && now-w.since < settle
}

func meanDuration(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	var sum time.Duration
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// loadInterval is the minimum interval between two readings of the load.
const loadInterval = 20 * time.Millisecond

// Observe records the online load at now, for the decisions on batch items.
func (t *Table) Observe(now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observeLoad(now)
}

// observeLoad records the online load of each deployment, unless it did so less than
// loadInterval ago.
func (t *Table) observeLoad(now time.Duration) {
	if now >= t.clock && now < t.clock+loadInterval {
		return
	}
	t.clock = now
	for name, g := range t.groups {
		w := t.waves[name]
		if w == nil {
			w = &wave{}
			t.waves[name] = w
		}
		online := 0
		for _, e := range g.endpoints {
			online += e.online()
		}
		w.observe(now, online)
	}
	for name := range t.waves {
		if t.groups[name] == nil {
			delete(t.waves, name)
		}
	}
}

// copy returns a copy that shares nothing with w.
func (w *wave) copy() *wave {
	c := *w
	c.lows, c.highs = slices.Clone(w.lows), slices.Clone(w.highs)
	return &c
}
