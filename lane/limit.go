package lane

import "time"

// BatchLimit says how many slots batch may fill. The zero value lets it fill
// every idle slot.
type BatchLimit struct {
	// ReservedSlots is the number of slots that stay free of batch.
	ReservedSlots int
	// FirstTokenTarget, if set, steers the limit: batch gives up half of its slots when
	// an online request waits longer than FirstTokenTarget for its first token, and gets
	// one back in every Interval without such a request.
	FirstTokenTarget time.Duration
	Interval         time.Duration // 0 means DefaultInterval
}

// DefaultInterval is the time in which the limit rises by one slot.
const DefaultInterval = time.Second

// limiter is the state of a BatchLimit.
type limiter struct {
	BatchLimit
	slots   int
	allowed float64   // slots, if steered
	changed time.Time // when allowed was last changed
}

func newLimiter(l BatchLimit, slots int) limiter {
	if l.Interval == 0 {
		l.Interval = DefaultInterval
	}
	return limiter{BatchLimit: l, slots: slots, allowed: float64(slots)}
}

// observe takes an online request's time to the first token.
func (l *limiter) observe(now time.Time, d time.Duration) {
	if l.FirstTokenTarget == 0 {
		return
	}
	elapsed := now.Sub(l.changed)
	if elapsed < l.Interval {
		return
	}
	l.changed = now
	if d > l.FirstTokenTarget {
		l.allowed /= 2
		return
	}
	l.allowed = min(l.allowed+1, float64(l.slots))
}

// current returns how many items may run beside that many online requests.
func (l *limiter) current(online int) int {
	n := l.slots - l.ReservedSlots - online
	if l.FirstTokenTarget > 0 {
		n = min(n, int(l.allowed))
	}
	return max(0, n)
}
