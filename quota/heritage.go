package quota

import "time"

const (
	// heritageFor is for how long after its start an entry takes tokens over:
	// the time in which it comes to hear all others.
	heritageFor = 5 * time.Second
	// majority is the share from which an entry knows enough of the others'
	// admissions to hand its levels on.
	majority = 0.5
)

// heritage is what an entry that has started takes over.
type heritage struct {
	levels map[Key]int
	until  time.Duration
}

// Levels returns the tokens that are left of each rate, for entries that start
// later; customers whose bucket is full are left out. What this entry took over
// at its own start a moment ago does not count, so that starts in quick
// succession do not take it over twice. It returns false if this entry hears too
// few others to know.
func (t *Table) Levels(now time.Duration) (map[Key]int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share.at(now) <= majority {
		return nil, false
	}
	levels := make(map[Key]int)
	for key, l := range t.limits {
		if l.Rate <= 0 {
			continue
		}
		b := t.bucket(key)
		t.refill(now, key, b, l)
		left := b.level - b.inherited*t.inherits(now, key, l)
		if left < l.Burst {
			levels[key] = max(0, int(left))
		}
	}
	return levels, true
}

// InheritLevels takes over the levels that another entry has handed on, at a start of
// this one. Tokens come in as this entry finds the others that share them.
func (t *Table) InheritLevels(now time.Duration, levels map[Key]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.heritage = &heritage{levels: levels, until: now + heritageFor}
}

// inherits returns how many tokens of a customer all entries together take over
// from the heritage.
// What was handed on may be older than the newest admissions, so it is bounded by
// what the operator tolerates beyond the rate.
func (t *Table) inherits(now time.Duration, key Key, l Limit) float64 {
	if t.heritage == nil || now > t.heritage.until {
		return 0
	}
	tokens := l.Burst
	if level, ok := t.heritage.levels[key]; ok {
		tokens = float64(level)
	}
	return min(tokens, t.tolerance.outdated(l))
}
