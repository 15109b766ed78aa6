package jobs

import "sync"

// fairQueue chooses among customers by start-time fair queueing: each pays
// for what it got in proportion to its weight, and the one that has paid
// least is next.
type fairQueue struct {
	mu          sync.Mutex
	virtualTime float64            // virtual time: the start tag of the last choice
	finishTags  map[string]float64 // finish tag of each customer's last item
}

// fairCustomers is the number of customers above which idle ones are
// forgotten.
const maxFairCustomers = 1024

func newFairQueue() *fairQueue {
	return &fairQueue{finishTags: make(map[string]float64)}
}

// choose returns the index of the candidate that is next: of the customers
// that paid least, the job due first.
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

// charge notes that a customer got an item of some cost.
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

// forget drops customers that paid no more than the clock. The caller holds
// the lock.
func (f *fairQueue) dropIdle() {
	for c, tag := range f.finishTags {
		if tag <= f.virtualTime {
			delete(f.finishTags, c)
		}
	}
}
