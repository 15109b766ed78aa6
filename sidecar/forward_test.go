package sidecar_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/plain"
)

func TestSidecar_ForwardsPlainAndStreamedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		req := chat("hello", 12)
		want := engine.ResponseText(&req, 12)
		got := f.result(t.Context(), call{id: "1", body: req})
		g.Expect(text(got.body)).To(gomega.Equal(want))
		g.Expect(got.header.Get(api.HeaderOutcome)).To(gomega.Equal("done"))
		g.Expect(got.header.Get(api.HeaderQueueWait)).ToNot(gomega.BeEmpty())
		got = f.result(t.Context(), call{id: "2", body: streamed(req)})
		g.Expect(text(got.body)).To(gomega.Equal(want))
	})
}

func TestSidecar_ForwardsNoCredentials(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		f.result(t.Context(), call{id: "1", customer: "acme", body: chat("hello", 1), header: map[string]string{
			"Authorization": "Bearer secret",
			"X-Api-Key":     "secret",
			"Cookie":        "key=secret",
			"User-Agent":    "secret",
		}})
		g.Expect(e.Requests()).To(gomega.HaveLen(1))
		g.Expect(e.Received("secret")).To(gomega.BeFalse())
		for name := range e.Requests()[0].Header {
			g.Expect(name).ToNot(gomega.HavePrefix("Relay-"))
		}
	})
}

func TestSidecar_RefusesDuplicateAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		f.result(t.Context(), call{id: "1", body: chat("hello", 1)})
		again := f.result(t.Context(), call{id: "1", body: chat("hello", 1)})
		g.Expect(again.failure.Outcome).To(gomega.Equal(api.Unknown))
		g.Expect(e.Runs("1")).To(gomega.Equal(1))
	})
}

func TestSidecar_CancelsRequestWhenEntryDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		ctx, cancel := context.WithCancel(t.Context())
		resp, err := f.do(ctx, call{id: "1", body: streamed(chat("hello", 10_000))})
		g.Expect(err).ToNot(gomega.HaveOccurred())
		_, err = bufio.NewReader(resp.Body).ReadString('\n')
		g.Expect(err).ToNot(gomega.HaveOccurred())
		cancel()
		eventually(t, "engine idle", func() bool { return e.InFlight() == 0 })
	})
}

func TestSidecar_ReportsOutcomeOfLostEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{CrashMarker: "poison"})
		f := newFixture(t, e, modelDeployment(4))

		f.net.SetRefusing(endpointAddr, true)
		got := f.result(t.Context(), call{id: "1", body: chat("hello", 1)})
		g.Expect(got.failure.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(e.Runs("1")).To(gomega.BeZero())
		f.net.SetRefusing(endpointAddr, false)

		got = f.result(t.Context(), call{id: "2", body: chat("poison", 1)})
		g.Expect(got.failure.Outcome).To(gomega.Equal(api.Unknown))
		e.Restart()

		go func() {
			eventually(t, "stream runs", func() bool { return e.Stats().Tokens > 20 })
			e.Crash()
		}()
		got = f.result(t.Context(), call{id: "3", body: streamed(chat("hello", 1000))})
		g.Expect(got.status).To(gomega.Equal(http.StatusOK))
		g.Expect(got.truncated).To(gomega.BeTrue())
	})
}

// responseDropper responds to the first request on each connection, and closes
// the connection after running the second without a response.
type responseDropper struct {
	plain *plain.Service
	seen  map[net.Conn]bool
}

func (d *responseDropper) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	conn := r.Context().Value(connKey{}).(net.Conn)
	again := d.seen[conn]
	d.seen[conn] = true
	if again {
		d.plain.SetLoseResponses(true)
		defer d.plain.SetLoseResponses(false)
	}
	d.plain.ServeHTTP(w, r)
}

type connKey struct{}

// TestSidecar_TransportNeverRetries guards against net/http's own retry of a
// request without a body on a reused connection that is closed without a
// response: the endpoint would run the request twice.
func TestSidecar_TransportNeverRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := &responseDropper{plain: plain.New(), seen: make(map[net.Conn]bool)}
		f := newFixture(t, nil, config.Deployment{Kind: config.KindPlain, Slots: 1})
		server := &http.Server{Handler: d, ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		}}
		l := f.net.Listen(endpointAddr)
		go func() { _ = server.Serve(l) }()
		defer server.Close()
		synctest.Wait()
		for _, id := range []string{"1", "2"} {
			f.result(t.Context(), call{id: id, method: http.MethodGet, path: "/confirm"})
		}
		g.Expect(d.plain.Count(plain.Call{Path: "/confirm", ID: "2"})).To(gomega.Equal(1))
	})
}

func TestDrain_RefusesNewRequestsAndCompletesStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		req := chat("hello", 200)
		want := engine.ResponseText(&req, 200)
		first := make(chan result)
		go func() { first <- f.result(t.Context(), call{id: "1", body: streamed(req)}) }()
		eventually(t, "stream runs", func() bool { return e.Stats().Tokens > 20 })

		drained := make(chan error)
		go func() { drained <- f.sidecar.Drain(t.Context()) }()
		synctest.Wait()
		refused := f.result(t.Context(), call{id: "2", body: req})
		g.Expect(refused.failure.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(refused.header.Get(api.HeaderLeaving)).To(gomega.Equal("1"))

		got := <-first
		g.Expect(got.truncated).To(gomega.BeFalse())
		g.Expect(text(got.body)).To(gomega.Equal(want))
		g.Expect(<-drained).To(gomega.Succeed())
		g.Expect(e.Runs("2")).To(gomega.BeZero())
	})
}

func TestProbe_ChecksEndpointHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(4))
		probe := func() int {
			return f.result(t.Context(), call{method: http.MethodGet, path: sidecar.ProbePath}).status
		}
		g.Expect(probe()).To(gomega.Equal(http.StatusNoContent))
		e.Crash()
		g.Expect(probe()).To(gomega.Equal(http.StatusBadGateway))
	})
}
