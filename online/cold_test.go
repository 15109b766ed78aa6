package online

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// Bounds on requests to a cold endpoint.
const (
	coldRate  = 23
	coldTime  = 20 * time.Second
	coldBound = coldRate*1.5 + 5
)

// limitCold applies the rate of cold endpoints to a table. What is known of the endpoints
// is that they are cold for left.
func limitCold(s *Service, list []placement.Endpoint, entries int, left time.Duration) {
	now := s.Clock()
	s.Table.SetColdRates(now-time.Minute, quota.NewTable(quota.Tolerance{}), map[string]placement.ColdRate{"lm": {Rate: coldRate, Time: coldTime}},
		placement.ColdTolerance{Excess: 1.5, Slack: 5})
	s.Table.SetColdShare(quota.Share{Observed: 1, Own: 1 / float64(entries), ValidUntil: now + time.Hour})
	statements := make(map[placement.Key]placement.ColdNotice)
	for _, e := range list {
		statements[e.Key()] = placement.ColdNotice{Given: true, Left: left}
	}
	s.Table.StateCold(now, statements)
}

// Callers send more than cold endpoints take. Streams also break off at some of them, so
// that they are retried and resumed at others. No endpoint gets more than the bound in a
// second, all attempts counted, and each other request is refused at once as not run.
func TestRequests_ColdEndpointsWithinBound(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testCold(t, seed) })
		})
	}
}

func testCold(t *testing.T, seed uint64) {
	const entries, perSecond, length = 7, 250, 12 * time.Second
	g := gomega.NewWithT(t)
	net := network.New()
	random := rand.New(rand.NewPCG(seed, 9))
	var mu sync.Mutex
	var endpoints []*streams.Endpoint
	var list []placement.Endpoint
	for i := range 3 {
		e := newEndpoint(fmt.Sprint("e", i), func(*http.Request, int) streams.Behaviour {
			mu.Lock()
			defer mu.Unlock()
			if random.IntN(4) == 0 {
				return streams.Behaviour{AbortAfter: 1 + random.IntN(3)}
			}
			return streams.Behaviour{}
		})
		e.Slots = 100
		server := e.Serve(net.Listen(e.ID + ":1"))
		t.Cleanup(func() { _ = server.Close() })
		endpoints = append(endpoints, e)
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: "a", Slots: e.Slots})
	}
	var services []*Service
	var names []string
	for i := range entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i := range entries {
		s := newFleetEntry(t, net, i)
		s.Table.SetEndpoints(list)
		s.Table.SetEntries(names)
		limitCold(s, list, entries, coldTime)
		services = append(services, s)
	}
	served, refused := 0, 0
	var wg sync.WaitGroup
	for n := range int(length.Seconds()) * perSecond {
		wg.Go(func() {
			c, _ := newCall(fmt.Sprint("call-", n), true)
			began := time.Now()
			err := services[n%entries].Handle(t.Context(), c)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err == nil:
				served++
			case err.Code == api.CodeOverloaded:
				refused++
				g.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
				g.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
				g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 10*time.Millisecond))
			}
		})
		time.Sleep(time.Second / perSecond)
	}
	wg.Wait()
	for _, e := range endpoints {
		g.Expect(mostInASecond(e.Runs())).To(gomega.BeNumerically("<=", coldBound), e.ID)
	}
	g.Expect(served).To(gomega.BeNumerically(">=", 100))
	g.Expect(refused).To(gomega.BeNumerically(">=", 100))
}

// mostInASecond returns the largest number of runs that began within a second.
func mostInASecond(runs []streams.Run) int {
	most := 0
	for i, r := range runs {
		end, _ := slices.BinarySearchFunc(runs, r.At.Add(time.Second), func(r streams.Run, at time.Time) int { return r.At.Compare(at) })
		most = max(most, end-i)
	}
	return most
}

// An endpoint names in its responses that it has become cold, while its registration says
// nothing: the entry keeps the rate from the first such response on, and uses the endpoint
// freely once it names that it is warm.
func TestRequests_EndpointNamesItselfAsCold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := newEndpoint("e0", nil)
		endpoint.Slots = 1000
		left := time.Duration(0)
		endpoint.ColdLeft = func() time.Duration { return left }
		r := newTestService(t, endpoint)
		list := []placement.Endpoint{{ID: "e0", Address: "e0:1", Deployment: "lm", DataCentre: "a", Slots: 1000}}
		r.Table.SetEndpoints(list)
		limitCold(r.Service, list, 1, 0)
		flood := func() int {
			before := len(endpoint.Runs())
			var wg sync.WaitGroup
			for n := range 60 {
				wg.Go(func() {
					c, _ := newCall(fmt.Sprint("call-", time.Now().UnixNano(), "-", n), true)
					r.Handle(t.Context(), c)
				})
			}
			wg.Wait()
			time.Sleep(time.Second)
			return len(endpoint.Runs()) - before
		}
		r.Expect(flood()).To(gomega.Equal(60), "it is warm")
		left = 5 * time.Second
		c, _ := newCall("tells", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(flood()).To(gomega.BeNumerically("<=", coldBound))
		left = 0
		c, _ = newCall("tells too", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
		r.Expect(flood()).To(gomega.Equal(60), "it is warm again")
		r.Expect(r.logs.String()).To(gomega.And(
			gomega.MatchRegexp(`"source":"response",.*"message":"endpoint has become cold"`),
			gomega.MatchRegexp(`"source":"response","message":"endpoint is no longer cold"`)))
	})
}

// A cold endpoint may not be sent a request that was placed at it, as others were held up and
// sent late. If no other is left, the caller gets the refusal of cold endpoints with the time at
// which one takes requests, not that no endpoint ran it.
func TestRequests_RefusedRightBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestService(t, newEndpoint("e0", nil))
		list := []placement.Endpoint{{ID: "e0", Address: "e0:1", Deployment: "lm", DataCentre: "a", Slots: 8}}
		r.Table.SetEndpoints(list)
		limitCold(r.Service, list, 1, coldTime)
		var held []*placement.Grant
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			if grant, _ := r.Table.Place(r.Clock(), placement.Request{Deployment: "lm", MaxWait: time.Second}); grant != nil {
				grant.Release(r.Clock(), placement.Done, 0)
				held = append(held, grant)
			}
		}
		time.Sleep(time.Second)
		send := func() bool {
			grant := held[0]
			held = held[1:]
			return grant.TakeSendToken(r.Clock())
		}
		for send() {
		}
		time.Sleep(time.Second / coldRate) // until one may be sent, which takes the last token
		r.Expect(send()).To(gomega.BeTrue())
		c, _ := newCall("refused", true)
		err := r.Handle(t.Context(), c)
		r.Expect(err).NotTo(gomega.BeNil())
		r.Expect(err.Code).To(gomega.Equal(api.CodeOverloaded))
		r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		r.Expect(err.RetryAfter).To(gomega.BeNumerically("<", time.Second))
		time.Sleep(err.RetryAfter)
		c, _ = newCall("later", true)
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
	})
}

// holdDials lets connections to endpoints wait until the returned function is called.
func (r *testService) holdDials() (release func()) {
	open := make(chan struct{})
	r.Pool = upstream.NewPool(streams.HeaderID, func(ctx context.Context, addr string) (net.Conn, error) {
		<-open
		return r.network.DialContext(ctx, "tcp", addr)
	}, func() {})
	return func() { close(open) }
}

// Connections take long to open, and then requests of a longer time are ready together: they
// must not reach a cold endpoint together, nor right before others.
func TestRequests_SlowConnectionsToColdEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := newEndpoint("e0", nil)
		r := newTestService(t, endpoint)
		list := []placement.Endpoint{{ID: "e0", Address: "e0:1", Deployment: "lm", DataCentre: "a", Slots: 1000}}
		endpoint.Slots = 1000
		r.Table.SetEndpoints(list)
		limitCold(r.Service, list, 1, coldTime)
		release := r.holdDials()
		var wg sync.WaitGroup
		for n := range 500 {
			time.Sleep(10 * time.Millisecond)
			if n == 300 {
				release()
			}
			wg.Go(func() {
				c, _ := newCall(fmt.Sprint("call-", n), true)
				r.Handle(t.Context(), c)
			})
		}
		wg.Wait()
		r.Expect(mostInASecond(endpoint.Runs())).To(gomega.BeNumerically("<=", coldBound))
		r.Expect(endpoint.Runs()).NotTo(gomega.BeEmpty())
	})
}

// The configuration, with evacuations and keys, is no longer confirmed once the connection is
// open: the request must not be sent.
func TestRequests_ConfigurationStaleOnceConnected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoint := newEndpoint("e0", nil)
		r := newTestService(t, endpoint)
		release := r.holdDials()
		result := make(chan *api.Error)
		go func() {
			c, _ := newCall("stale", true)
			result <- r.Handle(t.Context(), c)
		}()
		synctest.Wait()
		r.configFresh = false
		release()
		err := <-result
		r.Expect(err).NotTo(gomega.BeNil())
		r.Expect(err.Code).To(gomega.Equal(api.CodeConfigStale))
		r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		r.Expect(endpoint.Runs()).To(gomega.BeEmpty())
	})
}
