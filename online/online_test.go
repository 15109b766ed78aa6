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
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/standin/keyed"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// rig is an online service before some endpoints, in a synctest bubble.
type rig struct {
	*gomega.WithT
	*Service
	network *network.Network
	fresh   bool
	logs    *bytes.Buffer
}

func newRig(t *testing.T, endpoints ...*streams.Endpoint) *rig {
	r := &rig{WithT: gomega.NewWithT(t), network: network.New(), fresh: true, logs: new(bytes.Buffer)}
	var list []placement.Endpoint
	for _, e := range endpoints {
		server := e.Serve(r.network.Listen(e.ID + ":1"))
		t.Cleanup(func() { _ = server.Close() })
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: "a", Slots: e.Slots})
	}
	table := placement.NewTable("self", "a", rand.New(rand.NewPCG(1, 1)), nil)
	table.SetEndpoints(list)
	dial := func(ctx context.Context, addr string) (net.Conn, error) {
		return r.network.DialContext(ctx, "tcp", addr)
	}
	r.Service = New(Deps{
		Table:       table,
		Pool:        upstream.NewPool(streams.HeaderID, dial, func() {}),
		Dialect:     streams.Dialect{},
		Clock:       boottime.Clock(func() time.Duration { return time.Duration(time.Now().UnixNano()) }),
		Log:         zerolog.New(zerolog.SyncWriter(r.logs)),
		Metrics:     NewMetrics(prometheus.NewRegistry()),
		Suspects:    quarantine.NoSuspects{},
		ConfigFresh: func(*pipeline.Call) bool { return r.fresh },
		ConfigAge:   func() time.Duration { return 0 },
	})
	return r
}

// caller records what a caller is sent, and when.
type caller struct {
	header http.Header
	status int
	body   bytes.Buffer
	first  time.Time
	gaps   time.Duration // the longest pause between two writes
	last   time.Time
	broken bool // the caller's connection is gone
}

func (c *caller) Header() http.Header { return c.header }
func (c *caller) WriteHeader(s int)   { c.status = s }
func (c *caller) Flush()              {}
func (c *caller) Write(b []byte) (int, error) {
	if c.broken {
		return 0, errors.New("gone")
	}
	now := time.Now()
	if c.first.IsZero() {
		c.first = now
	} else {
		c.gaps = max(c.gaps, now.Sub(c.last))
	}
	c.last = now
	return c.body.Write(b)
}

// goal, gap and timeout are those of the rig's route.
const (
	goal    = 300 * time.Millisecond
	gap     = 400 * time.Millisecond
	timeout = 5 * time.Second
)

// call returns a call with its caller. Only resumable ones may be repeated.
func call(id string, resumable bool) (*pipeline.Call, *caller) {
	w := &caller{header: make(http.Header)}
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

func worker(id string, behave func(r *http.Request, n int) streams.Behaviour) *streams.Endpoint {
	return &streams.Endpoint{ID: id, Events: 20, First: 30 * time.Millisecond, Gap: 20 * time.Millisecond, Slots: 8, Behave: behave}
}

// always returns a behaviour that never changes.
func always(b streams.Behaviour) func(*http.Request, int) streams.Behaviour {
	return func(*http.Request, int) streams.Behaviour { return b }
}

// firstly returns a behaviour for the first request only.
func firstly(b streams.Behaviour) func(*http.Request, int) streams.Behaviour {
	return func(_ *http.Request, n int) streams.Behaviour {
		if n == 1 {
			return b
		}
		return streams.Behaviour{}
	}
}

func TestAStreamIsPassedOnAsItIs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := worker("e", nil)
		r := newRig(t, e)
		c, w := call("q", false)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(w.status).To(gomega.Equal(http.StatusOK))
		r.Expect(w.body.String()).To(gomega.Equal(e.Stream("q")))
		r.Expect(w.header.Get(streams.HeaderVouched)).NotTo(gomega.BeEmpty())
		run := e.Runs()[0]
		r.Expect(run.Header.Get("Authorization")).To(gomega.BeEmpty())
		r.Expect(run.Header.Get("X-Other")).To(gomega.Equal("kept"))
		r.Expect(run.Header.Get(streams.HeaderCustomer)).To(gomega.Equal("garden"))
		r.Expect(w.gaps).To(gomega.BeNumerically("<=", 20*time.Millisecond), "events are passed on as they come")
	})
}

// Whatever an endpoint does to a stream that may be resumed, the caller gets
// each event once, without a pause over the bound.
func TestAResumableStreamGoesOnElsewhere(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"cut":           {CutAfter: 5},
		"silent":        {SilentAfter: 5},
		"failed":        {Status: http.StatusInternalServerError},
		"unsigned":      {Unsigned: true},
		"refused":       {Status: http.StatusServiceUnavailable, NotRun: true},
		"cut at once":   {CutAfter: 1},
		"silent at one": {SilentAfter: 1},
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
				one, two := worker("one", behave), worker("two", behave)
				r := newRig(t, one, two)
				c, w := call("q", true)
				r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
				r.Expect(w.body.String()).To(gomega.Equal(one.Stream("q")))
				r.Expect(w.gaps).To(gomega.BeNumerically("<", gap))
				r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeNumerically("<=", 2))
			})
		})
	}
}

// A request that may run once only is sent once, unless the endpoint says that
// it has not run it.
func TestARequestThatMayNotBeRepeatedRunsOnce(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"cut":      {CutAfter: 5},
		"unsigned": {Unsigned: true},
		"failed":   {Status: http.StatusInternalServerError},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				one, two := worker("one", always(b)), worker("two", always(b))
				r := newRig(t, one, two)
				c, w := call("q", false)
				err := r.Handle(t.Context(), c)
				r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.Equal(1))
				if err != nil {
					r.Expect(err.Status).To(gomega.Equal(http.StatusBadGateway))
					r.Expect(err.Outcome).To(gomega.Equal(api.Unknown))
				} else {
					r.Expect(w.status).To(gomega.Equal(http.StatusInternalServerError), "the endpoint's own answer")
				}
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		refuse := firstly(streams.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true})
		one, two := worker("one", refuse), worker("two", refuse)
		r := newRig(t, one, two)
		c, w := call("q", false)
		err := r.Handle(t.Context(), c)
		r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeNumerically("<=", 1))
		r.Expect(err != nil && err.Outcome == api.NotRun || w.status == http.StatusOK).To(gomega.BeTrue())
	})
}

// All endpoints refuse: the caller is told at once that the request has not
// run, and when to come back.
func TestRefusalIsImmediateAndTrue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		refuse := always(streams.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true})
		one, two := worker("one", refuse), worker("two", refuse)
		r := newRig(t, one, two)
		c, _ := call("q", true)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("<", goal/4))
		r.Expect(len(one.Runs()) + len(two.Runs())).To(gomega.BeZero())
	})
}

// Two requests are placed at one endpoint with one slot, of which the table
// knows eight: the second moves to the idle one and begins in time.
func TestARequestThatDoesNotBeginMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		long := worker("long", nil)
		long.Slots, long.Events = 1, 200
		r := newRig(t, long)
		busy, _ := call("busy", false)
		done := make(chan struct{})
		go func() { r.Handle(t.Context(), busy); close(done) }()
		time.Sleep(50 * time.Millisecond)
		idle := worker("idle", nil)
		server := idle.Serve(r.network.Listen("idle:1"))
		t.Cleanup(func() { _ = server.Close() })
		r.Table.SetEndpoints([]placement.Endpoint{
			{ID: "long", Address: "long:1", Deployment: "lm", DataCentre: "a", Slots: 8},
			{ID: "idle", Address: "idle:1", Deployment: "lm", DataCentre: "b", Slots: 8},
		})
		c, w := call("q", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(w.body.String()).To(gomega.Equal(idle.Stream("q")))
		r.Expect(w.first.Sub(c.Received)).To(gomega.BeNumerically("<", goal))
		<-done
	})
}

// The deadline passes while an endpoint is silent: the caller is told then,
// not later, and the endpoint is let go.
// A request crashes each endpoint that runs it, and its caller sends it again
// and again; another request runs beside it. The first is not sent any more once
// it is known, the other ends well and stays clear.
func TestARequestThatCrashesEndpointsIsNotSentAnyMore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		crash := func(r *http.Request, _ int) streams.Behaviour {
			return streams.Behaviour{Crash: r.Header.Get("X-Poison") != ""}
		}
		var endpoints []*streams.Endpoint
		for i := range 9 {
			endpoints = append(endpoints, worker(fmt.Sprint("e", i), crash))
		}
		r := newRig(t, endpoints...)
		suspects := quarantine.NewShared(&keyed.Handle{Log: keyed.NewLog(1)}, zerolog.Nop(), nil)
		r.Suspects = suspects
		handle := pipeline.Chain(r.Handle, quarantine.Filter(suspects))
		for n := range 6 {
			innocent, _ := call(fmt.Sprint("innocent-", n), true)
			innocent.Body = []byte("innocent")
			ended := make(chan *api.Error)
			go func() { ended <- handle(t.Context(), innocent) }()
			poison, _ := call(fmt.Sprint("poison-", n), true)
			poison.R.Header.Set("X-Poison", "1")
			r.Expect(handle(t.Context(), poison)).NotTo(gomega.BeNil())
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
		r.Expect(runs).To(gomega.Equal(quarantine.LossesToQuarantine))
		innocent, w := call("last", true)
		innocent.Body = []byte("innocent")
		r.Expect(handle(t.Context(), innocent)).To(gomega.BeNil())
		r.Expect(w.status).To(gomega.Equal(http.StatusOK))
	})
}

func TestTheDeadlineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := worker("e", nil)
		e.First = time.Minute
		r := newRig(t, e)
		c, _ := call("q", false)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Status).To(gomega.Equal(http.StatusGatewayTimeout))
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("~", timeout, 100*time.Millisecond))
		r.Expect(r.Table.HasFreeSlot(r.Clock(), placement.Request{Deployment: "lm"})).To(gomega.BeTrue(), "it may have been only busy")
	})
}

// A caller that leaves frees the endpoint at once.
func TestACallerThatLeavesEndsTheRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := worker("e", nil)
		e.Events = 1000
		r := newRig(t, e)
		c, _ := call("q", true)
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		r.Expect(r.Handle(ctx, c)).NotTo(gomega.BeNil())
		r.Expect(time.Since(c.Received)).To(gomega.BeNumerically("<", 300*time.Millisecond))
		r.Expect(r.Table.LocalLoads()).To(gomega.BeEmpty())
		r.Expect(e.Runs()).To(gomega.HaveLen(1), "nobody else is asked")
	})
}

// The configuration is not certain any more: nothing is sent.
func TestNothingIsSentWithoutACertainConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := worker("e", nil)
		r := newRig(t, e)
		r.fresh = false
		c, _ := call("q", true)
		err := r.Handle(t.Context(), c)
		r.Expect(err.Code).To(gomega.Equal(api.CodeConfigStale))
		r.Expect(e.Runs()).To(gomega.BeEmpty())
	})
}

// One line of the log tells how each request ended, with its id.
func TestEachRequestLeavesOneLine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, worker("e", nil))
		c, _ := call("the-id", true)
		r.Handle(t.Context(), c)
		r.Expect(bytes.Count(r.logs.Bytes(), []byte("\n"))).To(gomega.Equal(1))
		r.Expect(r.logs.String()).To(gomega.ContainSubstring(`"request":"the-id"`))
		r.Expect(r.logs.String()).To(gomega.ContainSubstring(`"endpoint":"e"`))
	})
}
