package sidecar_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

const coldRate = 23

func coldEngine(t *testing.T, coldTime time.Duration) *engine.Engine {
	return newEngine(t, engine.Options{ColdRate: coldRate, ColdTime: coldTime})
}

func coldDeployment(coldTime time.Duration) config.Deployment {
	d := modelDeployment(16)
	d.ColdRate, d.ColdTime = coldRate, config.Duration(coldTime)
	return d
}

// flood sends calls at 100 a second for d, of three customers, with a probe in every
// fiftieth place, and waits for all. It returns the number that were answered.
func (f *fixture) flood(name string, d time.Duration) (done int64) {
	var wg sync.WaitGroup
	var ok atomic.Int64
	for n := range int(d / (10 * time.Millisecond)) {
		id := fmt.Sprint(name, n)
		wg.Go(func() {
			if n%50 == 0 {
				f.result(f.t.Context(), call{id: id, method: http.MethodGet, path: sidecar.ProbePath})
				return
			}
			r := f.result(f.t.Context(), call{id: id, customer: fmt.Sprint(n % 3), body: chat(id, 2)})
			if r.status == http.StatusOK {
				ok.Add(1)
				return
			}
			if r.failure == nil || r.failure.Outcome != api.NotRun || r.failure.RetryAfter <= 0 {
				f.t.Errorf("request %s: %+v", id, r.failure)
			}
		})
		time.Sleep(10 * time.Millisecond)
	}
	wg.Wait()
	return ok.Load()
}

// Guards against an engine that crashes because its sidecar admits requests, items or
// health checks at the usual rate while it is cold, from the start of both and whenever
// the engine says so, and against a limit that outlasts the cold time.
func TestSidecar_ColdEngineGetsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := coldEngine(t, 10*time.Second), newFakeOwner()
		f := newFixture(t, e, coldDeployment(10*time.Second), withBatch(owner))
		for i := range 200 {
			owner.add(work(i, chat("ledger", 4)))
		}
		f.runBatch()
		done := f.flood("cold", 9*time.Second)
		g.Expect(e.Stats().Crashes).To(gomega.BeZero())
		g.Expect(e.Stats().ColdPeak).To(gomega.BeNumerically("<=", coldRate))
		g.Expect(done).To(gomega.BeNumerically(">", 9*coldRate*8/10))

		time.Sleep(2 * time.Second)
		g.Expect(f.flood("warm", 5*time.Second)).To(gomega.BeNumerically("==", 490), "all are served once it is no longer cold")

		e.SetCold(5 * time.Second)
		f.flood("again", 4*time.Second)
		g.Expect(e.Stats().Crashes).To(gomega.BeZero())
		g.Expect(e.Stats().ColdPeak).To(gomega.BeNumerically("<=", coldRate+5), "until the first response says so")
	})
}

// Guards against requests at the usual rate for an engine that crashed, or that started
// again while nothing was sent to it, and returns cold.
func TestSidecar_ReturnedEngineIsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := coldEngine(t, 3*time.Second)
		f := newFixture(t, e, coldDeployment(3*time.Second), withBatch(newFakeOwner()))
		f.runBatch()
		time.Sleep(5 * time.Second)
		for _, noticed := range []bool{true, false} {
			crashes := e.Stats().Crashes
			e.Crash()
			if noticed {
				f.result(t.Context(), call{id: "lost", body: chat("hello", 2)})
			}
			time.Sleep(500 * time.Millisecond)
			e.Restart()
			time.Sleep(1100 * time.Millisecond) // a poll
			f.flood(fmt.Sprint("returned", noticed), 5*time.Second)
			g.Expect(e.Stats().Crashes).To(gomega.Equal(crashes+1), "noticed by a request: %t", noticed)
			g.Expect(e.Stats().ColdPeak).To(gomega.BeNumerically("<=", coldRate))
		}
	})
}

// statingEndpoint is an endpoint that states for how long it is cold, and counts requests.
type statingEndpoint struct {
	statement atomic.Value // string
	requests  atomic.Int64
}

func (s *statingEndpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	s.requests.Add(1)
	if v, _ := s.statement.Load().(string); v != "" {
		w.Header().Set(api.HeaderCold, v)
	}
	w.WriteHeader(http.StatusOK)
}

// Guards against bad statements of the cold time that count as none, and against good ones
// that do not replace an earlier one or the assumption at the start.
func TestSidecar_StatementsOfColdTime(t *testing.T) {
	for statement, limited := range map[string]bool{
		"0": false, "": false, "60000": true, "-1": true, "soon": true, "99999999999999999999": true, "1e3": true, "3600001": true,
	} {
		t.Run("statement "+statement, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				endpoint := &statingEndpoint{}
				f := newFixture(t, endpoint, coldDeployment(time.Minute))
				g.Expect(f.sidecar.QueueWait()).To(gomega.BeNumerically(">", 0), "cold from the start")
				for i, s := range []string{"0", statement} {
					endpoint.statement.Store(s)
					f.result(t.Context(), call{id: fmt.Sprint(i), body: chat("hello", 2)})
				}
				f.flood("flood", 5*time.Second)
				if limited {
					g.Expect(endpoint.requests.Load()).To(gomega.BeNumerically("<=", 7*coldRate))
					return
				}
				g.Expect(endpoint.requests.Load()).To(gomega.BeNumerically(">", 10*coldRate))
			})
		})
	}
}

// Guards against the usual rate at an endpoint that states nothing and returns after it was
// lost.
func TestSidecar_LostEndpointCountsAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		endpoint := &statingEndpoint{}
		f := newFixture(t, endpoint, coldDeployment(10*time.Second))
		time.Sleep(10 * time.Second)
		f.flood("warm", time.Second)
		g.Expect(endpoint.requests.Load()).To(gomega.BeNumerically(">=", 98))
		f.net.SetRefusing(endpointAddr, true)
		g.Expect(f.result(t.Context(), call{id: "lost", body: chat("hello", 2)}).failure.Code).To(gomega.Equal(api.CodeEndpointLost))
		time.Sleep(20 * time.Second)
		f.net.SetRefusing(endpointAddr, false)
		before := endpoint.requests.Load()
		f.flood("returned", 5*time.Second)
		g.Expect(endpoint.requests.Load() - before).To(gomega.BeNumerically("<=", 7*coldRate))
	})
}

// Guards against limits, polls and waits at endpoints whose deployment has no cold rate.
func TestSidecar_WithoutColdRateNothingIsLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		endpoint := &statingEndpoint{}
		endpoint.statement.Store("60000")
		f := newFixture(t, endpoint, modelDeployment(16), withBatch(newFakeOwner()))
		f.runBatch()
		time.Sleep(time.Minute)
		g.Expect(endpoint.requests.Load()).To(gomega.BeZero(), "no health checks")
		g.Expect(f.flood("flood", time.Second)).To(gomega.BeNumerically("==", 98))
		g.Expect(f.sidecar.QueueWait()).To(gomega.BeZero())
	})
}

// Guards against health checks that take the tokens for which requests wait, so that none
// starts at low rates, and against checks of an endpoint that has just responded.
func TestSidecar_PollsLeaveTokensToRequests(t *testing.T) {
	for _, rate := range []float64{0.4, 1, 2} {
		t.Run(fmt.Sprint("rate ", rate), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := gomega.NewWithT(t)
				endpoint := &statingEndpoint{}
				d := coldDeployment(time.Minute)
				d.ColdRate = rate
				f := newFixture(t, endpoint, d, withBatch(newFakeOwner()))
				f.runBatch()
				var done atomic.Int64
				var calls sync.WaitGroup
				for n := range 300 {
					id := fmt.Sprint(n)
					calls.Go(func() {
						if f.result(f.t.Context(), call{id: id, body: chat(id, 2)}).status == http.StatusOK {
							done.Add(1)
						}
					})
					time.Sleep(100 * time.Millisecond)
				}
				calls.Wait()
				g.Expect(done.Load()).To(gomega.BeNumerically(">=", 30*rate*8/10))
				g.Expect(endpoint.requests.Load()).To(gomega.BeNumerically("<=", 34*rate+1))
			})
		})
	}
}

// Guards against a shutdown that waits for the token of a health check.
func TestSidecar_ShutdownDoesNotWaitForTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		d := coldDeployment(time.Hour)
		d.ColdRate = 0.001
		f := newFixture(t, &statingEndpoint{}, d, withBatch(newFakeOwner()))
		f.net.SetRefusing(endpointAddr, true)
		time.Sleep(2 * time.Hour)
		g.Expect(f.result(t.Context(), call{id: "lost", body: chat("hello", 2)}).failure.Code).To(gomega.Equal(api.CodeEndpointLost))
		ctx, cancel := context.WithCancel(t.Context())
		var checks sync.WaitGroup
		checks.Go(func() { f.sidecar.Run(ctx) })
		for range 3 {
			checks.Go(func() {
				probe := httptest.NewRequestWithContext(ctx, http.MethodGet, sidecar.ProbePath, nil)
				f.sidecar.ServeHTTP(httptest.NewRecorder(), probe)
			})
		}
		time.Sleep(5 * time.Second)
		cancelled := time.Now()
		cancel()
		checks.Wait()
		synctest.Wait()
		g.Expect(time.Since(cancelled)).To(gomega.BeNumerically("<", time.Second))
	})
}
