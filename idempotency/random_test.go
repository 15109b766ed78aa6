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

// fault is what goes wrong during a run.
type fault string

const (
	logDown    fault = "log down"
	loseAnswer fault = "append answers lost"
	slowLog    fault = "log slow"
	cutPeers   fault = "entries cut off"
	splitViews fault = "entries see different members"
	death      fault = "entries die"
)

var faults = []fault{logDown, loseAnswer, slowLog, cutPeers, splitViews, death}

const entries = 3

// rig is a few entries with a log.
type rig struct {
	t        *testing.T
	rnd      *rand.Rand
	net      *network.Network
	log      *standin.Log
	wrapped  infra.Log // what entries use
	members  membership.Static
	services []*Service
	checks   *invariant.Set

	mu   sync.Mutex
	dead map[*Service]bool
	runs map[string]int // by key: runs that were not said to be not run
	ran  map[string]bool
}

func newRig(t *testing.T, seed uint64) *rig {
	return newRigOn(t, seed, func(log *standin.Log) infra.Log { return log })
}

// newRigOn is newRig on a log with a wrapper.
func newRigOn(t *testing.T, seed uint64, wrap func(*standin.Log) infra.Log) *rig {
	r := &rig{
		t: t, rnd: rand.New(rand.NewPCG(seed, 11)), net: network.New(), log: standin.NewLog(0, seed),
		checks: invariant.New(func(v invariant.Violation) { t.Error(v) }),
		dead:   make(map[*Service]bool), runs: make(map[string]int), ran: make(map[string]bool),
	}
	r.wrapped = wrap(r.log)
	for i := range entries {
		r.members = append(r.members, infra.Instance{
			ID: fmt.Sprint("e", i), Role: infra.RoleEntry, State: infra.Live, RPCAddr: fmt.Sprintf("10.0.0.%d:90", i+1),
		})
	}
	for i := range entries {
		r.services = append(r.services, r.start(i, r.members))
	}
	return r
}

// start starts entry i with a view of the members.
func (r *rig) start(i int, members membership.Members) *Service {
	pool := peer.NewPool(func(ctx context.Context, addr string) (net.Conn, error) {
		return r.net.DialContext(ctx, "tcp", addr)
	})
	s := NewService(Deps{ID: fmt.Sprint("e", i), Log: r.wrapped, Members: members, Peers: pool, Invariants: r.checks})
	server := peer.NewServer()
	server.Register(ServiceName, s.RPC())
	l := r.net.Listen(fmt.Sprintf("10.0.0.%d:90", i+1))
	go server.Serve(l)
	r.t.Cleanup(func() {
		_ = l.Close()
		server.Close()
		pool.Close()
	})
	return s
}

// IntN returns a random number.
func (r *rig) IntN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

// endpoint is the rest of the pipeline: it runs calls, or fails in each way.
func (r *rig) endpoint(s *Service) pipeline.Handler {
	return func(_ context.Context, c *pipeline.Call) *api.Error {
		key := c.R.Header.Get(Header)
		if r.IntN(6) == 0 {
			return api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "full").WithRetryAfter(time.Second)
		}
		r.mu.Lock()
		r.runs[key]++
		r.ran[c.ID] = true
		r.mu.Unlock()
		time.Sleep(time.Duration(r.IntN(500)) * time.Millisecond)
		r.mu.Lock()
		dead := r.dead[s]
		r.mu.Unlock()
		if dead { // the caller and the log hear nothing of it
			panic(http.ErrAbortHandler)
		}
		switch r.IntN(8) {
		case 0:
			return api.NewError(http.StatusBadGateway, api.CodeEndpointLost, "lost").WithOutcome(api.Unknown)
		case 1:
			panic(http.ErrAbortHandler)
		}
		c.W.WriteHeader(http.StatusCreated)
		_, _ = fmt.Fprintf(c.W, "answer %d to %s", r.runs[key], key)
		return nil
	}
}

// got is what one request saw.
type got struct {
	id   string
	err  *api.Error
	body string
	cut  bool
}

func (r *rig) send(entry int, id, key, body string) (out got) {
	w := httptest.NewRecorder()
	req := httptest.NewRequest(http.MethodPost, "/pickups", nil)
	req.Header.Set(Header, key)
	c := &pipeline.Call{
		W: w, R: req, ID: id, Customer: "c", RouteID: "pickups", Body: []byte(body),
		Route: config.Route{}, Deadline: time.Now().Add(5 * time.Second),
	}
	defer func() {
		if p := recover(); p != nil {
			out.cut = true
		}
		out.id, out.body = id, w.Body.String()
	}()
	r.mu.Lock()
	s := r.services[entry]
	r.mu.Unlock()
	out.err = s.Filter(r.endpoint(s))(context.Background(), c)
	return out
}

// TestRandomFaults resends calls through all entries under each fault alone
// and each pair.
func TestRandomFaults(t *testing.T) {
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
	r := newRig(t, seed)
	for _, f := range faults {
		r.prepare(f)
	}
	results := make([][]got, keys)
	var callers sync.WaitGroup
	for k := range keys {
		callers.Go(func() {
			for i := range sends {
				if i > 0 && r.IntN(3) > 0 {
					time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
				}
				key, id := fmt.Sprint("key", k), fmt.Sprint(k, "/", i)
				results[k] = append(results[k], r.send(r.IntN(entries), id, key, key))
			}
		})
	}
	for range 5 {
		time.Sleep(time.Duration(r.IntN(1500)) * time.Millisecond)
		for _, f := range faults {
			r.inject(f)
		}
	}
	r.log.SetFaults(standin.Faults{})
	callers.Wait()
	g.Expect(len(r.runs)).To(gomega.BeNumerically(">=", keys/3), "keys that ran")
	for k := range results {
		key := fmt.Sprint("key", k)
		g.Expect(r.runs[key]).To(gomega.BeNumerically("<=", 1), key)
		for _, out := range results[k] {
			r.check(key, out)
		}
	}
	time.Sleep(time.Minute)
}

// check compares what one request saw with what ran.
func (r *rig) check(key string, out got) {
	r.t.Helper()
	g := gomega.NewWithT(r.t)
	switch {
	case out.err == nil && !out.cut:
		g.Expect(out.body).To(gomega.Equal("answer 1 to " + key))
	case out.err != nil && out.err.Outcome == api.NotRun:
		g.Expect(r.ran[out.id]).To(gomega.BeFalse(), out.id)
		g.Expect(out.err.RetryAfter).To(gomega.BeNumerically(">", 0), out.err.Error())
	}
}

// prepare sets up a fault that holds throughout.
func (r *rig) prepare(f fault) {
	if f != splitViews {
		return
	}
	for i, s := range r.services {
		s.deps.Members = membership.Static{r.members[i], r.members[(i+1)%entries]}
	}
}

// inject lets a fault happen, or cease, at random.
func (r *rig) inject(f fault) {
	on := r.IntN(2) == 0
	switch {
	case f == logDown:
		r.log.SetFaults(standin.Faults{Down: on})
	case f == loseAnswer:
		r.log.SetFaults(standin.Faults{LoseAnswer: 0.5, Refuse: 0.2})
	case f == slowLog:
		r.log.SetFaults(standin.Faults{Delay: time.Duration(r.IntN(3000)) * time.Millisecond})
	case f == cutPeers:
		addr := r.members[r.IntN(entries)].RPCAddr
		r.net.Refuse(addr, on)
		r.net.Cut(addr)
	case f == death:
		r.kill(r.IntN(entries))
	}
}

// kill replaces an entry; nothing of the old one is stored any more.
func (r *rig) kill(i int) {
	old := r.services[i]
	r.net.Cut(r.members[i].RPCAddr)
	for len(old.finishing) < maxFinishing {
		old.finishing <- struct{}{}
	}
	next := r.start(i, old.deps.Members)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead[old] = true
	r.services[i] = next
}
