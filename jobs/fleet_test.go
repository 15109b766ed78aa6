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

// fleet is a few entries and sidecars on one log, all in one synctest bubble.
type fleet struct {
	t         *testing.T
	log       *standin.Log
	retention time.Duration
	inv       *invariant.Set
	config    *config.Holder
	runs      sync.Map // custom id -> *runs

	mu       sync.Mutex
	entries  map[string]*entry
	sidecars map[string]*sidecar
	members  []infra.Instance
	split    bool          // entries see only themselves, sidecars one entry each
	slow     time.Duration // added to the run of each item
	wg       sync.WaitGroup
}

// view is how one instance sees the members.
type view struct {
	*fleet
	of     string
	number int
}

// Entries implements membership.Members.
func (v view) Entries() []infra.Instance {
	all := v.fleet.Entries()
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.split || len(all) == 0 {
		return all
	}
	for _, m := range all {
		if m.ID == v.of {
			return []infra.Instance{m}
		}
	}
	i := v.number % len(all)
	return all[i : i+1]
}

type entry struct {
	id      string
	service *jobs.Service
	handler http.Handler
	server  *peer.Server
	cancel  context.CancelFunc
}

// runs counts how often an item ran.
type runs struct {
	mu       sync.Mutex
	n        int
	last     time.Time // when it last started
	until    time.Time // when it last ran
	accepted time.Time // when an owner accepted a result
}

func newFleet(t *testing.T, retention time.Duration, seed uint64) *fleet {
	f := &fleet{
		t:         t,
		log:       standin.NewLog(retention, seed),
		retention: retention,
		config:    new(config.Holder),
		entries:   make(map[string]*entry),
		sidecars:  make(map[string]*sidecar),
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
func (f *fleet) Entries() []infra.Instance {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]infra.Instance(nil), f.members...)
}

// Endpoints implements membership.Members.
func (f *fleet) Endpoints(string) []infra.Instance { return nil }

func (f *fleet) dial(_ context.Context, addr string) (net.Conn, error) {
	f.mu.Lock()
	e := f.entries[addr]
	f.mu.Unlock()
	if e == nil {
		return nil, peer.Unreachable.New("no entry %s", addr)
	}
	near, far := net.Pipe()
	go e.server.ServeConn(far)
	return near, nil
}

// start adds an entry that is listed at once.
func (f *fleet) start(id string) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{id: id, server: peer.NewServer(), cancel: cancel}
	pool := peer.NewPool(f.dial)
	e.service = jobs.NewService(jobs.Options{
		Self: id, Log: f.log, Members: view{f, id, 0}, Pool: pool, Config: f.config,
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

// kill ends an entry at once; the list shows it gone after lag.
func (f *fleet) kill(id string, lag time.Duration) {
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

// any returns some running entry.
func (f *fleet) any() *entry {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range f.members {
		if e := f.entries[m.ID]; e != nil {
			return e
		}
	}
	return nil
}

func (f *fleet) close() {
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
	time.Sleep(time.Minute) // calls under way end
}

// call sends a request of customer a to some entry.
func (f *fleet) call(method, path, contentType, key, body string) (int, string) {
	return f.callAt(f.any(), method, path, contentType, key, body)
}

func (f *fleet) callAt(e *entry, method, path, contentType, key, body string) (int, string) {
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

// sidecar is a small fake: it pulls, runs items for some time and reports.
type sidecar struct {
	id      string
	f       *fleet
	client  *jobs.Client
	rnd     *rand.Rand
	cancel  context.CancelFunc
	run     func(w *api.Work) api.Result // how items end; nil: done
	mu      sync.Mutex
	running map[api.WorkRef]context.CancelFunc
	ended   map[api.WorkRef]api.Result
}

// sidecarSlots is the number of items that a fake sidecar runs at once.
const sidecarSlots = 4

func (f *fleet) startSidecar(id string, seed uint64, run func(*api.Work) api.Result) *sidecar {
	ctx, cancel := context.WithCancel(context.Background())
	pool := peer.NewPool(f.dial)
	s := &sidecar{
		id: id, f: f, client: jobs.NewClient(view{f, id, int(seed)}, pool, int(seed)), cancel: cancel, run: run,
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

func (f *fleet) killSidecar(id string) {
	f.mu.Lock()
	s := f.sidecars[id]
	delete(f.sidecars, id)
	f.mu.Unlock()
	s.cancel()
}

func (s *sidecar) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return sidecarSlots - len(s.running) - len(s.ended)
}

func (s *sidecar) pull(ctx context.Context) {
	for ctx.Err() == nil {
		n := s.free()
		if n <= 0 {
			time.Sleep(50 * time.Millisecond)
			continue
		}
		reply, err := s.client.Pull(ctx, api.PullArgs{Endpoint: s.id, Deployment: "d", Slots: n, Wait: time.Second})
		if err != nil {
			time.Sleep(200 * time.Millisecond)
		}
		for i := range reply.Work {
			s.begin(ctx, &reply.Work[i])
		}
	}
}

func (s *sidecar) begin(ctx context.Context, w *api.Work) {
	ctx, cancel := context.WithCancel(ctx)
	s.mu.Lock()
	s.running[w.WorkRef] = cancel
	d := time.Duration(100+s.rnd.IntN(1500)) * time.Millisecond
	s.mu.Unlock()
	s.f.mu.Lock()
	d += s.f.slow
	s.f.mu.Unlock()
	s.f.wg.Go(func() {
		defer cancel()
		v, _ := s.f.runs.LoadOrStore(w.CustomID, new(runs))
		count := v.(*runs)
		count.mu.Lock()
		count.n++
		count.last = time.Now()
		count.mu.Unlock()
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-ctx.Done():
			count.ended()
			s.mu.Lock()
			delete(s.running, w.WorkRef)
			s.mu.Unlock()
			return
		case <-t.C:
			count.ended()
		}
		r := api.Result{State: api.ResultDone, Status: 200, Body: fmt.Appendf(nil, `{"by":%q}`, w.Attempt)}
		if s.run != nil {
			r = s.run(w)
		}
		r.WorkRef = w.WorkRef
		s.mu.Lock()
		delete(s.running, w.WorkRef)
		s.ended[w.WorkRef] = r
		s.mu.Unlock()
	})
}

// report hands in what ended, and the heartbeat.
func (s *sidecar) report(ctx context.Context) {
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
				s.f.noteAccepted(r.CustomID)
			}
		}
		s.mu.Unlock()
		if err != nil && !errorx.HasTrait(err, errorx.Temporary()) {
			time.Sleep(time.Second)
		}
	}
}

// noteAccepted notes that an owner has accepted a result of an item.
func (f *fleet) noteAccepted(customID string) {
	v, _ := f.runs.Load(customID)
	r := v.(*runs)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted = time.Now()
}

func (r *runs) ended() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.until = time.Now()
}

// lines returns a batch file of n items.
func lines(prefix string, n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id":"%s-%d","method":"POST","url":"/v1/chat/completions","body":{"model":"m","messages":[]}}`+"\n", prefix, i)
	}
	return b.String()
}
