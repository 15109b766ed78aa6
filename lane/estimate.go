package lane

import "time"

// rateSmoothing is the weight of a new observation in the average.
const rateSmoothing = 0.1

// rateEstimate is an exponential moving average of the time that one slot takes
// per unit of cost.
type rateEstimate struct {
	timePerCost time.Duration // slot time per unit of cost; 0: not known yet
	meanCost    float64       // of a request
}

// observe records the cost of an ended request and the time it held its slot.
func (r *rateEstimate) observe(cost float64, d time.Duration) {
	if cost <= 0 || d <= 0 {
		return
	}
	per := time.Duration(float64(d) / cost)
	if r.timePerCost == 0 {
		r.timePerCost, r.meanCost = per, cost
		return
	}
	r.timePerCost += time.Duration(rateSmoothing * float64(per-r.timePerCost))
	r.meanCost += rateSmoothing * (cost - r.meanCost)
}

// duration returns the time in which the given number of slots serves cost.
func (r *rateEstimate) duration(cost float64, slots int) time.Duration {
	return time.Duration(float64(r.timePerCost) * cost / float64(max(1, slots)))
}

// EstimateWait estimates how long a new online request of an average customer
// waits until it starts.
func (q *Queue) EstimateWait() time.Duration {
	if q.onlineCapacity() > 0 {
		return 0
	}
	return q.rate.duration(q.fair.waitingCost+q.rate.meanCost, q.opts.Slots)
}

// remainingWait estimates how much longer w waits until it starts.
func (q *Queue) remainingWait(now time.Time, w *waitingRequest) time.Duration {
	cold := q.coldWait(now, q.requestsAhead(w))
	if q.onlineCapacity() >= q.fair.size {
		return cold
	}
	return max(cold, q.rate.duration(q.fair.costAhead(w)+q.rate.meanCost, q.opts.Slots))
}

// onlineCapacity returns the number of slots that online requests do not hold
// yet, whether items run in them or not.
func (q *Queue) onlineCapacity() int { return q.opts.Slots - len(q.running) }
