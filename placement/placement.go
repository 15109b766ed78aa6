// Package placement chooses the endpoint of each online request or refuses the
// request, and decides where batch items start and which of them are preempted. It
// is designed for a load in which online requests arrive in waves that nearly fill
// the fleet while batch items take all remaining slots. It starts no goroutines and
// does no I/O.
package placement

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"dandelionrelay/locality"
	"dandelionrelay/origin"
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
	Version    string // of its software
	Slots      int    // requests that it runs concurrently
	Draining   bool   // it shuts down: it gets no new requests
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

// Origin returns the origin of streams that begin at the endpoint.
func (e Endpoint) Origin() origin.Origin {
	return origin.Origin{Deployment: e.Deployment, Version: e.Version}
}

// Load counts the requests that run or wait at an endpoint.
type Load struct {
	Online int
	Batch  int
	Firm   int // of Batch: items that are preempted last
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
	// costJitter bounds the time, random or by the entry's own order, that is added to
	// the expected wait at each endpoint, so that entries with the same counts do not all
	// choose the same one.
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
	limit               *requestLimit       // nil: it names none
	rank                int                 // position of this entry in the order of entries at e
	nearRank            int                 // the same among the entries of this data centre
	leaving             bool                // it has said in a response that it is leaving
	heardAt             time.Duration       // latest response header, or end of a response; 0: there was none
	coldStated          *coldStatement      // of its registration; nil: none
	cold                *coldState          // nil: its deployment has no cold rate
	region              string              // of its data centre; empty: unknown
	evacuated           bool                // its data centre is evacuated
	ramp                *rampState          // nil: its concurrent requests are not bounded
	rampRound           uint32              // newest round of its ramps; 0: there was none
}

// online and batch return the requests of each kind at e over all entries.
func (e *endpoint) online() int { return e.local.Online + e.peers.Online }

func (e *endpoint) batch() int { return e.local.Batch + e.peers.Batch }

// eligible reports whether e may be chosen for a request at now.
func (e *endpoint) eligible(now time.Duration, req Request) bool {
	return e.usable(req) && e.limitWait(now) == 0 && (e.cold == nil || e.cold.allows(now, req))
}

// usable reports whether e may be chosen for a request as far as its limits allow.
func (e *endpoint) usable(req Request) bool {
	return !e.Draining && !e.leaving && !e.replaced && !req.Avoid[e.key] && req.versionAllows(e) && req.verdict(e) == locality.Allowed
}

// Table holds an entry's view of all endpoints and their loads. It is safe for
// concurrent use.
type Table struct {
	self       string
	dataCentre string
	onChange   func() // nil: none

	mu             sync.Mutex // guards the fields below; held by the callers of unexported methods
	random         *rand.Rand
	entries        []string // names of the entries that use the same endpoints, this entry included
	nearEntries    []string // those of this data centre; empty: unknown
	endpoints      map[Key]*endpoint
	ordered        []*endpoint           // the same, as listed
	leaving        map[Key]time.Duration // endpoints that have said that they are leaving, and the time of the last notice
	groups         map[string]*group     // by deployment
	peers          map[string]Report
	cold           coldLimits
	serviceTime    time.Duration // moving average of the time of an online request at an endpoint
	recentRequests float64       // online requests at this entry, as a sum that decays with the time constant reportLag
	lastRequestAt  time.Duration // clock at the last online request
	policy         *locality.Policy
	evacuations    bool              // the data centre of at least one endpoint is evacuated
	requestSum     float64           // online requests at this entry, as a sum that decays with rateDecay; see requestRate
	onRamp         func(RampChange)  // nil: endpoints begin without ramps
	listed         bool              // SetEndpoints was called
	started        []startedEndpoint // endpoints that have started and whose ramps have not begun
	responseTime   time.Duration     // moving average of the time to the response header of online requests, without ramps
	clock          time.Duration     // newest time that a caller gave
	waves          map[string]*wave  // by deployment
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
		leaving:     make(map[Key]time.Duration),
		groups:      make(map[string]*group),
		peers:       make(map[string]Report),
		waves:       make(map[string]*wave),
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
	t.evacuations = false
	t.ordered = make([]*endpoint, 0, len(list))
	t.groups = make(map[string]*group)
	for _, item := range list {
		key := item.Key()
		e := known[key]
		if e == nil {
			e = t.newEndpoint(key)
		}
		e.Endpoint = item
		_, e.leaving = t.leaving[key]
		e.peers, e.failingReports = Load{}, 0
		t.locate(e)
		t.endpoints[key] = e
		t.ordered = append(t.ordered, e)
		t.group(item.Deployment).add(e)
		t.setUpCold(e)
	}
	t.started = slices.DeleteFunc(t.started, func(s startedEndpoint) bool { return t.endpoints[s.key] != s.endpoint })
	t.cold.stale = t.cold.quota != nil
	for _, r := range t.peers {
		t.applyReport(r, 1)
	}
	t.listed = true
}

// newEndpoint returns the state of an endpoint that was not listed before. Those of the first
// list may have run for long.
func (t *Table) newEndpoint(key Key) *endpoint {
	e := &endpoint{key: key, grants: make(map[*Grant]struct{})}
	e.rank, e.nearRank = t.entriesAhead(e), t.rankAmong(e, t.nearEntries)
	if t.listed && t.onRamp != nil {
		t.started = append(t.started, startedEndpoint{endpoint: e})
	}
	return e
}

// movingAverage returns the exponential moving average after one more observation. An
// old value of 0 means that nothing was observed before.
func movingAverage(old, observed time.Duration) time.Duration {
	if old == 0 {
		return observed
	}
	return old + time.Duration(smoothing*float64(observed-old))
}
