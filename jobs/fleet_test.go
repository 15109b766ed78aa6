package jobs_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/jobs"
	"dandelionrelay/peer"
	standin "dandelionrelay/standin/platform"
)

// testFleet is a few entries and sidecars on one log, all in one synctest bubble.
type testFleet struct {
	t         *testing.T
	log       *standin.Log
	retention time.Duration
	inv       *invariant.Set
	config    *config.Holder
	runs      sync.Map // custom ID -> *itemRuns

	mu           sync.Mutex
	entries      map[string]*entry
	sidecars     map[string]*fakeSidecar
	members      []infra.Instance
	splitView    bool          // each entry sees only itself, and each sidecar only one entry
	extraRunTime time.Duration // added to the run of each item
	wg           sync.WaitGroup
}

// memberView is the list of members as one instance sees it.
type memberView struct {
	*testFleet
	viewer string // ID of that instance
	index  int    // with splitView: selects the entry that a sidecar sees
}

// Entries implements membership.Members.
func (v memberView) Entries() []infra.Instance {
	all := v.testFleet.Entries()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.splitView || len(all) == 0 {
		return all
	}
	for _, m := range all {
		if m.ID == v.viewer {
			return []infra.Instance{m}
		}
	}
	i := v.index % len(all)
	return all[i : i+1]
}

type entry struct {
	id      string
	service *jobs.Service
	handler http.Handler
	server  *peer.Server
	cancel  context.CancelFunc
}

// itemRuns records the runs of an item.
type itemRuns struct {
	mu         sync.Mutex
	count      int       // of runs started
	lastStart  time.Time // when a run last started
	lastEnd    time.Time // when a run last ended
	acceptedAt time.Time // when an owner last accepted a result
}

func newFleet(t *testing.T, retention time.Duration, seed uint64) *testFleet {
	f := &testFleet{
		t:         t,
		log:       standin.NewLog(retention, seed),
		retention: retention,
		config:    new(config.Holder),
		entries:   make(map[string]*entry),
		sidecars:  make(map[string]*fakeSidecar),
	}
	f.inv = invariant.New(func(v invariant.Violation) { t.Error(v) })
	f.config.Set(config.NewSnapshot(1, &config.State{
		Customers: map[string]config.Customer{"a": {Weight: 1}, "b": {Weight: 3}},
		Routes: map[string]config.Route{
			"chat":    {Model: "m", Deployment: "d", Idempotent: true},
			"private": {Model: "secret", Deployment: "d", Customers: []string{"b"}},
			"pickup":  {PathPrefix: "/pickup", Deployment: "d"},
		},
		Deployments: map[string]config.Deployment{"d": {Kind: config.KindModel, Slots: 4}},
	}))
	return f
}

// Entries implements membership.Members.
func (f *testFleet) Entries() []infra.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]infra.Instance(nil), f.members...)
}

// Endpoints implements membership.Members.
func (f *testFleet) Endpoints(string) []infra.Instance { return nil }

func (f *testFleet) dial(_ context.Context, addr string) (net.Conn, error) {
	f.mu.Lock()
	e := f.entries[addr]
	f.mu.Unlock()
	if e == nil {
		return nil, peer.Unreachable.New("no entry at address %s", addr)
	}
	clientConn, serverConn := net.Pipe()
	go e.server.ServeConn(serverConn)
	return clientConn, nil
}

// startEntry adds an entry, which appears in the list of members at once.
func (f *testFleet) startEntry(id string) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{id: id, server: peer.NewServer(), cancel: cancel}
	pool := peer.NewPool(f.dial)
	e.service = jobs.NewService(jobs.Options{
		Self: id, Log: f.log, Members: memberView{f, id, 0}, Pool: pool, Config: f.config,
		Invariants: f.inv, Retention: f.retention, ResultRetention: time.Hour,
	})
	e.handler = jobs.NewHandler(e.service)
	e.service.Register(e.server)
	f.mu.Lock()
	f.entries[id] = e
	f.members = append(f.members, infra.Instance{ID: id, Role: infra.RoleEntry, RPCAddr: id})
	f.mu.Unlock()
	f.wg.Go(func() {
		e.service.Run(ctx)
		pool.Close()
	})
	return e
}

// killEntry stops an entry at once and removes it from the list of members after
// lag.
func (f *testFleet) killEntry(id string, lag time.Duration) {
	f.mu.Lock()
	e := f.entries[id]
	delete(f.entries, id)
	f.mu.Unlock()
	e.cancel()
	e.server.Close()
	time.Sleep(lag)
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, m := range f.members {
		if m.ID == id {
			f.members = append(f.members[:i:i], f.members[i+1:]...)
			return
		}
	}
}

// anyEntry returns some running entry.
func (f *testFleet) anyEntry() *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if e := f.entries[m.ID]; e != nil {
			return e
		}
	}
	return nil
}

func (f *testFleet) close() {
	f.mu.Lock()
	for _, s := range f.sidecars {
		s.cancel()
	}
	for _, e := range f.entries {
		e.cancel()
		e.server.Close()
	}
	f.mu.Unlock()
	f.wg.Wait()
	time.Sleep(time.Minute) // until calls in flight have ended
}

// call sends a request of customer a to some entry.
func (f *testFleet) call(method, path, contentType, key, body string) (int, string) {
	return f.callAt(f.anyEntry(), method, path, contentType, key, body)
}

func (f *testFleet) callAt(e *entry, method, path, contentType, key, body string) (int, string) {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r = r.WithContext(jobs.WithCustomer(context.Background(), "a"))
	r.Header.Set("Content-Type", contentType)
	if key != "" {
		r.Header.Set(jobs.HeaderIdempotencyKey, key)
	}
	w := httptest.NewRecorder()
	e.handler.ServeHTTP(w, r)
	return w.Code, w.Body.String()
}

// fakeSidecar pulls items, waits instead of running them, and reports results.
type fakeSidecar struct {
	id       string
	fleet    *testFleet
	client   *jobs.Client
	rnd      *rand.Rand
	cancel   context.CancelFunc
	resultOf func(w *api.Work) api.Result // returns the result of an item; nil: done with status 200
	mu       sync.Mutex
	running  map[api.WorkRef]context.CancelFunc
	ended    map[api.WorkRef]api.Result // results that no owner has accepted yet
}

// sidecarSlots is the number of items that a fake sidecar runs at once.
const sidecarSlots = 4

func (f *testFleet) startSidecar(id string, seed uint64, resultOf func(*api.Work) api.Result) *fakeSidecar {
	ctx, cancel := context.WithCancel(context.Background())
	pool := peer.NewPool(f.dial)
	s := &fakeSidecar{
		id: id, fleet: f, client: jobs.NewClient(memberView{f, id, int(seed)}, pool, int(seed)), cancel: cancel, resultOf: resultOf,
		rnd:     rand.New(rand.NewPCG(seed, 1)),
		running: make(map[api.WorkRef]context.CancelFunc),
		ended:   make(map[api.WorkRef]api.Result),
	}
	f.mu.Lock()
	f.sidecars[id] = s
	f.mu.Unlock()
	f.wg.Go(func() { s.pull(ctx) })
	f.wg.Go(func() { s.report(ctx); pool.Close() })
	return s
}

func (f *testFleet) killSidecar(id string) {
	f.mu.Lock()
	s := f.sidecars[id]
	delete(f.sidecars, id)
	f.mu.Unlock()
	s.cancel()
}

func (s *fakeSidecar) freeSlots() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sidecarSlots - len(s.running) - len(s.ended)
}

func (s *fakeSidecar) pull(ctx context.Context) {
	for ctx.Err() == nil {
		n := s.freeSlots()
		if n <= 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reply, err := s.client.Pull(ctx, api.PullArgs{Endpoint: s.id, Deployment: "d", Slots: n, Wait: time.Second})
		if err != nil {
			time.Sleep(200 * time.Millisecond)
		}
		for i := range reply.Work {
			s.startItem(ctx, &reply.Work[i])
		}
	}
}

func (s *fakeSidecar) startItem(ctx context.Context, w *api.Work) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.running[w.WorkRef] = cancel
	d := time.Duration(100+s.rnd.IntN(1500)) * time.Millisecond
	s.mu.Unlock()
	s.fleet.mu.Lock()
	d += s.fleet.extraRunTime
	s.fleet.mu.Unlock()
	s.fleet.wg.Go(func() {
		defer cancel()
		v, _ := s.fleet.runs.LoadOrStore(w.CustomID, new(itemRuns))
		runs := v.(*itemRuns)
		runs.mu.Lock()
		runs.count++
		runs.lastStart = time.Now()
		runs.mu.Unlock()
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			runs.recordEnd()
			s.mu.Lock()
			delete(s.running, w.WorkRef)
			s.mu.Unlock()
			return
		case <-t.C:
			runs.recordEnd()
		}
		r := api.Result{State: api.ResultDone, Status: 200, Body: fmt.Appendf(nil, `{"by":%q}`, w.Attempt)}
		if s.resultOf != nil {
			r = s.resultOf(w)
		}
		r.WorkRef = w.WorkRef
		s.mu.Lock()
		delete(s.running, w.WorkRef)
		s.ended[w.WorkRef] = r
		s.mu.Unlock()
	})
}

// report sends the results and the heartbeat.
func (s *fakeSidecar) report(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(250 * time.Millisecond)
		args := api.ReportArgs{Endpoint: s.id}
		s.mu.Lock()
		for ref := range s.running {
			args.Running = append(args.Running, ref)
		}
		for ref, r := range s.ended {
			args.Running = append(args.Running, ref)
			args.Results = append(args.Results, r)
		}
		s.mu.Unlock()
		if len(args.Running) == 0 {
			continue
		}
		reply, err := s.client.Report(ctx, args)
		s.mu.Lock()
		for _, ref := range reply.Stop {
			if stop, ok := s.running[ref]; ok {
				stop()
			}
		}
		for _, r := range args.Results {
			if err == nil {
				delete(s.ended, r.WorkRef)
				s.fleet.recordAccepted(r.CustomID)
			}
		}
		s.mu.Unlock()
		if err != nil && !errorx.HasTrait(err, errorx.Temporary()) {
			time.Sleep(time.Second)
		}
	}
}

// recordAccepted records that an owner has accepted a result of an item.
func (f *testFleet) recordAccepted(customID string) {
	v, _ := f.runs.Load(customID)
	r := v.(*itemRuns)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acceptedAt = time.Now()
}

func (runs *itemRuns) recordEnd() {
	runs.mu.Lock()
	defer runs.mu.Unlock()
	runs.lastEnd = time.Now()
}

// batchFile returns a batch file of n items.
func batchFile(prefix string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`+"\n", prefix, i)
	}
	return b.String()
}
