package lane

import (
	"cmp"
	"slices"
	"time"
)

// decideFIFO starts requests and items in the order of their arrival.
func (q *Queue) decideFIFO(now time.Time) {
	for q.free() > 0 {
		w := q.firstArrived()
		switch {
		case w == nil && len(q.parked) == 0:
			return
		case w == nil || len(q.parked) > 0 && q.parked[0].arrival < w.seq:
			q.startItem(now, 0)
		default:
			q.fair.remove(w)
			q.startOnline(now, w)
		}
	}
}

func (q *Queue) firstArrived() *waiting {
	if q.fair.size == 0 {
		return nil
	}
	c := slices.MinFunc(q.fair.heads, func(a, b *customer) int {
		return cmp.Compare(a.queue[0].seq, b.queue[0].seq)
	})
	return c.queue[0]
}
