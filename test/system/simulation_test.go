package system

import (
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
	"dandelionrelay/standin/plain"
)

const (
	model      = "m"
	poison     = "poison pill"    // a prompt that crashes engines
	faultsFor  = 60 * time.Second // how long load and faults go on
	healWithin = 3 * time.Minute  // by then every accepted job has ended
	settle     = 10 * time.Second // before the load starts
)

var customers = []string{"garden", "station", "museum"}

func keyOf(customer string) string { return customer + "-secret-key-0123456789" }

// rate and burst of every customer.
const (
	rate  = 20
	burst = 40
)

func desired() *config.State {
	s := &config.State{
		Customers: make(map[string]config.Customer),
		Keys:      make(map[string]config.Key),
		Routes: map[string]config.Route{
			"assistant": {Model: model, Deployment: "assistant", Idempotent: true, Timeout: config.Duration(20 * time.Second)},
			"pickups":   {PathPrefix: "/pickups", Deployment: "pickups", Timeout: config.Duration(10 * time.Second)},
		},
		Deployments: map[string]config.Deployment{
			"assistant": {Kind: config.KindModel, Model: model, Slots: 6, CanResume: true},
			"pickups":   {Kind: config.KindPlain, Slots: 8},
		},
	}
	for _, c := range customers {
		s.Customers[c] = config.Customer{Rate: rate, Burst: burst}
		s.Keys[c+"-1"] = config.Key{Customer: c, Digest: authn.Digest(keyOf(c))}
	}
	return s
}

// endpoint is a stand-in engine with its sidecar.
type endpoint struct {
	*fleet.Instance
	engine *engine.Engine
}

// world is one run: a fleet, the load on it and what was seen.
type world struct {
	t     *testing.T
	net   *fleet.MemoryNetwork
	fleet *fleet.Fleet
	start time.Time

	mu        sync.Mutex
	rnd       *rand.Rand
	entries   []*fleet.Instance
	endpoints []endpoint
	engines   []*engine.Engine // all that ever ran
	services  []*plain.Service // all that ever ran
	pickups   []*fleet.Instance
	seen      tally
}

// tally counts what callers saw.
type tally struct {
	done, refused, unknown, cut int
	admitted                    map[string]int // by customer: answers that say it ran or may have run
	notRun                      []string       // request ids said not to have run
}

func newWorld(t *testing.T, seed uint64, options func(*fleet.Options)) *world {
	w := &world{
		t:    t,
		net:  fleet.NewMemoryNetwork(),
		rnd:  rand.New(rand.NewPCG(seed, 1)),
		seen: tally{admitted: make(map[string]int)},
	}
	o := fleet.Options{
		Network:     w.net,
		State:       desired(),
		DataCentres: dataCentres,
		Seed:        seed,
		ListLag:     500 * time.Millisecond,
		DrainDelay:  time.Second,
		Logger:      zerolog.Nop(),
		Engine:      engine.Options{Model: model, CrashMarker: poison},
		OnViolation: func(v invariant.Violation) { t.Error(v) },
	}
	if options != nil {
		options(&o)
	}
	var err error
	w.fleet, err = fleet.New(t.Context(), o)
	w.must(err)
	for range 3 {
		w.addEndpoint()
	}
	for range 2 {
		w.addPickups()
	}
	for range 3 {
		w.addEntry()
	}
	time.Sleep(settle)
	w.start = time.Now()
	return w
}

func (w *world) must(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) addEntry() {
	i, err := w.fleet.AddEntry()
	w.must(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = append(w.entries, i)
}

func (w *world) addEndpoint() {
	i, e, err := w.fleet.AddEngine("assistant")
	w.must(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints = append(w.endpoints, endpoint{i, e})
	w.engines = append(w.engines, e)
}

func (w *world) addPickups() {
	i, s, err := w.fleet.AddPlain("pickups")
	w.must(err)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.pickups = append(w.pickups, i)
	w.services = append(w.services, s)
}

// intn draws a number below n.
func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rnd.IntN(n)
}

// entry returns any entry that the balancer knows.
func (w *world) entry() *fleet.Instance {
	n := w.intn(1 << 30)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[n%len(w.entries)]
}

// take takes one of a list of the world's instances out of it.
func take[T any](w *world, list *[]T) T {
	n := w.intn(1 << 30)
	w.mu.Lock()
	defer w.mu.Unlock()
	n %= len(*list)
	taken := (*list)[n]
	*list = slices.Delete(slices.Clone(*list), n, n+1)
	return taken
}

// takeEntry takes an entry out of the balancer.
func (w *world) takeEntry() *fleet.Instance { return take(w, &w.entries) }

// takeEndpoint takes an endpoint out of the world.
func (w *world) takeEndpoint() endpoint { return take(w, &w.endpoints) }

// anyEndpoint returns an endpoint.
func (w *world) anyEndpoint() endpoint {
	n := w.intn(1 << 30)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[n%len(w.endpoints)]
}

// report prints what callers saw.
func (w *world) report() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.t.Logf("done %d, refused %d, unknown %d, cut %d", w.seen.done, w.seen.refused, w.seen.unknown, w.seen.cut)
}
