package online

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/boottime"
	"dandelionrelay/config"
	"dandelionrelay/origin"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// testService is a Service with simulated endpoints. It is used within a synctest bubble.
type testService struct {
	*gomega.WithT
	*Service
	network     *network.Network
	configFresh bool
	logs        *bytes.Buffer
}

func newTestService(t *testing.T, endpoints ...*streams.Endpoint) *testService {
	r := &testService{WithT: gomega.NewWithT(t), network: network.New(), configFresh: true, logs: new(bytes.Buffer)}
	var list []placement.Endpoint
	for _, e := range endpoints {
		server := e.Serve(r.network.Listen(e.ID + ":1"))
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: "a", Version: e.Version, Slots: e.Slots})
	}
	table := placement.NewTable("self", "a", rand.New(rand.NewPCG(1, 1)), nil)
	table.SetEndpoints(list)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return r.network.DialContext(ctx, "tcp", addr)
	}
	clock := boottime.Clock(func() time.Duration { return time.Duration(time.Now().UnixNano()) })
	r.Service = New(Deps{
		Table:        table,
		Pool:         upstream.NewPool(streams.HeaderID, dial, func() {}),
		Dialect:      streams.Dialect{},
		Clock:        clock,
		Log:          zerolog.New(zerolog.SyncWriter(r.logs)),
		Metrics:      NewMetrics(prometheus.NewRegistry()),
		Suspects:     quarantine.NopTracker{},
		Silences:     quarantine.NewSilences(quarantine.NopTracker{}, clock, zerolog.Nop(), prometheus.NewRegistry()),
		ConfigFresh:  func(*pipeline.Call) bool { return r.configFresh },
		RecordOrigin: func(string, origin.Origin) {},
		ConfigAge:    func() time.Duration { return 0 },
	})
	return r
}

// newFleetEntry returns the Service of entry i of a fleet whose endpoints are on a network
// that all its entries share. It has no endpoints yet.
func newFleetEntry(t *testing.T, n *network.Network, i int) *Service {
	r := newTestService(t)
	r.Table = placement.NewTable(fmt.Sprint("entry-", i), "a", rand.New(rand.NewPCG(uint64(i), 2)), nil)
	r.Pool = upstream.NewPool(streams.HeaderID, func(ctx context.Context, addr string) (net.Conn, error) {
		return n.DialContext(ctx, "tcp", addr)
	}, func() {})
	return r.Service
}

// callerRecorder is an http.ResponseWriter that records the response and its timing.
type callerRecorder struct {
	header       http.Header
	status       int
	body         bytes.Buffer
	first        time.Time
	maxGap       time.Duration // longest gap between two writes
	last         time.Time
	disconnected bool // writes fail, as on a closed connection
}

func (c *callerRecorder) Header() http.Header { return c.header }
func (c *callerRecorder) WriteHeader(s int)   { c.status = s }
func (c *callerRecorder) Flush()              {}
func (c *callerRecorder) Write(b []byte) (int, error) {
	if c.disconnected {
		return 0, errors.New("connection closed by the caller")
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.maxGap = max(c.maxGap, now.Sub(c.last))
	}
	c.last = now
	return c.body.Write(b)
}

// Latency goal, gap goal and timeout of the test route.
const (
	goal    = 300 * time.Millisecond
	gap     = 400 * time.Millisecond
	timeout = 5 * time.Second
)

// newCall returns a call and the writer that records its response. Only a resumable call
// may be sent to a second endpoint.
func newCall(id string, resumable bool) (*pipeline.Call, *callerRecorder) {
	w := &callerRecorder{header: make(http.Header)}
	request, err := http.NewRequest(http.MethodPost, "http://host/a/b?c=d", nil)
	if err != nil {
		panic(err)
	}
	request.RequestURI = "/a/b?c=d"
	request.Header.Set(streams.HeaderID, id)
	request.Header.Set("Authorization", "Bearer secret")
	request.Header.Set("X-Other", "kept")
	attempts := 1
	if resumable {
		attempts = 2
	}
	return &pipeline.Call{
		W: w, R: request, ID: id, Body: []byte("body"), Customer: "garden",
		Received: time.Now(), Deadline: time.Now().Add(timeout),
		Snapshot: config.NewSnapshot(1, &config.State{}),
		Route: config.Route{Deployment: "lm", Provided: &config.ProvidedRoute{
			Stream: true, Resumable: resumable, MaxEndpoints: attempts, Goal: goal, GapGoal: gap,
		}},
	}, w
}

func newEndpoint(id string, behave func(r *http.Request, n int) streams.Behaviour) *streams.Endpoint {
	return &streams.Endpoint{ID: id, Events: 20, FirstEventDelay: 30 * time.Millisecond, EventInterval: 20 * time.Millisecond, Slots: 8, BehaviourFor: behave}
}

// always returns b for all requests.
func always(b streams.Behaviour) func(*http.Request, int) streams.Behaviour {
	return func(*http.Request, int) streams.Behaviour { return b }
}

// onFirst returns b for the first request of an endpoint and the default behaviour for
// later ones.
func onFirst(b streams.Behaviour) func(*http.Request, int) streams.Behaviour {
	return func(_ *http.Request, n int) streams.Behaviour {
		if n == 1 {
			return b
		}
		return streams.Behaviour{}
	}
}

func TestStream_RelayedUnchanged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint("e", nil)
		r := newTestService(t, e)
		c, w := newCall("q", false)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(w.status).To(gomega.Equal(http.StatusOK))
		r.Expect(w.body.String()).To(gomega.Equal(e.ResponseBody("q")))
		r.Expect(w.header.Get(streams.HeaderSigned)).NotTo(gomega.BeEmpty())
		run := e.Runs()[0]
		r.Expect(run.Header.Get("Authorization")).To(gomega.BeEmpty())
		r.Expect(run.Header.Get("X-Other")).To(gomega.Equal("kept"))
		r.Expect(run.Header.Get(streams.HeaderCustomer)).To(gomega.Equal("garden"))
		r.Expect(w.maxGap).To(gomega.BeNumerically("<=", 20*time.Millisecond), "events are relayed without delay")
	})
}

// For each kind of endpoint failure during a resumable stream the caller gets each event
// exactly once, and no gap exceeds the gap goal of the route.
func TestStream_ResumesAtOtherEndpoint(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"aborted":                   {AbortAfter: 5},
		"stalled":                   {StallAfter: 5},
		"status 500":                {Status: http.StatusInternalServerError},
		"unsigned":                  {Unsigned: true},
		"not run":                   {Status: http.StatusServiceUnavailable, NotRun: true},
		"aborted after first event": {AbortAfter: 1},
		"stalled after first event": {StallAfter: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				seen := 0
				behave := func(*http.Request, int) streams.Behaviour {
					seen++
					if seen == 1 {
						return b
					}
					return streams.Behaviour{}
				}
				one, two := newEndpoint("one", behave), newEndpoint("two", behave)
				r := newTestService(t, one, two)
				c, w := newCall("q", true)
				r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
				r.Expect(w.body.String()).To(gomega.Equal(one.ResponseBody("q")))
				r.Expect(w.maxGap).To(gomega.BeNumerically("<", gap))
				r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeNumerically("<=", 2))
			})
		})
	}
}

// A request that must not be retried is sent to a second endpoint only if the first one
// states that it has not run it.
func TestRequest_NotRetriedUnlessNotRun(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"aborted":    {AbortAfter: 5},
		"unsigned":   {Unsigned: true},
		"status 500": {Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, two := newEndpoint("one", always(b)), newEndpoint("two", always(b))
				r := newTestService(t, one, two)
				c, w := newCall("q", false)
				err := r.Handle(t.Context(), c)
				r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.Equal(1))
				if err != nil {
					r.Expect(err.Status).To(gomega.Equal(http.StatusBadGateway))
					r.Expect(err.Outcome).To(gomega.Equal(api.Unknown))
				} else {
					r.Expect(w.status).To(gomega.Equal(http.StatusInternalServerError), "the endpoint's own response")
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		refuse := onFirst(streams.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true})
		one, two := newEndpoint("one", refuse), newEndpoint("two", refuse)
		r := newTestService(t, one, two)
		c, w := newCall("q", false)
		err := r.Handle(t.Context(), c)
		r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeNumerically("<=", 1))
		r.Expect(err != nil && err.Outcome == api.NotRun || w.status == http.StatusOK).To(gomega.BeTrue())
	})
}

// If all endpoints refuse, the caller gets an error immediately, which says that
// the request has not run and when to retry.
func TestRequest_RefusedByAllEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := always(streams.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true})
		one, two := newEndpoint("one", refuse), newEndpoint("two", refuse)
		r := newTestService(t, one, two)
		c, _ := newCall("q", true)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("<", goal/4))
		r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeZero())
	})
}

// Two requests are placed at an endpoint that has one slot but is listed with eight, as
// happens if two entries place requests at the same time. The second request moves to an
// endpoint with a free slot and starts within the latency goal.
func TestRequest_MovesToFreeSlotIfNotStarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := newEndpoint("long", nil)
		long.Slots, long.Events = 1, 200
		r := newTestService(t, long)
		busy, _ := newCall("busy", false)
		done := make(chan struct{})
		go func() { r.Handle(t.Context(), busy); close(done) }()
		time.Sleep(50 * time.Millisecond)
		idle := newEndpoint("idle", nil)
		server := idle.Serve(r.network.Listen("idle:1"))
		t.Cleanup(func() { _ = server.Close() })
		r.Table.SetEndpoints([]placement.Endpoint{
			{ID: "long", Address: "long:1", Deployment: "lm", DataCentre: "a", Slots: 8},
			{ID: "idle", Address: "idle:1", Deployment: "lm", DataCentre: "b", Slots: 8},
		})
		c, w := newCall("q", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(w.body.String()).To(gomega.Equal(idle.ResponseBody("q")))
		r.Expect(w.first.Sub(c.Received)).To(gomega.BeNumerically("<", goal))
		<-done
	})
}

// A request crashes each endpoint that runs it, and its caller keeps retrying it while
// another request runs concurrently. The crashing request is no longer sent once it is
// quarantined. The other one, which may have run at the same endpoints, must not be
// quarantined and must complete when it is sent again.
func TestRequest_QuarantinedAfterCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := func(r *http.Request, _ int) streams.Behaviour {
			return streams.Behaviour{Crash: r.Header.Get("X-Poison") != ""}
		}
		var endpoints []*streams.Endpoint
		for i := range 9 {
			endpoints = append(endpoints, newEndpoint(fmt.Sprint("e", i), crash))
		}
		r := newTestService(t, endpoints...)
		suspects := quarantine.NewSharedTable(&keyed.Handle{Log: keyed.NewLog(1)}, zerolog.Nop(), nil)
		r.Suspects = suspects
		handle := pipeline.Chain(r.Handle, quarantine.Filter(suspects))
		for n := range 6 {
			other, _ := newCall(fmt.Sprint("innocent-", n), true)
			other.Body = []byte("innocent")
			ended := make(chan *api.Error)
			go func() { ended <- handle(t.Context(), other) }()
			crashing, _ := newCall(fmt.Sprint("poison-", n), true)
			crashing.R.Header.Set("X-Poison", "1")
			r.Expect(handle(t.Context(), crashing)).NotTo(gomega.BeNil())
			<-ended
			time.Sleep(time.Minute)
		}
		runs := 0
		for _, e := range endpoints {
			for _, run := range e.Runs() {
				if run.Header.Get("X-Poison") != "" {
					runs++
				}
			}
		}
		r.Expect(runs).To(gomega.Equal(quarantine.CrashThreshold))
		other, w := newCall("last", true)
		other.Body = []byte("innocent")
		r.Expect(handle(t.Context(), other)).To(gomega.BeNil())
		r.Expect(w.status).To(gomega.Equal(http.StatusOK))
	})
}

// If an endpoint does not respond before the deadline, the caller gets the error at the
// deadline and the slot is released.
func TestRequest_EndsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint("e", nil)
		e.FirstEventDelay = time.Minute
		r := newTestService(t, e)
		c, _ := newCall("q", false)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Status).To(gomega.Equal(http.StatusGatewayTimeout))
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("~", timeout, 100*time.Millisecond))
		r.Expect(r.Table.HasFreeSlot(r.Clock(), placement.Request{Deployment: "lm"})).To(gomega.BeTrue(), "the endpoint may only be busy and stays in use")
	})
}

// A caller that disconnects releases the slot at the endpoint immediately.
func TestRequest_EndsWhenCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint("e", nil)
		e.Events = 1000
		r := newTestService(t, e)
		c, _ := newCall("q", true)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		r.Expect(r.Handle(ctx, c)).NotTo(gomega.BeNil())
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		r.Expect(r.Table.LocalLoads()).To(gomega.BeEmpty())
		r.Expect(e.Runs()).To(gomega.HaveLen(1), "no other endpoint is tried")
	})
}

// Nothing is sent to an endpoint once the configuration is no longer confirmed.
func TestRequest_NotSentWithStaleConfig(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := newEndpoint("e", nil)
		r := newTestService(t, e)
		r.configFresh = false
		c, _ := newCall("q", true)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Code).To(gomega.Equal(api.CodeConfigStale))
		r.Expect(e.Runs()).To(gomega.BeEmpty())
	})
}

// Each request is logged in exactly one line, with its ID and its endpoint.
func TestRequest_LogsOneLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestService(t, newEndpoint("e", nil))
		c, _ := newCall("the-id", true)
		r.Handle(t.Context(), c)
		r.Expect(bytes.Count(r.logs.Bytes(), []byte("\n"))).To(gomega.Equal(1))
		r.Expect(r.logs.String()).To(gomega.ContainSubstring(`"request":"the-id"`))
		r.Expect(r.logs.String()).To(gomega.ContainSubstring(`"endpoint":"e"`))
	})
}
