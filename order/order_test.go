package order_test

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/infra"
	"dandelionrelay/order"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/network"
	standin "dandelionrelay/standin/platform"
)

// weights is a weight store that admits a fixed number of loads per minute.
type weights int

func (w weights) LoadsPerMinute(context.Context) (int, error) { return int(w), nil }

// fixture holds a log and an in-memory network of engines.
type fixture struct {
	t         *testing.T
	net       *network.Network
	log       *standin.Log
	transport http.RoundTripper
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, net: network.New(), log: standin.NewLog(0, 1)}
	transport := &http.Transport{DialContext: f.net.DialContext}
	f.transport = transport
	t.Cleanup(transport.CloseIdleConnections)
	return f
}

// startEngine starts an engine at addr that serves version v1 of model m.
func (f *fixture) startEngine(addr string, obeysFencing bool) *engine.Engine {
	e := engine.New(engine.Options{Model: "m", ObeysFencing: obeysFencing, LoadTime: 5 * time.Second})
	server := &http.Server{Handler: e}
	l := f.net.Listen(addr)
	go func() { _ = server.Serve(l) }()
	f.t.Cleanup(func() {
		e.Close()
		_ = server.Close()
	})
	synctest.Wait()
	return e
}

// startSidecar runs a Runner for the engine at addr until the test ends.
func (f *fixture) startSidecar(id, addr string, perMinute int, target func() order.Target, wrap func(order.Engine) order.Engine) {
	var client order.Engine = &order.Client{BaseURL: "http://" + addr, Transport: f.transport}
	if wrap != nil {
		client = wrap(client)
	}
	r := &order.Runner{
		Endpoint: id, Engine: client, Log: f.log, Weights: weights(perMinute),
		Target: target, Draining: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

func version(v string) func() order.Target {
	return func() order.Target { return order.Target{Model: "m", Version: v} }
}

func versions(e *engine.Engine) []string {
	var out []string
	for _, o := range e.Orders() {
		out = append(out, o.Version)
	}
	return out
}

func TestRunner_ReadsStateBeforeFirstOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t)
		e := f.startEngine("10.0.0.1:80", true)
		f.startSidecar("s1", "10.0.0.1:80", 60, version("v2"), nil)
		time.Sleep(20 * time.Second)
		g.Expect(versions(e)).To(gomega.Equal([]string{"v2"}))
		f.startSidecar("s2", "10.0.0.1:80", 60, version("v2"), nil)
		time.Sleep(10 * time.Minute)
		g.Expect(versions(e)).To(gomega.Equal([]string{"v2"}), "a version that is already served isn't loaded again")
	})
}

// delayedEngine delays the first order until release is closed, as if the sidecar
// were paused between reading the engine's state and sending the order.
type delayedEngine struct {
	order.Engine
	once    sync.Once
	release chan struct{}
	resumed chan struct{} // closed when the first order is no longer delayed, before it is sent
}

func (d *delayedEngine) Order(ctx context.Context, o order.Order) error {
	d.once.Do(func() {
		<-d.release
		ctx = context.WithoutCancel(ctx)
		defer close(d.resumed)
	})
	return d.Engine.Order(ctx, o)
}

func TestRunner_CorrectsStaleOrderOfPausedSidecar(t *testing.T) {
	for _, obeys := range []bool{true, false} {
		t.Run(fmt.Sprint("obeys=", obeys), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				f := newFixture(t)
				e := f.startEngine("10.0.0.1:80", obeys)
				delayed := &delayedEngine{release: make(chan struct{}), resumed: make(chan struct{})}
				f.startSidecar("old", "10.0.0.1:80", 60, version("v2"), func(c order.Engine) order.Engine {
					delayed.Engine = c
					return delayed
				})
				time.Sleep(10 * time.Second)
				f.startSidecar("new", "10.0.0.1:80", 60, version("v3"), nil)
				time.Sleep(20 * time.Second)
				g.Expect(e.State().Version).To(gomega.Equal("v3"))

				close(delayed.release)
				<-delayed.resumed
				time.Sleep(50 * time.Second) // the old sidecar backs off for one minute
				g.Expect(e.State().Version).To(gomega.Equal("v3"))
				if obeys {
					g.Expect(versions(e)).To(gomega.Equal([]string{"v3"}))
					return
				}
				g.Expect(versions(e)).To(gomega.Equal([]string{"v3", "v2", "v3"}), "one wrong load, which the new sidecar corrects")
			})
		})
	}
}

func TestRunner_LoadsStayWithinRateOfWeightStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t)
		const engines, perMinute = 40, 10
		var mu sync.Mutex
		var starts []time.Time
		count := func(c order.Engine) order.Engine {
			return countingEngine{Engine: c, started: func() {
				mu.Lock()
				defer mu.Unlock()
				starts = append(starts, time.Now())
			}}
		}
		f.log.SetFaults(standin.Faults{LoseAnswer: 0.1, Refuse: 0.1})
		var all []*engine.Engine
		for i := range engines {
			addr := fmt.Sprintf("10.0.1.%d:80", i)
			all = append(all, f.startEngine(addr, i%2 == 0))
			f.startSidecar(fmt.Sprint("s", i), addr, perMinute, version("v2"), count)
		}
		time.Sleep(15 * time.Minute)
		for _, e := range all {
			g.Expect(e.State().Version).To(gomega.Equal("v2"))
			g.Expect(e.Orders()).To(gomega.HaveLen(1))
		}
		slices.SortFunc(starts, time.Time.Compare)
		for i := perMinute; i < len(starts); i++ {
			g.Expect(starts[i].Sub(starts[i-perMinute])).To(gomega.BeNumerically(">", time.Minute))
		}
	})
}

type countingEngine struct {
	order.Engine
	started func()
}

func (c countingEngine) Order(ctx context.Context, o order.Order) error {
	c.started()
	return c.Engine.Order(ctx, o)
}

func TestRunner_SendsNoOrderWithoutLog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		f := newFixture(t)
		f.log.SetFaults(standin.Faults{Down: true})
		e := f.startEngine("10.0.0.1:80", false)
		f.startSidecar("s1", "10.0.0.1:80", 60, version("v2"), nil)
		time.Sleep(10 * time.Minute)
		g.Expect(versions(e)).To(gomega.BeEmpty())
		f.log.SetFaults(standin.Faults{})
		time.Sleep(20 * time.Second)
		g.Expect(versions(e)).To(gomega.Equal([]string{"v2"}))
	})
}

func TestSendDelay_SameForEveryReader(t *testing.T) {
	g := gomega.NewWithT(t)
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := func(seconds int) infra.Record {
		return infra.Record{Time: start.Add(time.Duration(seconds) * time.Second)}
	}
	records := []infra.Record{at(0), at(1), at(2), at(60)}
	wants := []time.Duration{0, 9 * time.Second, 18 * time.Second, 0}
	for i, want := range wants {
		g.Expect(order.SendDelay(records[:i+1], 10*time.Second)).To(gomega.Equal(want))
	}
}
