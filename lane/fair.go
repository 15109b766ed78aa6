package lane

import (
	"container/heap"
	"sort"
)

// fairQueue orders requests by start-time fair queueing: a request's start tag
// is the later of the virtual time and its customer's last finish tag, and the
// lowest start tag goes first.
type fairQueue struct {
	virtual   float64
	seq       uint64
	customers map[string]*customer
	heads     headHeap // customers with waiting requests
	size      int
	cost      float64 // of all waiting requests
	sweepAt   int     // number of customers at which idle ones are forgotten
}

// customer is the state of one customer.
type customer struct {
	id     string
	weight float64
	finish float64 // finish tag of its last request
	queue  []*waiting
	total  float64 // cost of everything it ever queued
	index  int     // in heads
}

// waiting is one request that waits.
type waiting struct {
	Request
	customer *customer
	start    float64 // start tag
	seq      uint64
	before   float64 // customer.total before this request
}

// idleCustomers is the number of customers that may be added between two
// sweeps at least.
const idleCustomers = 64

func newFairQueue() fairQueue {
	return fairQueue{customers: make(map[string]*customer), sweepAt: idleCustomers}
}

// push adds a request at the end of its customer's queue.
func (f *fairQueue) push(r Request) *waiting {
	c := f.customer(r)
	start := max(f.virtual, c.finish)
	f.seq++
	w := &waiting{Request: r, customer: c, start: start, seq: f.seq, before: c.total}
	c.finish = start + r.Cost/c.weight
	c.total += r.Cost
	c.queue = append(c.queue, w)
	f.size++
	f.cost += r.Cost
	if len(c.queue) == 1 {
		heap.Push(&f.heads, c)
	}
	return w
}

// pop removes the request that goes next. The queue must not be empty.
func (f *fairQueue) pop() *waiting {
	c := f.heads[0]
	w := c.queue[0]
	f.virtual = max(f.virtual, w.start)
	f.drop(c, 0)
	return w
}

// remove takes out a request of any position.
func (f *fairQueue) remove(w *waiting) {
	c := w.customer
	i := sort.Search(len(c.queue), func(i int) bool { return c.queue[i].seq >= w.seq })
	if i == len(c.queue) || c.queue[i] != w {
		return
	}
	if i == len(c.queue)-1 {
		c.finish = w.start // its turn was never used
	}
	for _, later := range c.queue[i+1:] {
		later.before -= w.Cost
	}
	c.total -= w.Cost
	f.drop(c, i)
}

// drop deletes position i of the queue of c.
func (f *fairQueue) drop(c *customer, i int) {
	f.size--
	f.cost -= c.queue[i].Cost
	if i == 0 {
		c.queue[0] = nil
		c.queue = c.queue[1:]
	} else {
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
	switch {
	case len(c.queue) == 0:
		heap.Remove(&f.heads, c.index)
	case i == 0:
		heap.Fix(&f.heads, c.index)
	}
	if f.size == 0 {
		f.cost = 0
	}
}

// longest returns the last request of the customer that has the most cost
// waiting for its weight. The queue must not be empty.
func (f *fairQueue) longest() *waiting {
	var worst *waiting
	most := -1.0
	for _, c := range f.heads {
		last := c.queue[len(c.queue)-1]
		backlog := (c.total - c.queue[0].before) / c.weight
		if backlog > most || backlog == most && last.seq > worst.seq {
			worst, most = last, backlog
		}
	}
	return worst
}

// costBefore returns the cost of all waiting requests that go before w.
func (f *fairQueue) costBefore(w *waiting) float64 {
	sum := 0.0
	for _, c := range f.heads {
		n := sort.Search(len(c.queue), func(i int) bool { return !c.queue[i].goesBefore(w) })
		if n == 0 {
			continue
		}
		last := c.queue[n-1]
		sum += last.before + last.Cost - c.queue[0].before
	}
	return sum
}

func (w *waiting) goesBefore(other *waiting) bool {
	if w.start != other.start {
		return w.start < other.start
	}
	return w.seq < other.seq
}

// charge corrects the account of a customer after a request cost more or less
// than estimated.
func (f *fairQueue) charge(id string, difference float64) {
	c, ok := f.customers[id]
	if !ok {
		return
	}
	c.finish += difference / c.weight
	if n := len(c.queue); n > 0 {
		c.finish = max(c.finish, c.queue[n-1].start)
	}
}

// customer returns the state of a request's customer.
func (f *fairQueue) customer(r Request) *customer {
	c, ok := f.customers[r.Customer]
	if !ok {
		f.sweep()
		c = &customer{id: r.Customer}
		f.customers[r.Customer] = c
	}
	c.weight = r.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	return c
}

// sweep forgets customers that are owed nothing and owe nothing.
func (f *fairQueue) sweep() {
	if len(f.customers) < f.sweepAt {
		return
	}
	for id, c := range f.customers {
		if len(c.queue) == 0 && c.finish <= f.virtual {
			delete(f.customers, id)
		}
	}
	f.sweepAt = 2*len(f.customers) + idleCustomers
}

// headHeap orders customers by the start tag of their first request.
type headHeap []*customer

func (h headHeap) Len() int           { return len(h) }
func (h headHeap) Less(i, j int) bool { return h[i].queue[0].goesBefore(h[j].queue[0]) }
func (h headHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *headHeap) Push(x any) {
	c := x.(*customer)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *headHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return c
}
