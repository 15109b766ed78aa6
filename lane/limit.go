package lane

import "time"

// BatchLimit bounds the number of slots that batch items may fill. The zero
// value lets them fill every idle slot.
type BatchLimit struct {
	// ReservedSlots is the number of slots that batch items never fill.
	ReservedSlots int
	// FirstTokenTarget, if set, makes the limit adaptive: it is halved when an
	// online request waits longer than FirstTokenTarget for its first token, and
	// raised by one slot otherwise, at most once per Interval.
	FirstTokenTarget time.Duration
	Interval         time.Duration // 0 means DefaultInterval
}

// DefaultInterval is the default minimum time between two changes of an adaptive
// limit.
const DefaultInterval = time.Second

// limiter applies a BatchLimit.
type limiter struct {
	BatchLimit
	slots        int
	dynamicLimit float64   // in slots; used if FirstTokenTarget is set
	lastAdjusted time.Time // when dynamicLimit was last changed
}

func newLimiter(l BatchLimit, slots int) limiter {
	if l.Interval == 0 {
		l.Interval = DefaultInterval
	}
	return limiter{BatchLimit: l, slots: slots, dynamicLimit: float64(slots)}
}

// observe records an online request's time to the first token.
func (l *limiter) observe(now time.Time, d time.Duration) {
	if l.FirstTokenTarget == 0 {
		return
	}
	elapsed := now.Sub(l.lastAdjusted)
	if elapsed < l.Interval {
		return
	}
	l.lastAdjusted = now
	if d > l.FirstTokenTarget {
		l.dynamicLimit /= 2
		return
	}
	l.dynamicLimit = min(l.dynamicLimit+1, float64(l.slots))
}

// maxItems returns how many items may run beside the given number of online
// requests.
func (l *limiter) maxItems(online int) int {
	n := l.slots - l.ReservedSlots - online
	if l.FirstTokenTarget > 0 {
		n = min(n, int(l.dynamicLimit))
	}
	return max(0, n)
}
