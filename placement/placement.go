// Package placement chooses the endpoint of each online request or refuses the
// request, and decides where batch items start and which of them are preempted. It
// is designed for a load in which online requests arrive in waves that nearly fill
// the fleet while batch items take all remaining slots. It starts no goroutines and
// does no I/O.
package placement

import (
	"hash/fnv"
	"math"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"
)

// Key is the hash of an endpoint's ID and start time. Entries exchange it in place of
// the ID; it identifies one incarnation of the endpoint.
type Key uint32

// Endpoint is one incarnation of an endpoint as service discovery lists it.
type Endpoint struct {
	ID         string
	StartMs    int64 // start of the incarnation, Unix milliseconds; 0: unknown
	Address    string
	Deployment string
	DataCentre string
	Slots      int  // requests that it runs concurrently
	Draining   bool // it shuts down: it gets no new requests
	// OtherCell says that only entries of other cells use the endpoint, whose loads
	// this entry does not know. This entry places an online request there only if all
	// endpoints of its own cell are suspended, excluded as failing or not eligible, and
	// a batch item only if its own cell has no endpoint of the deployment.
	OtherCell bool
}

// Key returns the key of the endpoint.
func (e Endpoint) Key() Key {
	h := fnv.New32a()
	_, _ = h.Write([]byte(e.ID))
	_, _ = h.Write([]byte(strconv.FormatInt(e.StartMs, 10)))
	return Key(h.Sum32())
}

// Load counts the requests that run or wait at an endpoint.
type Load struct {
	Online int
	Batch  int
}

// Kind is the kind of work: an online request or a batch item.
type Kind int

// The kinds of work.
const (
	Online Kind = iota
	Batch
)

// Result says how a request at an endpoint ended.
type Result int

// The results of a request at an endpoint.
const (
	Done          Result = iota // the endpoint responded, and not with an error of its own
	Full                        // the endpoint refused it for lack of a free slot
	ErrorResponse               // the endpoint responded with an error of its own, for example status 500, or an invalid response
	Failed                      // the endpoint was unreachable, stopped responding, closed the connection early or sent an unusable response
	Replaced                    // another incarnation responded at the address of the endpoint
	Aborted                     // this entry cancelled it, for example for preemption, or the caller left
)

// Parameters of placement.
const (
	// reservedSlots is the number of slots of each endpoint that batch items leave
	// free for the next online request.
	reservedSlots = 1
	// preemptionDelay is the time until a preempted batch item has released its slot:
	// the notification of the entry that runs it, and the end of the endpoint's
	// current step.
	preemptionDelay = 80 * time.Millisecond
	// crossDataCentrePenalty is the additional wait that is accepted to stay in the
	// data centre: the load of endpoints elsewhere is known later, and traffic between
	// data centres is expensive.
	crossDataCentrePenalty = 50 * time.Millisecond
	// costJitter bounds the random time that is added to the expected wait at each
	// endpoint, so that entries with the same counts do not all choose the same one.
	costJitter = 15 * time.Millisecond
	// reportLag is the time until the entries of a data centre know of a placement.
	reportLag = 50 * time.Millisecond
	// stepTimePerRequest is the time that each running request adds to the first step
	// of another.
	stepTimePerRequest = 2 * time.Millisecond
	// initialServiceTime is the assumed time of an online request at an endpoint
	// until the first is observed.
	initialServiceTime = 800 * time.Millisecond
	// fullTTL is the time for which an endpoint counts as full after it refused a
	// request for lack of a free slot.
	fullTTL = 100 * time.Millisecond
	// minSuspension and maxSuspension bound the time for which an endpoint that failed
	// is used only if no other is left, and not for batch items; the time doubles with
	// each consecutive failure.
	minSuspension = 500 * time.Millisecond
	maxSuspension = 4 * time.Second
	// smoothing is the weight of a new observation in a moving average.
	smoothing = 0.15
)

// endpoint is the state of an endpoint in the table. Its times are readings of the
// entry's clock.
type endpoint struct {
	Endpoint
	key                 Key
	local               Load                // of this entry
	peers               Load                // sum over the reports of peers
	grants              map[*Grant]struct{} // batch grants of this entry
	eventGap            time.Duration       // moving average of the time between events of a stream; 0: unknown
	errorRate           float64             // moving average of the share of its responses to this entry that were errors
	failingReports      int                 // other entries that report its responses as failing
	consecutiveFailures int                 // failures since the last Done
	suspendedUntil      time.Duration       // until then it is suspended
	fullUntil           time.Duration       // until then it counts as full
	replaced            bool                // another incarnation runs at its address
}

// online and batch return the requests of each kind at e over all entries.
func (e *endpoint) online() int { return e.local.Online + e.peers.Online }
func (e *endpoint) batch() int  { return e.local.Batch + e.peers.Batch }

// eligible reports whether e may be chosen for a request at all.
func (e *endpoint) eligible(req Request) bool { return !e.Draining && !e.replaced && !req.Avoid[e.key] }

// Table holds an entry's view of all endpoints and their loads. It is safe for
// concurrent use.
type Table struct {
	self       string
	dataCentre string
	onChange   func() // nil: none

	mu             sync.Mutex // guards the fields below; held by the callers of unexported methods
	random         *rand.Rand
	endpoints      map[Key]*endpoint
	groups         map[string]*group // by deployment
	peers          map[string]Report
	serviceTime    time.Duration // moving average of the time of an online request at an endpoint
	recentRequests float64       // online requests at this entry, as a sum that decays with the time constant reportLag
	lastRequestAt  time.Duration // clock at the last online request
}

// NewTable returns an empty table of the entry self in dataCentre. onChange, which may
// be nil, is called with the table locked whenever this entry's own load has changed;
// it must neither block nor call the table.
func NewTable(self, dataCentre string, random *rand.Rand, onChange func()) *Table {
	return &Table{
		self:        self,
		dataCentre:  dataCentre,
		onChange:    onChange,
		random:      random,
		endpoints:   make(map[Key]*endpoint),
		groups:      make(map[string]*group),
		peers:       make(map[string]Report),
		serviceTime: initialServiceTime,
	}
}

// SetEndpoints replaces the list of endpoints. The state of those that remain is kept;
// grants at those that are removed remain valid.
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
		e.peers, e.failingReports = Load{}, 0
		t.endpoints[key] = e
		t.group(item.Deployment).add(e)
	}
	for _, r := range t.peers {
		t.applyReport(r, 1)
	}
}

// Report is what an entry reports to the others about endpoints.
type Report struct {
	Loads   map[Key]Load // its own, without idle endpoints
	Failing []Key        // endpoints most of whose responses to it are errors
}

// SetPeer replaces the report of another entry.
func (t *Table) SetPeer(id string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyReport(t.peers[id], -1)
	t.applyReport(r, 1)
	t.peers[id] = r
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			t.delegateProbe(id, e)
		}
	}
}

// ForgetPeer drops the report of another entry.
func (t *Table) ForgetPeer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyReport(t.peers[id], -1)
	delete(t.peers, id)
}

// applyReport adds a report to the sums of the listed endpoints, or subtracts it if
// sign is -1.
func (t *Table) applyReport(r Report, sign int) {
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			e.failingReports += sign
		}
	}
	for key, l := range r.Loads {
		if e := t.endpoints[key]; e != nil {
			e.peers.Online += sign * l.Online
			e.peers.Batch += sign * l.Batch
		}
	}
}

// LocalLoads returns this entry's own load by endpoint, without idle endpoints.
func (t *Table) LocalLoads() map[Key]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[Key]Load)
	for key, e := range t.endpoints {
		if e.local != (Load{}) {
			loads[key] = e.local
		}
	}
	return loads
}

// Grant is a slot, or a place in the queue, that this entry holds at an endpoint.
type Grant struct {
	Endpoint   Endpoint
	Kind       Kind
	Load       Load // of the endpoint over all entries, just before the grant
	table      *Table
	state      *endpoint
	start      time.Duration // clock at the grant
	preempt    func()        // nil for online requests
	preempting bool          // preempt was called or is about to be
}

// Refusal says that no endpoint can start a request in time. All but RetryAfter
// describe the endpoint where the request would start first.
type Refusal struct {
	RetryAfter time.Duration // time after which the caller should retry
	Wait       time.Duration // expected wait
	Endpoint   string        // ID; empty: no endpoint is eligible
	Load       Load          // over all entries
	Slowness   float64       // relative to the median of its deployment, at least 1
	Full       bool          // it refused a request for lack of a free slot less than fullTTL ago
}

// Request describes the request or batch item to place.
type Request struct {
	Deployment string
	Avoid      map[Key]bool  // endpoints that were already tried for it
	MaxWait    time.Duration // longest wait for its start that is useful to the caller
	AtMostOnce bool          // it must not be repeated after a failure
}

// Place reserves a slot or a place in the queue for an online request at the endpoint
// where it should start first, or refuses it if the expected wait there exceeds
// MaxWait. now is the entry's clock.
func (t *Table) Place(now time.Duration, req Request) (*Grant, *Refusal) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordRequest(now)
	best, wait := t.selectEndpoint(now, req)
	if best == nil {
		return nil, &Refusal{RetryAfter: minSuspension}
	}
	if best.online() >= best.Slots && wait <= req.MaxWait {
		wait += t.queueDelay(now, req, best)
	}
	if wait > req.MaxWait {
		return nil, &Refusal{
			RetryAfter: t.retryAfter(wait - req.MaxWait),
			Wait:       wait,
			Endpoint:   best.ID,
			Load:       Load{Online: best.online(), Batch: best.batch()},
			Slowness:   t.group(req.Deployment).slowness(best),
			Full:       now < best.fullUntil,
		}
	}
	return t.newGrant(best, Online, now, nil), nil
}

// recordRequest adds an online request at now to the sum of recent requests.
func (t *Table) recordRequest(now time.Duration) {
	t.recentRequests = t.recentRequests*math.Exp(-float64(now-t.lastRequestAt)/float64(reportLag)) + 1
	t.lastRequestAt = now
}

// queueDelay returns the expected wait at e, all of whose slots are taken by online
// requests, beyond the result of estimateWait. All entries compete for the endpoints
// whose estimated wait is within MaxWait and do not know of one another's latest
// placements yet, so each uses only its part of them: with a probability equal to the
// number of such endpoints, divided by the number of entries and by the recent requests
// at this entry, there is no further delay. Otherwise the request is expected to wait
// for one more request.
func (t *Table) queueDelay(now time.Duration, req Request, e *endpoint) time.Duration {
	share := 1 / (float64(len(t.peers)+1) * t.recentRequests)
	if t.random.Float64() < share*float64(t.countAvailable(now, req)) {
		return 0
	}
	return t.serviceTime / time.Duration(max(e.Slots, 1))
}

// countAvailable returns the number of endpoints at which a request would start within
// its MaxWait.
func (t *Table) countAvailable(now time.Duration, req Request) int {
	n := 0
	group := t.group(req.Deployment)
	for _, e := range group.endpoints {
		if !e.eligible(req) || now < e.suspendedUntil {
			continue
		}
		if t.estimateWait(e, now, group.slowness(e)) <= req.MaxWait {
			n++
		}
	}
	return n
}

// HasFreeSlot reports whether an online request would start at once at the endpoint of
// this cell that earliestStart chooses. Suspended endpoints and those excluded as
// failing do not count.
func (t *Table) HasFreeSlot(now time.Duration, req Request) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	best, _ := t.earliestStart(now, req, t.group(req.Deployment).endpoints, true)
	return best != nil && best.online()+best.batch() < best.Slots && now >= best.fullUntil
}

// retryAfter returns the time after which a caller should retry whose expected wait
// exceeds MaxWait by excess. A random part spreads the retries over a service time, so
// that callers refused together do not return together.
func (t *Table) retryAfter(excess time.Duration) time.Duration {
	spread := time.Duration(t.random.Float64() * float64(t.serviceTime))
	return excess + t.serviceTime/4 + spread
}

// selectEndpoint returns the endpoint to use for a request and the expected wait there,
// or nil if none is eligible. Endpoints that are neither suspended nor excluded as
// failing come first, and among those the endpoints of this cell before those of other
// cells.
func (t *Table) selectEndpoint(now time.Duration, req Request) (*endpoint, time.Duration) {
	group := t.group(req.Deployment)
	for _, healthyOnly := range []bool{true, false} {
		for _, candidates := range [][]*endpoint{group.endpoints, group.otherCell} {
			if best, wait := t.earliestStart(now, req, candidates, healthyOnly); best != nil {
				return best, wait
			}
		}
	}
	return nil, 0
}

// earliestStart returns the candidate with the lowest cost and the expected wait there,
// or nil if there is none. The cost is the expected wait plus a random time below
// costJitter and, in another data centre, crossDataCentrePenalty. With healthyOnly,
// suspended endpoints and those excluded as failing are skipped.
func (t *Table) earliestStart(now time.Duration, req Request, candidates []*endpoint, healthyOnly bool) (*endpoint, time.Duration) {
	var best *endpoint
	var lowest, wait time.Duration
	group := t.group(req.Deployment)
	includeFailing := group.tooManyFailing()
	for _, e := range candidates {
		if !e.eligible(req) || healthyOnly && (now < e.suspendedUntil || !includeFailing && e.excluded(req)) {
			continue
		}
		w := t.estimateWait(e, now, group.slowness(e))
		cost := w + time.Duration(t.random.Int64N(int64(costJitter)))
		if e.DataCentre != t.dataCentre {
			cost += crossDataCentrePenalty
		}
		if best == nil || cost < lowest {
			best, lowest, wait = e, cost, w
		}
	}
	return best, wait
}

// estimateWait estimates the time until one more online request would start at e.
func (t *Table) estimateWait(e *endpoint, now time.Duration, slowness float64) time.Duration {
	online := e.online()
	running := min(online+e.batch(), e.Slots)
	w := time.Duration(running) * stepTimePerRequest
	switch {
	case online >= e.Slots:
		ahead := online - e.Slots + 1
		w += time.Duration(ahead) * t.serviceTime / time.Duration(max(e.Slots, 1))
	case online+e.batch() >= e.Slots:
		w += preemptionDelay
	}
	if now < e.fullUntil {
		w += t.serviceTime / 2
	}
	return time.Duration(float64(w) * slowness)
}

// newGrant adds a request to this entry's load at e and returns its grant.
func (t *Table) newGrant(e *endpoint, kind Kind, now time.Duration, preempt func()) *Grant {
	g := &Grant{
		Endpoint: e.Endpoint,
		Kind:     kind,
		Load:     Load{Online: e.online(), Batch: e.batch()},
		table:    t,
		state:    e,
		start:    now,
		preempt:  preempt,
	}
	if kind == Online {
		e.local.Online++
	} else {
		e.local.Batch++
		e.grants[g] = struct{}{}
	}
	t.notify()
	return g
}

// notify reports a change of this entry's load.
func (t *Table) notify() {
	if t.onChange != nil {
		t.onChange()
	}
}

// Key returns the key of the grant's endpoint.
func (g *Grant) Key() Key { return g.state.key }

// Release returns the slot, or the place in the queue, at now, with the result of the
// request. gap is the mean time between the events of the response; 0 if unknown.
func (g *Grant) Release(now time.Duration, result Result, gap time.Duration) {
	t, e := g.table, g.state
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.Kind == Online {
		e.local.Online--
	} else {
		e.local.Batch--
		delete(e.grants, g)
	}
	if gap > 0 {
		e.eventGap = movingAverage(e.eventGap, gap)
		t.group(e.Deployment).invalidateMedian()
	}
	switch result {
	case Done:
		e.consecutiveFailures = 0
		e.recordResponse(false)
		if g.Kind == Online {
			t.serviceTime = movingAverage(t.serviceTime, now-g.start)
		}
	case Full:
		e.fullUntil = now + fullTTL
	case ErrorResponse:
		e.recordResponse(true)
		if e.failing() {
			e.suspend(now)
		}
	case Failed:
		e.suspend(now)
	case Replaced:
		e.replaced = true
	}
	t.notify()
}

// suspend suspends e for a time that doubles with each consecutive failure, up to
// maxSuspension.
func (e *endpoint) suspend(now time.Duration) {
	e.suspendedUntil = now + min(minSuspension<<min(e.consecutiveFailures, 6), maxSuspension)
	e.consecutiveFailures++
}

// movingAverage returns the exponential moving average after one more observation. An
// old value of 0 means that nothing was observed before.
func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(smoothing*float64(observed-old))
}
