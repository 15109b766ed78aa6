package lane

import "time"

// rateSmoothing is the weight of a new observation in the average.
const rateSmoothing = 0.1

// rateEstimate is an exponential average of how fast one slot serves cost.
type rateEstimate struct {
	perCost time.Duration // of slot time; 0: not known yet
	cost    float64       // of a request
}

// observe takes the cost of an ended request and the time it held its slot.
func (r *rateEstimate) observe(cost float64, d time.Duration) {
	if cost <= 0 || d <= 0 {
		return
	}
	per := time.Duration(float64(d) / cost)
	if r.perCost == 0 {
		r.perCost, r.cost = per, cost
		return
	}
	r.perCost += time.Duration(rateSmoothing * float64(per-r.perCost))
	r.cost += rateSmoothing * (cost - r.cost)
}

// time returns how long that many slots take for cost.
func (r *rateEstimate) time(cost float64, slots int) time.Duration {
	return time.Duration(float64(r.perCost) * cost / float64(max(1, slots)))
}

// EstimateWait estimates how long a new online request of an average customer waits
// for its start.
func (q *Queue) EstimateWait() time.Duration {
	if q.online() > 0 {
		return 0
	}
	return q.rate.time(q.fair.cost+q.rate.cost, q.opts.Slots)
}

// wait estimates how long w still waits.
func (q *Queue) wait(w *waiting) time.Duration {
	if q.online() >= q.fair.size {
		return 0
	}
	return q.rate.time(q.fair.costBefore(w)+q.rate.cost, q.opts.Slots)
}

// online returns the slots that online requests could have at once, beyond
// those that run.
func (q *Queue) online() int { return q.opts.Slots - len(q.running) }
