package batch

import (
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
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// rig is a fleet of entries' batch services over one store and some endpoints.
// It runs in a synctest bubble.
type rig struct {
	*gomega.WithT
	ctx       context.Context
	index     *keyed.Log
	contents  *keyed.Log
	network   *network.Network
	config    *config.Holder
	endpoints []*streams.Endpoint
	entries   []*entry
	mu        sync.Mutex
	dead      map[string]bool
}

// entry is one entry of a rig.
type entry struct {
	*Service
	index    *keyed.Handle
	contents *keyed.Handle
	stop     context.CancelFunc
}

// The route and the customer of a rig's jobs.
const (
	testRoute    = "digests"
	testCustomer = "garden"
	testModel    = "lm"
)

// testRecord bounds one record, in bytes.
const testRecord = 4 << 10

// testKeep is how long finished jobs are kept.
const testKeep = 2 * time.Minute

// testPolicy is the policy of the rig's route.
var testPolicy = config.BatchPolicy{Due: 18 * time.Second, Retain: time.Minute, MaxTokens: 1000, Attempts: 3}

func newRig(t *testing.T, entries int, endpoints ...*streams.Endpoint) *rig {
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	r := &rig{
		WithT:     gomega.NewWithT(t),
		ctx:       ctx,
		index:     keyed.NewLog(3),
		contents:  keyed.NewLog(3),
		network:   network.New(),
		config:    new(config.Holder),
		endpoints: endpoints,
		dead:      make(map[string]bool),
	}
	policy := testPolicy
	r.config.Set(config.NewSnapshot(1, &config.State{Routes: map[string]config.Route{
		testRoute: {PathPrefix: "/digests/", Deployment: testModel, Provided: &config.ProvidedRoute{Host: "h", Batch: &policy}},
	}}))
	for _, e := range endpoints {
		l := r.network.Listen(e.ID + ":1")
		server := e.Serve(l)
		t.Cleanup(func() { _ = server.Close() })
	}
	for range entries {
		r.start()
	}
	return r
}

// Alive implements Peers.
func (r *rig) Alive(name string, incarnation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.dead[name]
}

// Candidates implements Peers.
func (r *rig) Candidates() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var names []string
	for _, e := range r.entries {
		if !r.dead[e.Self.Entry] {
			names = append(names, e.Self.Entry)
		}
	}
	return names
}

// start adds an entry.
func (r *rig) start() *entry {
	n := len(r.entries)
	e := &entry{index: &keyed.Handle{Log: r.index}, contents: &keyed.Handle{Log: r.contents}}
	clock := boottime.Clock(func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	ledger := NewIndexState(func(key string, err error) { panic(fmt.Sprint(key, err)) }, func() {
		if e.Service != nil {
			e.Wake()
		}
	})
	follower := keyedlog.NewFollower(e.index, ledger, keyedlog.Options{Name: "jobs", MaxWait: 2 * time.Second, MinInterval: 100 * time.Millisecond, Clock: clock})
	name := fmt.Sprintf("entry-%d", n)
	table := placement.NewTable(name, "a", rand.New(rand.NewPCG(1, uint64(n))), nil)
	var list []placement.Endpoint
	for _, w := range r.endpoints {
		list = append(list, placement.Endpoint{ID: w.ID, Address: w.ID + ":1", Deployment: testModel, DataCentre: "a", Slots: w.Slots})
	}
	table.SetEndpoints(list)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return r.network.DialContext(ctx, "tcp", addr)
	}
	e.Service = New(Deps{
		Self:        Owner{Entry: name, Incarnation: uint64(n + 1)},
		Index:       NewIndex(e.index, follower, ledger),
		Stores:      []Store{e.contents},
		CallBytes:   1 << 20,
		RecordBytes: testRecord,
		Retention:   testKeep,
		Config:      r.config,
		Table:       table,
		Pool:        upstream.NewPool(streams.HeaderID, dial, func() {}),
		Dialect:     streams.Dialect{},
		Peers:       r,
		Suspects:    quarantine.NoSuspects{},
		Clock:       clock,
		Log:         zerolog.Nop(),
		Metrics:     NewMetrics(prometheus.NewRegistry()),
	})
	ctx, stop := context.WithCancel(r.ctx)
	e.stop = stop
	r.mu.Lock()
	r.entries = append(r.entries, e)
	r.mu.Unlock()
	go follower.Run(ctx)
	go e.Run(ctx)
	return e
}

// kill ends an entry at once.
func (r *rig) kill(e *entry) {
	r.mu.Lock()
	r.dead[e.Self.Entry] = true
	r.mu.Unlock()
	e.stop()
}

// submission returns a job of n items of tokens each.
func submission(id string, n, tokens int) Submission {
	s := Submission{Job: Job{ID: id, Customer: testCustomer, Route: testRoute, Host: "h", Submitted: time.Now()}, Policy: testPolicy}
	for i := range n {
		s.Items = append(s.Items, Item{ID: fmt.Sprintf("%s-item%d", id, i), Tokens: tokens})
		s.Requests = append(s.Requests, Request{Path: "/digests/x", Header: map[string]string{"X-Model": "m"}, Body: []byte("body of " + id)})
	}
	return s
}

// results reads a whole job at e.
func (r *rig) results(e *entry, id string) Page {
	p, err := e.Results(r.ctx, testCustomer, id, 0, 0, 1<<20)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	return p
}

// await waits until all results of a job are listed at e.
func (r *rig) await(e *entry, id string, within time.Duration) Page {
	end := time.Now().Add(within)
	for time.Now().Before(end) {
		if p := r.results(e, id); len(p.Results) == p.Total {
			return p
		}
		time.Sleep(50 * time.Millisecond)
	}
	p := r.results(e, id)
	r.Expect(p.Results).To(gomega.HaveLen(p.Total), "results of "+id)
	return p
}

// status returns a behaviour of an endpoint that answers with a status.
func status(code int) func(*http.Request, int) streams.Behaviour {
	return func(*http.Request, int) streams.Behaviour { return streams.Behaviour{Status: code} }
}
