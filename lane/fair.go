package lane

import (
	"container/heap"
	"sort"
)

// fairQueue orders waiting requests by start-time fair queueing: the start tag of
// a request is the later of the virtual time and the last finish tag of its
// customer, and the request with the lowest start tag goes first.
type fairQueue struct {
	virtualTime    float64
	seq            uint64
	customers      map[string]*customer
	heads          headHeap // customers with waiting requests
	size           int
	waitingCost    float64 // of all waiting requests
	sweepThreshold int     // number of customers at which idle ones are removed
}

// customer is the state of one customer.
type customer struct {
	id        string
	weight    float64
	finishTag float64           // of its last request
	queue     []*waitingRequest // in order of arrival
	totalCost float64           // of all requests it ever queued
	heapIndex int               // in fairQueue.heads
}

// waitingRequest is an online request that waits for a slot.
type waitingRequest struct {
	Request
	customer   *customer
	startTag   float64
	seq        uint64
	costBefore float64 // customer.totalCost before this request was added
}

// minAddsBetweenSweeps is the minimum number of customers that are added between
// two scans of the map by removeIdleCustomers.
const minAddsBetweenSweeps = 64

func newFairQueue() fairQueue {
	return fairQueue{customers: make(map[string]*customer), sweepThreshold: minAddsBetweenSweeps}
}

// push adds a request at the end of its customer's queue.
func (f *fairQueue) push(r Request) *waitingRequest {
	c := f.customer(r)
	start := max(f.virtualTime, c.finishTag)
	f.seq++
	w := &waitingRequest{Request: r, customer: c, startTag: start, seq: f.seq, costBefore: c.totalCost}
	c.finishTag = start + r.Cost/c.weight
	c.totalCost += r.Cost
	c.queue = append(c.queue, w)
	f.size++
	f.waitingCost += r.Cost
	if len(c.queue) == 1 {
		heap.Push(&f.heads, c)
	}
	return w
}

// pop removes and returns the next request. The queue must not be empty.
func (f *fairQueue) pop() *waitingRequest {
	c := f.heads[0]
	w := c.queue[0]
	f.virtualTime = max(f.virtualTime, w.startTag)
	f.removeAt(c, 0)
	return w
}

// remove removes a request at any position.
func (f *fairQueue) remove(w *waitingRequest) {
	c := w.customer
	i := sort.Search(len(c.queue), func(i int) bool { return c.queue[i].seq >= w.seq })
	if i == len(c.queue) || c.queue[i] != w {
		return
	}
	if i == len(c.queue)-1 {
		c.finishTag = w.startTag // the removed request used none of the customer's share
	}
	for _, later := range c.queue[i+1:] {
		later.costBefore -= w.Cost
	}
	c.totalCost -= w.Cost
	f.removeAt(c, i)
}

// removeAt removes the request at position i of the queue of c.
func (f *fairQueue) removeAt(c *customer, i int) {
	f.size--
	f.waitingCost -= c.queue[i].Cost
	if i == 0 {
		c.queue[0] = nil
		c.queue = c.queue[1:]
	} else {
		c.queue = append(c.queue[:i], c.queue[i+1:]...)
	}
	switch {
	case len(c.queue) == 0:
		heap.Remove(&f.heads, c.heapIndex)
	case i == 0:
		heap.Fix(&f.heads, c.heapIndex)
	}
	if f.size == 0 {
		f.waitingCost = 0
	}
}

// lastOfLargestBacklog returns the last request of the customer whose waiting
// cost is the largest in proportion to its weight. The queue must not be empty.
func (f *fairQueue) lastOfLargestBacklog() *waitingRequest {
	var worst *waitingRequest
	most := -1.0
	for _, c := range f.heads {
		last := c.queue[len(c.queue)-1]
		backlog := (c.totalCost - c.queue[0].costBefore) / c.weight
		if backlog > most || backlog == most && last.seq > worst.seq {
			worst, most = last, backlog
		}
	}
	return worst
}

// costAhead returns the cost of all waiting requests that go before w.
func (f *fairQueue) costAhead(w *waitingRequest) float64 {
	sum := 0.0
	for _, c := range f.heads {
		n := sort.Search(len(c.queue), func(i int) bool { return !c.queue[i].precedes(w) })
		if n == 0 {
			continue
		}
		last := c.queue[n-1]
		sum += last.costBefore + last.Cost - c.queue[0].costBefore
	}
	return sum
}

// precedes reports whether w goes before other: by start tag, then by arrival.
func (w *waitingRequest) precedes(other *waitingRequest) bool {
	if w.startTag != other.startTag {
		return w.startTag < other.startTag
	}
	return w.seq < other.seq
}

// adjustCost corrects the finish tag of the customer with the given ID by the
// difference between the actual and the estimated cost of one of its requests.
func (f *fairQueue) adjustCost(id string, difference float64) {
	c, ok := f.customers[id]
	if !ok {
		return
	}
	c.finishTag += difference / c.weight
	if n := len(c.queue); n > 0 {
		c.finishTag = max(c.finishTag, c.queue[n-1].startTag)
	}
}

// customer returns the state of a request's customer, which is added if needed,
// with its current weight.
func (f *fairQueue) customer(r Request) *customer {
	c, ok := f.customers[r.Customer]
	if !ok {
		f.removeIdleCustomers()
		c = &customer{id: r.Customer}
		f.customers[r.Customer] = c
	}
	c.weight = r.Weight
	if c.weight <= 0 {
		c.weight = 1
	}
	return c
}

// removeIdleCustomers removes customers that have no waiting requests and whose
// finish tag has been reached, so that their state equals that of a new customer.
func (f *fairQueue) removeIdleCustomers() {
	if len(f.customers) < f.sweepThreshold {
		return
	}
	for id, c := range f.customers {
		if len(c.queue) == 0 && c.finishTag <= f.virtualTime {
			delete(f.customers, id)
		}
	}
	f.sweepThreshold = 2*len(f.customers) + minAddsBetweenSweeps
}

// headHeap orders customers by the start tag of their first request.
type headHeap []*customer

func (h headHeap) Len() int           { return len(h) }
func (h headHeap) Less(i, j int) bool { return h[i].queue[0].precedes(h[j].queue[0]) }
func (h headHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *headHeap) Push(x any) {
	c := x.(*customer)
	c.heapIndex = len(*h)
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
