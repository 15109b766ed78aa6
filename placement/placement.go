// Package placement decides at which endpoint a request runs, whether it is
// turned away, and where batch items start and yield. It answers the load at
// which online requests come in waves that nearly fill the fleet while batch
// items want all that is left. Decisions hold no goroutine and no I/O.
package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Key names one incarnation of an endpoint between entries.
type Key uint32

// Endpoint is one incarnation of an endpoint as discovery lists it.
type Endpoint struct {
	ID         string
	StartMs    int64 // start of the incarnation, Unix milliseconds; 0: unknown
	Address    string
	Deployment string
	DataCentre string
	Slots      int  // requests that it runs at once
	Draining   bool // it is leaving: nothing new is sent to it
	// OtherCell says that entries use it of which this one knows no loads: it is a
	// last resort.
	OtherCell bool
}

// Key returns the key of the endpoint.
func (e Endpoint) Key() Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.ID))
	_, _ = h.Write([]byte(strconv.FormatInt(e.StartMs, 10)))
	return Key(h.Sum32())
}

// Load counts what runs or waits at an endpoint.
type Load struct {
	Online int
	Batch  int
}

// Kind tells online requests from batch items.
type Kind int

// The kinds of work.
const (
	Online Kind = iota
	Batch
)

// Result says how work at an endpoint ended.
type Result int

// The results of work at an endpoint.
const (
	Done          Result = iota // the endpoint answered
	Full                        // it refused for want of room
	ErrorResponse               // it answered with a failure of its own
	Failed                      // it could not be reached, fell silent or broke off
	Replaced                    // another incarnation answered at its address
	Aborted                     // the entry cut it for other work, or its caller left
)

// Constants of the model of an endpoint.
const (
	// reserve is the number of slots of each endpoint that batch items leave
	// to the next online request.
	reserve = 1
	// yieldDelay is the time until a batch item has given up its slot: news
	// reach its owner and the endpoint ends its step.
	yieldDelay = 80 * time.Millisecond
	// crossing is the wait that is accepted rather than leave the data centre:
	// what runs elsewhere is known later, and bytes between data centres are dear.
	crossing = 50 * time.Millisecond
	// alike is the difference in waiting below which endpoints count as alike:
	// entries that know the same counts should not all choose the same one.
	alike = 15 * time.Millisecond
	// reportLag is the time until entries of a data centre know of a placement.
	reportLag = 50 * time.Millisecond
	// stepShare is what each running request adds to the first step of another.
	stepShare = 2 * time.Millisecond
	// serviceStart is the assumed time of an online request at an endpoint
	// until some were observed.
	serviceStart = 800 * time.Millisecond
	// fullFor is for how long a refusal for want of room is believed.
	fullFor = 100 * time.Millisecond
	// minSuspension and maxSuspension bound how long an endpoint that failed
	// is passed over; the time doubles with each failure in a row.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// smoothing is the weight of a new observation in a moving average.
	smoothing = 0.15
)

// endpoint is what the table knows of an endpoint.
type endpoint struct {
	Endpoint
	key       Key
	own       Load
	peers     Load // sum over peers
	grants    map[*Grant]struct{}
	gap       time.Duration // moving average between events; 0: unknown
	errors    float64       // moving share of its answers here that were failures
	doubts    int           // other entries that see its answers fail
	failures  int           // in a row
	suspended time.Duration // clock until which it is passed over
	full      time.Duration // clock until which it is taken for full
	replaced  bool
}

func (e *endpoint) online() int { return e.own.Online + e.peers.Online }
func (e *endpoint) batch() int  { return e.own.Batch + e.peers.Batch }

// takes reports whether an endpoint may be chosen for a request at all.
func (e *endpoint) takes(ask Request) bool { return !e.Draining && !e.replaced && !ask.Avoid[e.key] }

// Table is an entry's view of all endpoints.
type Table struct {
	self       string
	dataCentre string
	changed    func()

	mu        sync.Mutex
	random    *rand.Rand
	endpoints map[Key]*endpoint
	groups    map[string]*group // by deployment
	peers     map[string]Report
	service   time.Duration // moving average of an online request's time at an endpoint
	asks      float64       // online requests here within about reportLag, fading
	asked     time.Duration // clock of the last one
}

// NewTable returns an empty table of the entry self in dataCentre. changed is
// called whenever this entry's own load has changed; it must neither block nor
// call back.
func NewTable(self, dataCentre string, random *rand.Rand, changed func()) *Table {
	return &Table{
		self:       self,
		dataCentre: dataCentre,
		changed:    changed,
		random:     random,
		endpoints:  make(map[Key]*endpoint),
		groups:     make(map[string]*group),
		peers:      make(map[string]Report),
		service:    serviceStart,
	}
}

// SetEndpoints replaces the list of endpoints. What is known of those that
// stay is kept; grants of those that go remain valid.
func (t *Table) SetEndpoints(list []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.endpoints
	t.endpoints = make(map[Key]*endpoint, len(list))
	t.groups = make(map[string]*group)
	for _, item := range list {
		key := item.Key()
		e := known[key]
		if e == nil {
			e = &endpoint{key: key, grants: make(map[*Grant]struct{})}
		}
		e.Endpoint = item
		e.peers, e.doubts = Load{}, 0
		t.endpoints[key] = e
		t.group(item.Deployment).add(e)
	}
	for _, r := range t.peers {
		t.addPeer(r, 1)
	}
}

// Report is what an entry tells the others of endpoints.
type Report struct {
	Loads   map[Key]Load // of endpoints that it uses now
	Failing []Key        // endpoints whose answers to it fail
}

// SetPeer replaces what another entry reported.
func (t *Table) SetPeer(id string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPeer(t.peers[id], -1)
	t.addPeer(r, 1)
	t.peers[id] = r
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			t.leaveTo(id, e)
		}
	}
}

// ForgetPeer drops what another entry reported.
func (t *Table) ForgetPeer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.addPeer(t.peers[id], -1)
	delete(t.peers, id)
}

// addPeer adds an entry's report to the sums of the listed endpoints, or with
// sign -1 takes it off.
func (t *Table) addPeer(r Report, sign int) {
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			e.doubts += sign
		}
	}
	for key, l := range r.Loads {
		if e := t.endpoints[key]; e != nil {
			e.peers.Online += sign * l.Online
			e.peers.Batch += sign * l.Batch
		}
	}
}

// LocalLoads returns this entry's own load, without idle endpoints.
func (t *Table) LocalLoads() map[Key]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[Key]Load)
	for key, e := range t.endpoints {
		if e.own != (Load{}) {
			own[key] = e.own
		}
	}
	return own
}

// Grant is a place at an endpoint that this entry has taken.
type Grant struct {
	Endpoint Endpoint
	Kind     Kind
	Load     Load // of the endpoint when the grant was made, over all entries
	table    *Table
	at       *endpoint
	since    time.Duration
	yield    func()
	yielding bool
}

// Refusal says that no endpoint can serve a request in time, and what decided
// it: the endpoint where the request would begin first.
type Refusal struct {
	RetryAfter time.Duration // when there should be room
	Wait       time.Duration // expected there
	Endpoint   string        // empty: there is none
	Load       Load          // there, over all entries
	Slowness   float64       // of it, against its group
	Full       bool          // it has refused a request for want of room of late
}

// Request is a request for a place.
type Request struct {
	Deployment string
	Avoid      map[Key]bool  // endpoints that failed this request already
	MaxWait    time.Duration // longest wait for the begin that is of use to the caller
	AtMostOnce bool          // the request may not be repeated
}

// Place takes a place for an online request at the endpoint where it should
// begin first, or refuses it if it would wait beyond its patience everywhere.
// now is the entry's clock.
func (t *Table) Place(now time.Duration, ask Request) (*Grant, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.countAsk(now)
	best, wait := t.find(now, ask)
	if best == nil {
		return nil, &Refusal{RetryAfter: minSuspension}
	}
	if best.online() >= best.Slots && wait <= ask.MaxWait {
		wait += t.queueing(now, ask, best)
	}
	if wait > ask.MaxWait {
		return nil, &Refusal{
			RetryAfter: t.retryAfter(wait - ask.MaxWait),
			Wait:       wait,
			Endpoint:   best.ID,
			Load:       Load{Online: best.online(), Batch: best.batch()},
			Slowness:   t.group(ask.Deployment).slowness(best),
			Full:       now < best.full,
		}
	}
	return t.grant(best, Online, now, nil), nil
}

// countAsk counts a request that wants a place.
func (t *Table) countAsk(now time.Duration) {
	t.asks = t.asks*math.Exp(-float64(now-t.asked)/float64(reportLag)) + 1
	t.asked = now
}

// queueing is what a request waits in the queue of e beyond the estimate when
// all slots are taken. What is free in the queues is free for all entries, which
// do not know of one another's choices yet: each uses its part of it. Without
// such a place the request would wait behind others'.
func (t *Table) queueing(now time.Duration, ask Request, e *endpoint) time.Duration {
	part := 1 / (float64(len(t.peers)+1) * t.asks)
	if t.random.Float64() < part*float64(t.places(now, ask)) {
		return 0
	}
	return t.service / time.Duration(max(e.Slots, 1))
}

// places counts the endpoints at which a request would wait within its patience.
func (t *Table) places(now time.Duration, ask Request) int {
	n := 0
	group := t.group(ask.Deployment)
	for _, e := range group.endpoints {
		if !e.takes(ask) || now < e.suspended {
			continue
		}
		if t.wait(e, now, group.slowness(e)) <= ask.MaxWait {
			n++
		}
	}
	return n
}

// HasFreeSlot reports whether some endpoint would begin an online request at once.
func (t *Table) HasFreeSlot(now time.Duration, ask Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, _ := t.soonest(now, ask, t.group(ask.Deployment).endpoints, true)
	return best != nil && best.online()+best.batch() < best.Slots && now >= best.full
}

// retryAfter spreads returning callers over some service times, so that they
// do not meet again.
func (t *Table) retryAfter(excess time.Duration) time.Duration {
	spread := time.Duration(t.random.Float64() * float64(t.service))
	return excess + t.service/4 + spread
}

// find returns the endpoint to use for a request: rather a foreign one than one
// that failed a moment ago, and rather that than none.
func (t *Table) find(now time.Duration, ask Request) (*endpoint, time.Duration) {
	group := t.group(ask.Deployment)
	for _, sound := range []bool{true, false} {
		for _, among := range [][]*endpoint{group.endpoints, group.foreign} {
			if best, wait := t.soonest(now, ask, among, sound); best != nil {
				return best, wait
			}
		}
	}
	return nil, 0
}

// soonest returns the endpoint among some of a deployment's at which a request
// would begin first.
func (t *Table) soonest(now time.Duration, ask Request, among []*endpoint, sound bool) (*endpoint, time.Duration) {
	var best *endpoint
	var least, wait time.Duration
	group := t.group(ask.Deployment)
	spare := group.tooManyErr()
	for _, e := range among {
		if !e.takes(ask) || sound && (now < e.suspended || !spare && e.passedOver(ask)) {
			continue
		}
		w := t.wait(e, now, group.slowness(e))
		cost := w + time.Duration(t.random.Int64N(int64(alike)))
		if e.DataCentre != t.dataCentre {
			cost += crossing
		}
		if best == nil || cost < least {
			best, least, wait = e, cost, w
		}
	}
	return best, wait
}

// wait estimates when one more online request would begin at e.
func (t *Table) wait(e *endpoint, now time.Duration, slow float64) time.Duration {
	online := e.online()
	running := min(online+e.batch(), e.Slots)
	w := time.Duration(running) * stepShare
	switch {
	case online >= e.Slots:
		ahead := online - e.Slots + 1
		w += time.Duration(ahead) * t.service / time.Duration(max(e.Slots, 1))
	case online+e.batch() >= e.Slots:
		w += yieldDelay
	}
	if now < e.full {
		w += t.service / 2
	}
	return time.Duration(float64(w) * slow)
}

func (t *Table) grant(e *endpoint, kind Kind, now time.Duration, yield func()) *Grant {
	g := &Grant{
		Endpoint: e.Endpoint,
		Kind:     kind,
		Load:     Load{Online: e.online(), Batch: e.batch()},
		table:    t,
		at:       e,
		since:    now,
		yield:    yield,
	}
	if kind == Online {
		e.own.Online++
	} else {
		e.own.Batch++
		e.grants[g] = struct{}{}
	}
	t.notify()
	return g
}

// notify tells of a change of the own load. The receiver must not call back.
func (t *Table) notify() {
	if t.changed != nil {
		t.changed()
	}
}

// Key returns the key of the grant's endpoint.
func (g *Grant) Key() Key { return g.at.key }

// Release gives the place back. gap is the mean time between the events of the
// answer; 0 if it is not known.
func (g *Grant) Release(now time.Duration, result Result, gap time.Duration) {
	t, e := g.table, g.at
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Kind == Online {
		e.own.Online--
	} else {
		e.own.Batch--
		delete(e.grants, g)
	}
	if gap > 0 {
		e.gap = average(e.gap, gap)
		t.group(e.Deployment).changed()
	}
	switch result {
	case Done:
		e.failures = 0
		e.answered(false)
		if g.Kind == Online {
			t.service = average(t.service, now-g.since)
		}
	case Full:
		e.full = now + fullFor
	case ErrorResponse:
		e.answered(true)
		if e.erring() {
			e.suspend(now)
		}
	case Failed:
		e.suspend(now)
	case Replaced:
		e.replaced = true
	}
	t.notify()
}

// suspend has the endpoint passed over for a while, longer with each time in a
// row.
func (e *endpoint) suspend(now time.Duration) {
	e.suspended = now + min(minSuspension<<min(e.failures, 6), maxSuspension)
	e.failures++
}

func average(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(smoothing*float64(observed-old))
}
