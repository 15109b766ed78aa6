package lane

import (
	"cmp"
	"slices"
	"time"
)

// decideFIFO starts requests and items in the order of their arrival.
func (q *Queue) decideFIFO(now time.Time) {
	for q.freeOnlineSlots() > 0 && q.cold.ready(now) {
		w := q.oldestWaiting()
		switch {
		case w == nil && len(q.waitingItems) == 0:
			return
		case w == nil || len(q.waitingItems) > 0 && q.waitingItems[0].arrivalSeq < w.seq:
			q.startItem(now, 0)
		default:
			q.fair.remove(w)
			q.startOnline(now, w)
		}
	}
}

// oldestWaiting returns the waiting request that arrived first, or nil.
func (q *Queue) oldestWaiting() *waitingRequest {
	if q.fair.size == 0 {
		return nil
	}
	c := slices.MinFunc(q.fair.heads, func(a, b *customer) int {
		return cmp.Compare(a.queue[0].seq, b.queue[0].seq)
	})
	return c.queue[0]
}
