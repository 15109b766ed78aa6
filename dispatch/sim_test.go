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

// The simulated engines: prompts are read one after the other, tokens are
// generated for all running requests at once, and prompt prefixes are cached.
const (
	simSlots       = 32
	systemBlocks   = 24 // of each system prompt
	simBlockTokens = 64
	simPrefill     = 24 * time.Microsecond // for each token
	simOutTokens   = 60                    // on average
	simStep        = 15 * time.Millisecond // for each token
	simStepEach    = 200 * time.Microsecond
	simOneWay      = time.Millisecond // to another data centre
)

// scheme is one way to pick.
type scheme string

const (
	schemeRandom   scheme = "random"
	schemeLeast    scheme = "least in flight"
	schemeSampled  scheme = "sampled queue wait"
	schemeAffinity scheme = "sampled + affinity"
	schemeSession  scheme = "affinity + session hash"
)

// simConfig describes one run.
type simConfig struct {
	scheme    scheme
	entries   int
	endpoints int
	load      float64 // requests per second and endpoint
	requests  int
	seed      uint64
	half      bool // half of the endpoints refuse all work at first
	budget    bool
	suspect   bool // failed endpoints get nothing more
	cache     int  // blocks that one engine caches
}

// simResult is what a run gave.
type simResult struct {
	p50, p99  time.Duration // time to first token
	hits      float64       // cached share of the prompt blocks
	remote    float64       // share of requests sent to another data centre
	attempts  float64       // per request
	refused   float64       // share of requests given up on
	imbalance float64       // busiest endpoint over the mean
}

// event is something that happens at a time.
type event struct {
	at time.Duration
	do func()
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

// sim is one run.
type sim struct {
	simConfig
	rnd     *rand.Rand
	now     time.Duration
	queue   events
	engines map[string]*simEngine
	list    []infra.Instance
	nodes   []*simEntry

	ttft             []time.Duration
	blocks, cached   int
	sent, far, given int
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
	id, dc   string
	dead     bool
	running  int
	waiting  []func()
	prefill  time.Duration // when the prompts so far are read
	service  time.Duration // moving average
	cache    map[uint64]int
	order    []uint64 // of use; may hold old places
	requests int
	capacity int // blocks
}

// simRequest is one prompt.
type simRequest struct {
	entry  *simEntry
	blocks []uint64
	out    int
	came   time.Duration
	tried  []string
}

var simStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *sim) time() time.Time { return simStart.Add(s.now) }

func (s *sim) after(d time.Duration, do func()) {
	heap.Push(&s.queue, event{at: s.now + d, do: do})
}

// simulate runs one configuration.
func simulate(c simConfig) simResult {
	s := &sim{simConfig: c, rnd: rand.New(rand.NewPCG(c.seed, 1)), engines: make(map[string]*simEngine)}
	const dataCentres = 3
	for i := range c.endpoints {
		id, dc := fmt.Sprintf("s%04d", i), fmt.Sprint("dc", i%dataCentres)
		s.list = append(s.list, infra.Instance{ID: id, DataCentre: dc, State: infra.Live})
		s.engines[id] = &simEngine{id: id, dc: dc, dead: c.half && i%2 == 0, service: time.Second, capacity: c.cache, cache: make(map[uint64]int)}
	}
	for i := range c.entries {
		dc := fmt.Sprint("dc", i%dataCentres)
		loads := NewLoads()
		s.nodes = append(s.nodes, &simEntry{
			dc: dc, subset: membership.NewSubset(fmt.Sprint("e", i), dc, max(1, c.entries/dataCentres), s.list),
			loads: loads, picker: NewPicker(loads), affinity: NewAffinity(), budget: NewRetryBudget(),
			detector: membership.NewDetector(),
		})
	}
	s.arrivals()
	for s.queue.Len() > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
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
			for b := range uint64(systemBlocks) {
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
			x.blocks = x.blocks[:systemBlocks:systemBlocks]
		}
		r := &simRequest{
			entry: s.nodes[s.rnd.IntN(len(s.nodes))], blocks: slices.Clone(x.blocks),
			out: 1 + s.rnd.IntN(2*simOutTokens), came: at,
		}
		heap.Push(&s.queue, event{at: at, do: func() {
			r.entry.budget.Deposit()
			s.dispatch(r)
		}})
	}
}

// dispatch picks and sends.
func (s *sim) dispatch(r *simRequest) {
	id, ok := s.pick(r)
	if !ok {
		s.given++
		return
	}
	engine := s.engines[id]
	s.sent++
	way := time.Duration(0)
	if engine.dc != r.entry.dc {
		way = simOneWay
		s.far++
	}
	began := s.now
	r.entry.loads.Begin(infra.Instance{ID: id}, false, s.time())
	r.entry.affinity.Record(r.blocks, id)
	s.after(way, func() {
		if engine.dead {
			s.after(way, func() { s.refused(r, id) })
			return
		}
		s.arrive(engine, r, way, began)
	})
}

// refused repeats a request elsewhere.
func (s *sim) refused(r *simRequest, id string) {
	r.entry.loads.End(id, false, time.Millisecond, s.time())
	r.entry.detector.RecordFailure(id, s.time())
	r.tried = append(r.tried, id)
	if len(r.tried) >= maxAttempts || s.budget && !r.entry.budget.Withdraw() {
		s.given++
		return
	}
	s.dispatch(r)
}

func (s *sim) pick(r *simRequest) (string, bool) {
	all := append(slices.Clone(r.entry.subset.Local), r.entry.subset.Remote...)
	all = slices.DeleteFunc(all, func(i infra.Instance) bool { return slices.Contains(r.tried, i.ID) })
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
		Now: s.time(), Subset: r.entry.subset, Slots: simSlots, Exclude: r.tried,
		Usable: func(id string) bool { return !s.suspect || r.entry.detector.Usable(id) },
	}
	if s.scheme == schemeAffinity {
		endpoint, depth := r.entry.affinity.Lookup(r.blocks)
		q.PrefixEndpoint, q.PrefixSaving = endpoint, time.Duration(depth)*blockSaving
	}
	if s.scheme == schemeSession {
		s.session(q, r)
	}
	i, ok := r.entry.picker.Pick(q, s.rnd)
	return i.ID, ok
}

// session prefers the endpoint that holds more than the system prompt, or else
// the one in the data centre that ranks first for the session, whether it is in
// the entry's subset or not.
func (s *sim) session(q *Query, r *simRequest) {
	endpoint, depth := r.entry.affinity.Lookup(r.blocks)
	if depth <= systemBlocks {
		endpoint, depth = s.home(r), len(r.blocks)
	}
	q.PrefixEndpoint, q.PrefixSaving = endpoint, time.Duration(depth)*blockSaving
	q.Subset.Local = append(slices.Clone(q.Subset.Local), infra.Instance{ID: endpoint, State: infra.Live})
}

// home returns the endpoint in the data centre that ranks first for a session.
func (s *sim) home(r *simRequest) (id string) {
	session := r.blocks[min(systemBlocks, len(r.blocks)-1)]
	top := uint64(0)
	for _, i := range s.list {
		rank := xxhash.Sum64String(fmt.Sprint(i.ID, session))
		if i.DataCentre == r.entry.dc && rank > top {
			top, id = rank, i.ID
		}
	}
	return id
}

// arrive queues a request at an engine, or starts it.
func (s *sim) arrive(e *simEngine, r *simRequest, way, began time.Duration) {
	e.requests++
	start := func() { s.start(e, r, way, began) }
	if e.running >= simSlots {
		e.waiting = append(e.waiting, start)
		return
	}
	start()
}

func (s *sim) start(e *simEngine, r *simRequest, way, began time.Duration) {
	e.running++
	hits := e.use(r.blocks)
	s.blocks += len(r.blocks)
	s.cached += hits
	read := time.Duration(len(r.blocks)-hits) * simBlockTokens * simPrefill
	e.prefill = max(e.prefill, s.now) + read
	step := simStep + time.Duration(e.running)*simStepEach
	first := e.prefill - s.now + step
	took := first + time.Duration(r.out)*step
	s.after(first+way, func() {
		s.ttft = append(s.ttft, s.now-r.came)
		r.entry.loads.RecordQueueWait(e.id, e.wait(), s.time())
	})
	s.after(took, func() {
		e.running--
		e.service += (took - e.service) / 10
		if len(e.waiting) > 0 {
			next := e.waiting[0]
			e.waiting = e.waiting[1:]
			next()
		}
	})
	s.after(took+way, func() { r.entry.loads.End(e.id, false, s.now-began, s.time()) })
}

// wait is the queue wait as a sidecar reports it.
func (e *simEngine) wait() time.Duration {
	if e.running < simSlots {
		return 0
	}
	return time.Duration(len(e.waiting)+1) * e.service / simSlots
}

// use counts the leading blocks in the cache and makes all of them the newest.
func (e *simEngine) use(blocks []uint64) (hits int) {
	for hits < len(blocks) && e.cache[blocks[hits]] > 0 {
		hits++
	}
	for _, b := range blocks {
		e.cache[b]++
		e.order = append(e.order, b)
	}
	for len(e.cache) > e.capacity {
		b := e.order[0]
		e.order = e.order[1:]
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
		hits:      float64(s.cached) / float64(max(1, s.blocks)),
		remote:    float64(s.far) / float64(max(1, s.sent)),
		attempts:  float64(s.sent) / float64(s.requests),
		refused:   float64(s.given) / float64(s.requests),
		imbalance: float64(most) * float64(len(s.engines)) / float64(max(1, sum)),
	}
}
