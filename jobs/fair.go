package jobs

import "sync"

// fairQueue chooses among customers by start-time fair queueing: each item
// advances the finish tag of its customer by its cost divided by the customer's
// weight, and the customer with the lowest start tag is next.
type fairQueue struct {
	mu          sync.Mutex
	virtualTime float64            // start tag of the last item charged
	finishTags  map[string]float64 // finish tag of each customer's last item
}

// maxFairCustomers is the number of customers above which idle ones are removed
// from a fairQueue.
const maxFairCustomers = 1024

func newFairQueue() *fairQueue {
	return &fairQueue{finishTags: make(map[string]float64)}
}

// choose returns the index of the next candidate: of those whose customer has
// the lowest start tag, the one due first.
func (f *fairQueue) choose(candidates []candidate) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	best, bestTag := 0, 0.0
	for i, c := range candidates {
		tag := max(f.finishTags[c.customer], f.virtualTime)
		if i > 0 && (tag > bestTag || tag == bestTag && !c.due.Before(candidates[best].due)) {
			continue
		}
		best, bestTag = i, tag
	}
	return best
}

// charge accounts an item of some cost to a customer. A weight of 0 or less
// counts as 1.
func (f *fairQueue) charge(customer string, weight, cost float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if weight <= 0 {
		weight = 1
	}
	start := max(f.finishTags[customer], f.virtualTime)
	f.virtualTime = start
	f.finishTags[customer] = start + cost/weight
	if len(f.finishTags) > maxFairCustomers {
		f.dropIdle()
	}
}

// dropIdle removes the customers whose finish tag is not above the virtual
// time, as their next start tag does not depend on it. The caller holds the
// lock.
func (f *fairQueue) dropIdle() {
	for c, tag := range f.finishTags {
		if tag <= f.virtualTime {
			delete(f.finishTags, c)
		}
	}
}
