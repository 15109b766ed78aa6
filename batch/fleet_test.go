package batch

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/keyedlog"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// testFleet is a fleet of batch services, one per entry, that share a store and
// endpoints. It runs in a synctest bubble and implements Peers.
type testFleet struct {
	*gomega.WithT
	ctx       context.Context
	index     *keyed.Log
	contents  *keyed.Log
	network   *network.Network
	config    *config.Holder
	endpoints []*streams.Endpoint
	entries   []*entry
	mu        sync.Mutex
	notAlive  map[string]bool

	mayStart    func() bool                         // see Deps.MayStart
	onDial      func()                              // called before each connection to an endpoint
	mayTakeOver func(string, []locality.Homes) bool // see Deps.MayTakeOver
}

// entry is one entry of a testFleet with its connections to the store.
type entry struct {
	*Service
	index    *keyed.Handle
	contents *keyed.Handle
	cancel   context.CancelFunc
}

// Route, customer and model of the jobs of a testFleet.
const (
	testRoute    = "digests"
	testCustomer = "garden"
	testModel    = "lm"
)

// testRecordBytes is the maximum size of one record in bytes.
const testRecordBytes = 4 << 10

// testRetention is how long finished jobs are kept.
const testRetention = 2 * time.Minute

// testPolicy is the batch policy of testRoute.
var testPolicy = config.BatchPolicy{Due: 18 * time.Second, Retain: time.Minute, MaxTokens: 1000, Attempts: 3}

func newTestFleet(t *testing.T, entries int, endpoints ...*streams.Endpoint) *testFleet {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	f := &testFleet{
		WithT:     gomega.NewWithT(t),
		ctx:       ctx,
		index:     keyed.NewLog(3),
		contents:  keyed.NewLog(3),
		network:   network.New(),
		config:    new(config.Holder),
		endpoints: endpoints,
		notAlive:  make(map[string]bool),
	}
	f.routeTo(testModel)
	for _, e := range endpoints {
		listener := f.network.Listen(e.ID + ":1")
		server := e.Serve(listener)
		t.Cleanup(func() { _ = server.Close() })
	}
	for range entries {
		f.startEntry()
	}
	return f
}

// routeTo makes testRoute lead to a deployment.
func (f *testFleet) routeTo(deployment string) {
	policy := testPolicy
	f.config.Set(config.NewSnapshot(f.config.Current().Version+1, &config.State{Routes: map[string]config.Route{
		testRoute: {PathPrefix: "/digests/", Deployment: deployment, Provided: &config.ProvidedRoute{Host: "h", Batch: &policy}},
	}}))
}

// Alive implements Peers.
func (f *testFleet) Alive(name string, incarnation uint64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.notAlive[name]
}

// Candidates implements Peers.
func (f *testFleet) Candidates() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for _, e := range f.entries {
		if !f.notAlive[e.Self.Entry] {
			names = append(names, e.Self.Entry)
		}
	}
	return names
}

// startEntry adds an entry to the fleet and runs it.
func (f *testFleet) startEntry() *entry {
	n := len(f.entries)
	e := &entry{index: &keyed.Handle{Log: f.index}, contents: &keyed.Handle{Log: f.contents}}
	clock := boottime.Clock(func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	state := NewIndexState(func(key string, err error) { panic(fmt.Sprint(key, err)) }, func() {
		if e.Service != nil {
			e.Wake()
		}
	})
	follower := keyedlog.NewFollower(e.index, state, keyedlog.Options{Name: "jobs", MaxWait: 2 * time.Second, MinInterval: 100 * time.Millisecond, Clock: clock})
	name := fmt.Sprintf("entry-%d", n)
	table := placement.NewTable(name, "a", rand.New(rand.NewPCG(1, uint64(n))), nil)
	var list []placement.Endpoint
	for _, ep := range f.endpoints {
		list = append(list, placement.Endpoint{ID: ep.ID, Address: ep.ID + ":1", Deployment: testModel, DataCentre: "a", Version: cmp.Or(ep.Version, "v1"), Slots: ep.Slots})
	}
	table.SetEndpoints(list)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		if f.onDial != nil {
			f.onDial()
		}
		return f.network.DialContext(ctx, "tcp", addr)
	}
	e.Service = New(Deps{
		Self:    Owner{Entry: name, Incarnation: uint64(n + 1)},
		Index:   NewIndex(e.index, follower, state),
		Stores:  []Store{e.contents},
		Limits:  Limits{CallBytes: 1 << 20, RecordBytes: testRecordBytes, Retention: testRetention},
		Config:  f.config,
		Table:   table,
		Pool:    upstream.NewPool(streams.HeaderID, dial, func() {}),
		Dialect: streams.Dialect{},
		Peers:   f,

		MayStart:    f.mayStart,
		MayTakeOver: f.mayTakeOver,

		Clock:   clock,
		Log:     zerolog.Nop(),
		Metrics: NewMetrics(prometheus.NewRegistry()),
	})
	ctx, cancel := context.WithCancel(f.ctx)
	e.cancel = cancel
	f.mu.Lock()
	f.entries = append(f.entries, e)
	f.mu.Unlock()
	go follower.Run(ctx)
	go e.Run(ctx)
	return e
}

// kill stops an entry without draining and reports it as not alive.
func (f *testFleet) kill(e *entry) {
	f.mu.Lock()
	f.notAlive[e.Self.Entry] = true
	f.mu.Unlock()
	e.cancel()
}

// submission returns a job of n items with the given tokens each.
func submission(id string, n, tokens int) Submission {
	s := Submission{Job: Job{ID: id, Customer: testCustomer, Route: testRoute, Host: "h", Submitted: time.Now()}, Policy: testPolicy}
	for i := range n {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-item%d", id, i), Tokens: tokens})
		s.Requests = append(s.Requests, Request{Path: "/digests/x", Header: map[string]string{"X-Model": "m"}, Body: []byte("body of " + id)})
	}
	return s
}

// results reads all listed results of a job at e.
func (f *testFleet) results(e *entry, id string) Page {
	p, err := e.Results(f.ctx, testCustomer, id, 0, 0, 1<<20)
	f.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// awaitResults waits until all results of a job are listed at e and fails the test
// if they are not within the given time.
func (f *testFleet) awaitResults(e *entry, id string, within time.Duration) Page {
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if p := f.results(e, id); len(p.Results) == p.Total {
			return p
		}
		time.Sleep(50 * time.Millisecond)
	}
	p := f.results(e, id)
	f.Expect(p.Results).To(gomega.HaveLen(p.Total), "results of "+id)
	return p
}

// respondStatus returns the behaviour of an endpoint that responds to each
// request with a status code.
func respondStatus(code int) func(*http.Request, int) streams.Behaviour {
	return func(*http.Request, int) streams.Behaviour { return streams.Behaviour{Status: code} }
}
