package quota

import "time"

// windowSlots is the number of slots into which a window is divided.
const windowSlots = 20

// windowCount counts admissions within the last window. Its resolution is one slot: an
// admission is counted for the length of the window and up to one slot longer.
type windowCount struct {
	slots  [windowSlots + 1]int32 // admissions by slot number modulo the length
	newest int64                  // number of the newest slot
	total  int                    // sum of slots
}

// add counts n admissions at now.
func (w *windowCount) add(now, window time.Duration, n int) {
	w.advance(now, window)
	w.slots[w.newest%int64(len(w.slots))] += int32(n)
	w.total += n
}

// value returns the number of admissions within the window that ends at now.
func (w *windowCount) value(now, window time.Duration) int {
	w.advance(now, window)
	return w.total
}

// advance drops the slots that have left the window. A clock that goes back leaves the
// counts as they are.
func (w *windowCount) advance(now, window time.Duration) {
	if window <= 0 {
		return
	}
	current := int64(now / (window / windowSlots))
	if current-w.newest >= int64(len(w.slots)) {
		*w = windowCount{newest: current}
		return
	}
	for w.newest < current {
		w.newest++
		slot := &w.slots[w.newest%int64(len(w.slots))]
		w.total -= int(*slot)
		*slot = 0
	}
}
