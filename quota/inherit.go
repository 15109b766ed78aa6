package quota

import (
	"math"
	"time"
)

const (
	// inheritPeriod is the time after its start in which an entry adds inherited
	// tokens: within it the entry receives reports of all others.
	inheritPeriod = 5 * time.Second
	// minObservedShare is the share above which an entry knows enough of the others'
	// admissions to publish its levels.
	minObservedShare = 0.5
)

// inheritedLevels are the levels that an entry inherits when it starts.
type inheritedLevels struct {
	levels map[Key]int   // tokens over the whole fleet; customers left out have a full bucket
	until  time.Duration // on the entry's clock; later nothing is added from them
}

// Levels returns the tokens that are left of each customer's burst, for entries
// that start later to inherit; customers whose bucket is full are left out. The number is
// negative for a customer in surge whose bucket is overdrawn, as a restart would cancel its
// debt otherwise; a debt of more than a window's refill has no effect on the bound. Within
// inheritPeriod the tokens that this entry inherited itself are subtracted, so that
// starts in quick succession do not inherit them twice. It returns false if this
// entry receives reports of too few others to know the levels; see minObservedShare.
func (t *Table) Levels(now time.Duration) (map[Key]int, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.share.at(now) <= minObservedShare {
		return nil, false
	}
	levels := make(map[Key]int)
	for key, l := range t.limits {
		if l.Rate <= 0 {
			continue
		}
		b := t.bucket(key)
		t.refill(now, key, b, l)
		remaining := b.level - b.inheritedShare*t.inheritedTokens(now, key, l)
		if remaining < l.Burst {
			levels[key] = int(math.Floor(max(remaining, -l.Rate*t.tolerance.Window.Seconds())))
		}
	}
	return levels, true
}

// InheritLevels sets the levels that another entry published, which this entry reads
// when it starts. Their tokens are added to the buckets as this entry's share grows.
func (t *Table) InheritLevels(now time.Duration, levels map[Key]int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inherited = &inheritedLevels{levels: levels, until: now + inheritPeriod}
}

// inheritedTokens returns how many tokens of a customer all entries together
// inherit. The levels may be older than the latest admissions, so the result is
// bounded by a part of what the operator tolerates beyond the rate.
func (t *Table) inheritedTokens(now time.Duration, key Key, l Limit) float64 {
	if t.inherited == nil || now > t.inherited.until {
		return 0
	}
	tokens := l.Burst
	if level, ok := t.inherited.levels[key]; ok {
		tokens = float64(level)
	}
	return min(tokens, t.tolerance.staleLevels(l))
}
