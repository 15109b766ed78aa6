package idempotency

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/membership"
	"dandelionrelay/peer"
	"dandelionrelay/pipeline"
	"dandelionrelay/standin/network"
	standin "dandelionrelay/standin/platform"
)

var seeds = flag.Int("seeds", 5, "number of random seeds")

// fault is a fault injected during a run.
type fault string

const (
	logDown      fault = "log down"
	loseResponse fault = "append responses lost"
	slowLog      fault = "log slow"
	cutPeers     fault = "entries partitioned"
	splitViews   fault = "entries see different members"
	entryCrash   fault = "entries crash"
)

var faults = []fault{logDown, loseResponse, slowLog, cutPeers, splitViews, entryCrash}

const entries = 3

// testFleet is a number of entries with a log on an in-memory network.
type testFleet struct {
	t          *testing.T
	rnd        *rand.Rand
	net        *network.Network
	log        *standin.Log
	entryLog   infra.Log // log as the entries use it
	members    membership.Static
	services   []*Service
	invariants *invariant.Set

	mu     sync.Mutex
	killed map[*Service]bool
	runs   map[string]int  // by key: runs not reported as not run
	ran    map[string]bool // by request ID
}

func newTestFleet(t *testing.T, seed uint64) *testFleet {
	return newTestFleetOn(t, seed, func(log *standin.Log) infra.Log { return log })
}

// newTestFleetOn is newTestFleet with a wrapper around the log.
func newTestFleetOn(t *testing.T, seed uint64, wrap func(*standin.Log) infra.Log) *testFleet {
	f := &testFleet{
		t: t, rnd: rand.New(rand.NewPCG(seed, 11)), net: network.New(), log: standin.NewLog(0, seed),
		invariants: invariant.New(func(v invariant.Violation) { t.Error(v) }),
		killed:     make(map[*Service]bool), runs: make(map[string]int), ran: make(map[string]bool),
	}
	f.entryLog = wrap(f.log)
	for i := range entries {
		f.members = append(f.members, infra.Instance{
			ID: fmt.Sprint("e", i), Role: infra.RoleEntry, State: infra.Live, RPCAddr: fmt.Sprintf("10.0.0.%d:90", i+1),
		})
	}
	for i := range entries {
		f.services = append(f.services, f.start(i, f.members))
	}
	return f
}

// start starts entry i with the given view of the members.
func (f *testFleet) start(i int, members membership.Members) *Service {
	pool := peer.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return f.net.DialContext(ctx, "tcp", addr)
	})
	s := NewService(Deps{ID: fmt.Sprint("e", i), Log: f.entryLog, Members: members, Peers: pool, Invariants: f.invariants})
	server := peer.NewServer()
	server.Register(ServiceName, s.RPC())
	l := f.net.Listen(fmt.Sprintf("10.0.0.%d:90", i+1))
	go server.Serve(l)
	f.t.Cleanup(func() {
		_ = l.Close()
		server.Close()
		pool.Close()
	})
	return s
}

// IntN returns a random number in [0, n).
func (f *testFleet) IntN(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rnd.IntN(n)
}

// endpoint returns the rest of the pipeline: a handler that runs calls, reports
// them as not run, or fails with an unknown outcome or a panic.
func (f *testFleet) endpoint(s *Service) pipeline.Handler {
	return func(_ context.Context, c *pipeline.Call) *api.Error {
		key := c.R.Header.Get(Header)
		if f.IntN(6) == 0 {
			return api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "full").WithRetryAfter(time.Second)
		}
		f.mu.Lock()
		f.runs[key]++
		f.ran[c.ID] = true
		f.mu.Unlock()
		time.Sleep(time.Duration(f.IntN(500)) * time.Millisecond)
		f.mu.Lock()
		killed := f.killed[s]
		f.mu.Unlock()
		if killed { // neither the caller nor the log gets a response
			panic(http.ErrAbortHandler)
		}
		switch f.IntN(8) {
		case 0:
			return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "lost").WithOutcome(api.Unknown)
		case 1:
			panic(http.ErrAbortHandler)
		}
		f.mu.Lock()
		runs := f.runs[key]
		f.mu.Unlock()
		c.W.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(c.W, "answer %d to %s", runs, key)
		return nil
	}
}

// outcome is the outcome of one request as its caller saw it.
type outcome struct {
	id      string
	err     *api.Error
	body    string
	aborted bool // the response was aborted
}

// send sends a request through entry.
func (f *testFleet) send(entry int, id, key, body string) (out outcome) {
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/pickups", nil)
	req.Header.Set(Header, key)
	c := &pipeline.Call{
		W: w, R: req, ID: id, Customer: "c", RouteID: "pickups", Body: []byte(body),
		Route: config.Route{}, Deadline: time.Now().Add(5 * time.Second),
	}
	defer func() {
		if p := recover(); p != nil {
			out.aborted = true
		}
		out.id, out.body = id, w.Body.String()
	}()
	f.mu.Lock()
	s := f.services[entry]
	f.mu.Unlock()
	out.err = s.Filter(f.endpoint(s))(context.Background(), c)
	return out
}

// TestService_RandomFaults resends calls through all entries under each fault and
// each pair of faults: no key may run twice, and no call that was reported as not
// run may have run.
func TestService_RandomFaults(t *testing.T) {
	for seed := range uint64(*seeds) {
		for i, a := range faults {
			for _, b := range faults[i:] {
				t.Run(fmt.Sprintf("%s+%s/seed=%d", a, b, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runFaults(t, seed, a, b) })
				})
			}
		}
	}
}

func runFaults(t *testing.T, seed uint64, faults ...fault) {
	const keys, sends = 12, 5
	g := gomega.NewWithT(t)
	f := newTestFleet(t, seed)
	for _, kind := range faults {
		f.prepare(kind)
	}
	results := make([][]outcome, keys)
	var callers sync.WaitGroup
	for k := range keys {
		callers.Go(func() {
			for i := range sends {
				if i > 0 && f.IntN(3) > 0 {
					time.Sleep(time.Duration(f.IntN(3000)) * time.Millisecond)
				}
				key, id := fmt.Sprint("key", k), fmt.Sprint(k, "/", i)
				results[k] = append(results[k], f.send(f.IntN(entries), id, key, key))
			}
		})
	}
	for range 5 {
		time.Sleep(time.Duration(f.IntN(1500)) * time.Millisecond)
		for _, kind := range faults {
			f.inject(kind)
		}
	}
	f.log.SetFaults(standin.Faults{})
	callers.Wait()
	g.Expect(len(f.runs)).To(gomega.BeNumerically(">=", keys/3), "keys that ran")
	for k := range results {
		key := fmt.Sprint("key", k)
		g.Expect(f.runs[key]).To(gomega.BeNumerically("<=", 1), key)
		for _, out := range results[k] {
			f.check(key, out)
		}
	}
	time.Sleep(time.Minute)
}

// check compares the outcome of one request with what the endpoint ran.
func (f *testFleet) check(key string, out outcome) {
	f.t.Helper()
	g := gomega.NewWithT(f.t)
	switch {
	case out.err == nil && !out.aborted:
		g.Expect(out.body).To(gomega.Equal("answer 1 to " + key))
	case out.err != nil && out.err.Outcome == api.NotRun:
		g.Expect(f.ran[out.id]).To(gomega.BeFalse(), out.id)
		g.Expect(out.err.RetryAfter).To(gomega.BeNumerically(">", 0), out.err.Error())
	}
}

// prepare sets up a fault that lasts for the whole run.
func (f *testFleet) prepare(kind fault) {
	if kind != splitViews {
		return
	}
	for i, s := range f.services {
		s.deps.Members = membership.Static{f.members[i], f.members[(i+1)%entries]}
	}
}

// inject starts or ends a fault at random.
func (f *testFleet) inject(kind fault) {
	on := f.IntN(2) == 0
	switch {
	case kind == logDown:
		f.log.SetFaults(standin.Faults{Down: on})
	case kind == loseResponse:
		f.log.SetFaults(standin.Faults{LoseAnswer: 0.5, Refuse: 0.2})
	case kind == slowLog:
		f.log.SetFaults(standin.Faults{Delay: time.Duration(f.IntN(3000)) * time.Millisecond})
	case kind == cutPeers:
		addr := f.members[f.IntN(entries)].RPCAddr
		f.net.SetRefusing(addr, on)
		f.net.CloseConnections(addr)
	case kind == entryCrash:
		f.kill(f.IntN(entries))
	}
}

// kill replaces an entry. The old one stores no further ends of calls.
func (f *testFleet) kill(i int) {
	old := f.services[i]
	f.net.CloseConnections(f.members[i].RPCAddr)
	for len(old.finishSlots) < maxPendingFinishes {
		old.finishSlots <- struct{}{}
	}
	next := f.start(i, old.deps.Members)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.killed[old] = true
	f.services[i] = next
}
