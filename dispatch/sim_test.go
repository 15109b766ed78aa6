package dispatch

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Parameters of the simulated engines. An engine prefills prompts one after the
// other, generates the tokens of all running requests in common steps, and caches
// prompt prefixes.
const (
	simSlots            = 32
	simSystemBlocks     = 24 // length of each system prompt
	simBlockTokens      = 64
	simPrefillPerToken  = 24 * time.Microsecond
	simMeanOutputTokens = 60
	simStepBase         = 15 * time.Millisecond  // of one token
	simStepPerRequest   = 200 * time.Microsecond // added for each running request
	simOneWayDelay      = time.Millisecond       // to another data centre
)

// scheme is a policy for the choice of an endpoint.
type scheme string

const (
	schemeRandom   scheme = "random"
	schemeLeast    scheme = "least in flight"
	schemeSampled  scheme = "sampled queue wait"
	schemeAffinity scheme = "sampled + affinity"
	schemeSession  scheme = "affinity + session hash"
)

// simConfig holds the parameters of one simulation.
type simConfig struct {
	scheme        scheme
	entries       int
	endpoints     int
	load          float64 // requests per second for each endpoint
	requests      int
	seed          uint64
	halfRefuse    bool // half of the endpoints refuse all requests
	budget        bool // retries need the retry budget
	suspectFailed bool // endpoints that failed get no further requests
	cache         int  // capacity of each engine's prefix cache, in blocks
}

// simResult holds the results of one simulation.
type simResult struct {
	p50, p99    time.Duration // time to first token
	hitShare    float64       // cached share of the prompt blocks
	remoteShare float64       // share of requests sent to another data centre
	attempts    float64       // mean per request
	failedShare float64       // share of requests that failed
	imbalance   float64       // requests at the busiest endpoint, over the mean
}

// event is a function to run at a time of the simulation.
type event struct {
	at  time.Duration
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim is the state of one simulation.
type sim struct {
	simConfig
	rnd          *rand.Rand
	now          time.Duration
	queue        events
	engines      map[string]*simEngine
	endpointList []infra.Instance
	entryList    []*simEntry

	ttft                     []time.Duration
	blocks, cached           int
	sent, sentRemote, failed int
}

type simEntry struct {
	dc       string
	subset   membership.Subset
	loads    *Loads
	picker   *Picker
	affinity *Affinity
	budget   *RetryBudget
	detector *membership.Detector
}

type simEngine struct {
	id, dc         string
	refuses        bool
	running        int
	waiting        []func()
	prefillEnd     time.Duration  // when all prompts accepted so far are prefilled
	serviceTime    time.Duration  // exponential moving average
	cache          map[uint64]int // block -> number of times that it is in useOrder
	useOrder       []uint64       // blocks in the order of use, each once for each use
	requests       int
	capacityBlocks int
}

// simRequest is one simulated request.
type simRequest struct {
	entry        *simEntry
	blocks       []uint64
	outputTokens int
	arrivedAt    time.Duration
	excluded     []string
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, run func()) {
	heap.Push(&s.queue, event{at: s.now + d, run: run})
}

// simulate runs one simulation to its end.
func simulate(c simConfig) simResult {
	s := &sim{simConfig: c, rnd: rand.New(rand.NewPCG(c.seed, 1)), engines: make(map[string]*simEngine)}
	const dataCentres = 3
	for i := range c.endpoints {
		id, dc := fmt.Sprintf("s%04d", i), fmt.Sprint("dc", i%dataCentres)
		s.endpointList = append(s.endpointList, infra.Instance{ID: id, DataCentre: dc, State: infra.Live})
		s.engines[id] = &simEngine{id: id, dc: dc, refuses: c.halfRefuse && i%2 == 0, serviceTime: time.Second, capacityBlocks: c.cache, cache: make(map[uint64]int)}
	}
	for i := range c.entries {
		dc := fmt.Sprint("dc", i%dataCentres)
		loads := NewLoads()
		s.entryList = append(s.entryList, &simEntry{
			dc: dc, subset: membership.NewSubset(fmt.Sprint("e", i), dc, max(1, c.entries/dataCentres), s.endpointList),
			loads: loads, picker: NewPicker(loads), affinity: NewAffinity(), budget: NewRetryBudget(),
			detector: membership.NewDetector(),
		})
	}
	s.arrivals()
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	return s.result()
}

// arrivals schedules an open-loop stream of chat turns: sessions of customers
// that share system prompts, whose history grows with each turn.
func (s *sim) arrivals() {
	const customers, prompts, turnBlocks = 8, 3, 3
	type session struct{ blocks []uint64 }
	var open []*session
	at := time.Duration(0)
	mean := float64(time.Second) / (s.load * float64(s.endpoints))
	for i := range s.requests {
		at += time.Duration(s.rnd.ExpFloat64() * mean)
		var x *session
		if len(open) > 2*s.endpoints && s.rnd.IntN(4) > 0 {
			x = open[s.rnd.IntN(len(open))]
		} else {
			x = &session{}
			customer := min(s.rnd.IntN(customers), s.rnd.IntN(customers))
			system := uint64(customer*prompts + s.rnd.IntN(prompts))
			for b := range uint64(simSystemBlocks) {
				x.blocks = append(x.blocks, 1<<40|system<<16|b)
			}
			open = append(open, x)
			if len(open) > 8*s.endpoints {
				open = open[1:]
			}
		}
		for b := range turnBlocks {
			x.blocks = append(x.blocks, uint64(i)<<8|uint64(b))
		}
		if len(x.blocks) > maxBlocks {
			x.blocks = x.blocks[:simSystemBlocks:simSystemBlocks]
		}
		r := &simRequest{
			entry: s.entryList[s.rnd.IntN(len(s.entryList))], blocks: slices.Clone(x.blocks),
			outputTokens: 1 + s.rnd.IntN(2*simMeanOutputTokens), arrivedAt: at,
		}
		heap.Push(&s.queue, event{at: at, run: func() {
			r.entry.budget.Deposit()
			s.dispatch(r)
		}})
	}
}

// dispatch picks an endpoint for a request and sends it there.
func (s *sim) dispatch(r *simRequest) {
	id, ok := s.pick(r)
	if !ok {
		s.failed++
		return
	}
	engine := s.engines[id]
	s.sent++
	delay := time.Duration(0)
	if engine.dc != r.entry.dc {
		delay = simOneWayDelay
		s.sentRemote++
	}
	sentAt := s.now
	r.entry.loads.Begin(infra.Instance{ID: id}, false, s.time())
	r.entry.affinity.Record(r.blocks, id)
	s.after(delay, func() {
		if engine.refuses {
			s.after(delay, func() { s.retry(r, id) })
			return
		}
		s.arrive(engine, r, delay, sentAt)
	})
}

// retry records the refusal of a request by endpoint id, and retries the request
// at another endpoint or fails it.
func (s *sim) retry(r *simRequest, id string) {
	r.entry.loads.End(id, false, time.Millisecond, s.time())
	r.entry.detector.RecordFailure(id, s.time())
	r.excluded = append(r.excluded, id)
	if len(r.excluded) >= maxAttempts || s.budget && !r.entry.budget.Withdraw() {
		s.failed++
		return
	}
	s.dispatch(r)
}

func (s *sim) pick(r *simRequest) (string, bool) {
	all := append(slices.Clone(r.entry.subset.Local), r.entry.subset.Remote...)
	all = slices.DeleteFunc(all, func(i infra.Instance) bool { return slices.Contains(r.excluded, i.ID) })
	if len(all) == 0 {
		return "", false
	}
	switch s.scheme {
	case schemeRandom:
		return all[s.rnd.IntN(len(all))].ID, true
	case schemeLeast:
		s.rnd.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
		return slices.MinFunc(all, func(a, b infra.Instance) int {
			return r.entry.loads.snapshot(a.ID, 0, s.time()).inFlight - r.entry.loads.snapshot(b.ID, 0, s.time()).inFlight
		}).ID, true
	}
	q := &Query{
		Now: s.time(), Subset: r.entry.subset, Slots: simSlots, Exclude: r.excluded,
		Usable: func(id string) bool { return !s.suspectFailed || r.entry.detector.Usable(id) },
	}
	if s.scheme == schemeAffinity {
		endpoint, depth := r.entry.affinity.Lookup(r.blocks)
		q.PrefixEndpoint, q.PrefixSaving = endpoint, time.Duration(depth)*blockSaving
	}
	if s.scheme == schemeSession {
		s.preferSessionEndpoint(q, r)
	}
	i, ok := r.entry.picker.Pick(q, s.rnd)
	return i.ID, ok
}

// preferSessionEndpoint sets the preferred endpoint of q: the one that caches more
// than the system prompt, or else the one that ranks first for the session in the
// entry's data centre, whether or not it is in the entry's subset.
func (s *sim) preferSessionEndpoint(q *Query, r *simRequest) {
	endpoint, depth := r.entry.affinity.Lookup(r.blocks)
	if depth <= simSystemBlocks {
		endpoint, depth = s.rendezvousEndpoint(r), len(r.blocks)
	}
	q.PrefixEndpoint, q.PrefixSaving = endpoint, time.Duration(depth)*blockSaving
	q.Subset.Local = append(slices.Clone(q.Subset.Local), infra.Instance{ID: endpoint, State: infra.Live})
}

// rendezvousEndpoint returns the endpoint in the entry's data centre that ranks
// first for a session by rendezvous hashing.
func (s *sim) rendezvousEndpoint(r *simRequest) (id string) {
	session := r.blocks[min(simSystemBlocks, len(r.blocks)-1)]
	top := uint64(0)
	for _, i := range s.endpointList {
		rank := xxhash.Sum64String(fmt.Sprint(i.ID, session))
		if i.DataCentre == r.entry.dc && rank > top {
			top, id = rank, i.ID
		}
	}
	return id
}

// arrive starts a request at an engine, or queues it if all slots are taken.
func (s *sim) arrive(e *simEngine, r *simRequest, delay, sentAt time.Duration) {
	e.requests++
	start := func() { s.start(e, r, delay, sentAt) }
	if e.running >= simSlots {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

// start runs a request at an engine and schedules its first token and its end.
func (s *sim) start(e *simEngine, r *simRequest, delay, sentAt time.Duration) {
	e.running++
	hits := e.useCache(r.blocks)
	s.blocks += len(r.blocks)
	s.cached += hits
	prefill := time.Duration(len(r.blocks)-hits) * simBlockTokens * simPrefillPerToken
	e.prefillEnd = max(e.prefillEnd, s.now) + prefill
	step := simStepBase + time.Duration(e.running)*simStepPerRequest
	first := e.prefillEnd - s.now + step
	took := first + time.Duration(r.outputTokens)*step
	s.after(first+delay, func() {
		s.ttft = append(s.ttft, s.now-r.arrivedAt)
		r.entry.loads.RecordQueueWait(e.id, e.queueWait(), s.time())
	})
	s.after(took, func() {
		e.running--
		e.serviceTime += (took - e.serviceTime) / 10
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
	s.after(took+delay, func() { r.entry.loads.End(e.id, false, s.now-sentAt, s.time()) })
}

// queueWait returns the queue wait as a sidecar reports it.
func (e *simEngine) queueWait() time.Duration {
	if e.running < simSlots {
		return 0
	}
	return time.Duration(len(e.waiting)+1) * e.serviceTime / simSlots
}

// useCache returns the number of leading blocks that are cached, makes all blocks
// the most recently used, and evicts the least recently used ones above the
// capacity.
func (e *simEngine) useCache(blocks []uint64) (hits int) {
	for hits < len(blocks) && e.cache[blocks[hits]] > 0 {
		hits++
	}
	for _, b := range blocks {
		e.cache[b]++
		e.useOrder = append(e.useOrder, b)
	}
	for len(e.cache) > e.capacityBlocks {
		b := e.useOrder[0]
		e.useOrder = e.useOrder[1:]
		if e.cache[b]--; e.cache[b] == 0 {
			delete(e.cache, b)
		}
	}
	return hits
}

func (s *sim) result() simResult {
	slices.Sort(s.ttft)
	at := func(q float64) time.Duration {
		if len(s.ttft) == 0 {
			return 0
		}
		return s.ttft[int(q*float64(len(s.ttft)-1))]
	}
	most, sum := 0, 0
	for _, e := range s.engines {
		most = max(most, e.requests)
		sum += e.requests
	}
	return simResult{
		p50: at(0.5), p99: at(0.99),
		hitShare:    float64(s.cached) / float64(max(1, s.blocks)),
		remoteShare: float64(s.sentRemote) / float64(max(1, s.sent)),
		attempts:    float64(s.sent) / float64(s.requests),
		failedShare: float64(s.failed) / float64(s.requests),
		imbalance:   float64(most) * float64(len(s.engines)) / float64(max(1, sum)),
	}
}
