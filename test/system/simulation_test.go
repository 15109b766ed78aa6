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
	model           = "m"
	crashMarker     = "poison pill"    // part of prompts that crash engines
	faultDuration   = 60 * time.Second // duration of the load and the faults
	recoveryTimeout = 3 * time.Minute  // time for all accepted jobs to end after the faults
	startupDelay    = 10 * time.Second // time for all instances to become ready before the load starts
)

var customers = []string{"garden", "station", "museum"}

// keyOf returns the API key of a customer.
func keyOf(customer string) string { return customer + "-secret-key-0123456789" }

// Limits of every customer, in requests per second and requests.
const (
	rate  = 20
	burst = 40
)

// desiredState returns the configuration that all simulations start with.
func desiredState() *config.State {
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

// simulation is a fleet in memory with the load on it and what callers observed.
type simulation struct {
	t       *testing.T
	network *fleet.MemoryNetwork
	fleet   *fleet.Fleet
	start   time.Time

	mu        sync.Mutex
	random    *rand.Rand
	entries   []*fleet.Instance
	endpoints []endpoint
	engines   []*engine.Engine          // all engines, including those removed
	locations map[*engine.Engine]string // data centre of each of engines
	services  []*plain.Service          // all services, including those removed
	pickups   []*fleet.Instance
	stats     callerStats
}

// callerStats counts the outcomes of calls.
type callerStats struct {
	completed, refused, unknown, incomplete int
	admitted                                map[string]int // by customer: calls that ran or may have run
	notRun                                  []string       // IDs of requests that were reported as not run
}

// newSimulation starts 3 endpoints, 2 plain services and 3 entries, and waits for
// them to become ready. options, unless nil, changes the options of the fleet.
func newSimulation(t *testing.T, seed uint64, options func(*fleet.Options)) *simulation {
	sim := &simulation{
		t:       t,
		network: fleet.NewMemoryNetwork(),
		random:  rand.New(rand.NewPCG(seed, 1)),
		stats:   callerStats{admitted: make(map[string]int)},

		locations: make(map[*engine.Engine]string),
	}
	o := fleet.Options{
		Network:     sim.network,
		State:       desiredState(),
		DataCentres: dataCentres,
		Seed:        seed,
		ListLag:     500 * time.Millisecond,
		DrainDelay:  time.Second,
		Logger:      zerolog.Nop(),
		Engine:      engine.Options{Model: model, CrashMarker: crashMarker},
		OnViolation: func(v invariant.Violation) { t.Error(v) },
	}
	if options != nil {
		options(&o)
	}
	var err error
	sim.fleet, err = fleet.New(t.Context(), o)
	sim.must(err)
	for range 3 {
		sim.addEndpoint()
	}
	for range 2 {
		sim.addPickups()
	}
	for range 3 {
		sim.addEntry()
	}
	time.Sleep(startupDelay)
	sim.start = time.Now()
	return sim
}

// must ends the test if err is not nil.
func (sim *simulation) must(err error) {
	sim.t.Helper()
	if err != nil {
		sim.t.Fatal(err)
	}
}

func (sim *simulation) addEntry() {
	i, err := sim.fleet.AddEntry()
	sim.must(err)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.entries = append(sim.entries, i)
}

func (sim *simulation) addEndpoint() {
	i, e, err := sim.fleet.AddEngine("assistant")
	sim.must(err)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.endpoints = append(sim.endpoints, endpoint{i, e})
	sim.engines = append(sim.engines, e)
	sim.locations[e] = i.DataCentre
}

// addPickups adds a plain service with its sidecar.
func (sim *simulation) addPickups() {
	i, s, err := sim.fleet.AddPlain("pickups")
	sim.must(err)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.pickups = append(sim.pickups, i)
	sim.services = append(sim.services, s)
}

// intn returns a random number in [0, n).
func (sim *simulation) intn(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

// randomEntry returns a random entry of those that the load balancer knows.
func (sim *simulation) randomEntry() *fleet.Instance {
	n := sim.intn(1 << 30)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.entries[n%len(sim.entries)]
}

// removeRandom removes a random element from a list of the simulation's instances
// and returns it.
func removeRandom[T any](sim *simulation, list *[]T) T {
	n := sim.intn(1 << 30)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	n %= len(*list)
	removed := (*list)[n]
	*list = slices.Delete(slices.Clone(*list), n, n+1)
	return removed
}

// removeEntry removes a random entry from the load balancer and returns it.
func (sim *simulation) removeEntry() *fleet.Instance { return removeRandom(sim, &sim.entries) }

// removeEndpoint removes a random endpoint from the simulation and returns it.
func (sim *simulation) removeEndpoint() endpoint { return removeRandom(sim, &sim.endpoints) }

// randomEndpoint returns a random endpoint of those not removed.
func (sim *simulation) randomEndpoint() endpoint {
	n := sim.intn(1 << 30)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.endpoints[n%len(sim.endpoints)]
}

// logStats logs the outcomes of calls.
func (sim *simulation) logStats() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.t.Logf("calls: %d completed, %d refused, %d with unknown outcome, %d incomplete", sim.stats.completed, sim.stats.refused, sim.stats.unknown, sim.stats.incomplete)
}
