package limit

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/peer"
	standin "dandelionrelay/standin/platform"
)

// fleet runs the Services of several entries over pipes in a synctest bubble,
// with one checker of all admissions.
type fleet struct {
	t         *testing.T
	log       *standin.Log
	instances *standin.Instances
	config    config.Holder
	checker   *AdmissionChecker

	mu          sync.Mutex
	entries     map[string]*node
	unreachable map[string]bool // connections that fail, as "from to"
}

type node struct {
	*Service
	id     string
	server *peer.Server
	stop   context.CancelFunc
	done   chan struct{}
}

func newFleet(t *testing.T, seed uint64, customers map[string]config.Customer, ids ...string) *fleet {
	f := &fleet{
		t: t, log: standin.NewLog(0, seed), instances: standin.NewInstances(0),
		checker: NewAdmissionChecker(0), entries: make(map[string]*node), unreachable: make(map[string]bool),
	}
	f.config.Set(config.NewSnapshot(1, &config.State{Customers: customers}))
	for _, id := range ids {
		f.start(id)
	}
	f.list()
	return f
}

func (f *fleet) start(id string) *node {
	ctx, stop := context.WithCancel(f.t.Context())
	n := &node{id: id, server: peer.NewServer(), stop: stop, done: make(chan struct{})}
	n.Service = NewService(Options{
		Self: f.instance(id, infra.Live), Log: f.log, Instances: f.instances, Config: &f.config,
		Buckets:    map[string]Limits{"jobs/accept": {Rate: 20, Burst: 6}},
		Pool:       peer.NewPool(func(_ context.Context, addr string) (net.Conn, error) { return f.dial(id, addr) }),
		Invariants: invariant.New(func(v invariant.Violation) { f.t.Error(v) }),
	})
	n.server.Register("Limit", n.RPC())
	f.mu.Lock()
	f.entries[id] = n
	f.mu.Unlock()
	go func() {
		defer close(n.done)
		n.Run(ctx)
	}()
	return n
}

func (f *fleet) instance(id string, state infra.InstanceState) infra.Instance {
	return infra.Instance{ID: id, Role: infra.RoleEntry, State: state, RPCAddr: id}
}

// list sets the platform's instance list to the entries that run.
func (f *fleet) list() {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []infra.Instance
	for id, n := range f.entries {
		state := infra.Live
		if n.draining.Load() {
			state = infra.Leaving
		}
		list = append(list, f.instance(id, state))
	}
	f.instances.Set(list)
}

func (f *fleet) dial(from, to string) (net.Conn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.entries[to]
	if !ok || f.unreachable[from+" "+to] {
		return nil, errorx.IllegalState.New("%s cannot reach %s", from, to)
	}
	client, server := net.Pipe()
	go n.server.ServeConn(server)
	return client, nil
}

// kill stops an entry without a handover.
func (f *fleet) kill(id string) {
	f.mu.Lock()
	n := f.entries[id]
	delete(f.entries, id)
	f.mu.Unlock()
	n.stop()
	n.server.Close()
	n.Pool.Close()
	<-n.done
}

func (f *fleet) close() {
	for id := range f.entries {
		f.kill(id)
	}
}

// admit sends one request of a customer through an entry and returns whether
// it was admitted and the Retry-After of the refusal.
func (f *fleet) admit(id, customer string) (bool, time.Duration) {
	f.t.Helper()
	c := f.config.Current().State.Customers[customer]
	l := Limits{Rate: c.Rate, Burst: c.Burst}
	ok, wait, _ := f.entries[id].Admit(f.t.Context(), customer, l)
	if ok && !f.checker.Check(time.Now(), customer, l) {
		f.t.Errorf("customer %s: admitted more than %+v", customer, l)
	}
	return ok, wait
}

// withFleet runs body with a fleet of three entries that hold all shares.
func withFleet(t *testing.T, customers map[string]config.Customer, body func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, customers, "a", "b", "c")
		defer f.close()
		time.Sleep(2 * time.Second)
		body(f)
	})
}

func TestSingleCaller_IsNotRefusedWithinRate(t *testing.T) {
	for _, l := range []Limits{{Rate: 10, Burst: 1}, {Rate: 0.5, Burst: 1}, {Rate: 0.5, Burst: 3}, {Rate: 7, Burst: 2}, {Rate: 40, Burst: 30}, {Rate: 100, Burst: 200}} {
		for _, entries := range []int{1, 3} {
			t.Run(fmt.Sprintf("rate %g, burst %g, entries %d", l.Rate, l.Burst, entries), func(t *testing.T) {
				withFleet(t, map[string]config.Customer{"x": {Rate: l.Rate, Burst: l.Burst}}, func(f *fleet) {
					for round := range 3 {
						for i := range int(l.Burst) {
							if ok, _ := f.admit(string(rune('a'+i%entries)), "x"); !ok {
								f.t.Fatalf("round %d: request %d of the burst was refused", round, i)
							}
						}
						for i := range 50 {
							time.Sleep(time.Duration(float64(time.Second) / l.Rate))
							if ok, _ := f.admit(string(rune('a'+i%entries)), "x"); !ok {
								f.t.Fatalf("round %d: request %d at the rate was refused", round, i)
							}
						}
						time.Sleep(time.Duration(float64(time.Second) * l.Burst / l.Rate))
					}
				})
			})
		}
	}
}

func TestRequestBeyondBurst_IsRefusedWithRetryAfter(t *testing.T) {
	withFleet(t, map[string]config.Customer{"x": {Rate: 0.5, Burst: 3}}, func(f *fleet) {
		for range 3 {
			if ok, _ := f.admit("a", "x"); !ok {
				f.t.Fatal("refused within the burst")
			}
		}
		ok, wait := f.admit("b", "x")
		if ok || wait < 1900*time.Millisecond || wait > 2*time.Second {
			f.t.Fatalf("admitted %v, retry after %v", ok, wait)
		}
		time.Sleep(wait)
		if ok, _ := f.admit("c", "x"); !ok {
			f.t.Fatal("refused after Retry-After")
		}
	})
}
