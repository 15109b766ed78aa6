package online

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/placement"
	"dandelionrelay/standin/network"
	"dandelionrelay/standin/streams"
)

// Bounds of the users on requests to an endpoint that names a limit.
const (
	limitWindow = 4 * time.Second
	limitKnown  = 3 * time.Second // from the first answer that names the limit until it holds
	limitExcess = 1.5             // factor by which the limit may be exceeded over the window
	limitSlack  = 5               // requests that are allowed beyond that
	// limitTold is the time from the start of an entry's first run at an endpoint from which
	// its requests count: the response that names the limit, and half a second.
	limitTold = 600 * time.Millisecond
)

// headerEntry names the entry that sent a request to the stand-in of an endpoint.
const headerEntry = "X-Entry"

// limitLoad describes a fleet in which some endpoints name a limit.
type limitLoad struct {
	entries, endpoints, limited int
	limit                       float64 // of each of them, in requests a second
	perSecond                   int     // requests
}

// Endpoints name the number of requests a second that they take from all entries together.
// None gets more than the users allow in any window, and the others take the rest.
func TestRequests_WithinLimitThatEndpointsName(t *testing.T) {
	for _, load := range []limitLoad{
		{entries: 7, endpoints: 9, limited: 6, limit: 3.3, perSecond: 70},
		{entries: 7, endpoints: 9, limited: 6, limit: 0.5, perSecond: 40},
		{entries: 7, endpoints: 9, limited: 9, limit: 3.3, perSecond: 70},
		{entries: 34, endpoints: 36, limited: 25, limit: 1, perSecond: 120},
	} {
		for seed := range uint64(2) {
			t.Run(fmt.Sprintf("%+v seed %d", load, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testLimit(t, load, seed) })
			})
		}
	}
}

func testLimit(t *testing.T, load limitLoad, seed uint64) {
	const length = 20 * time.Second
	g := gomega.NewWithT(t)
	net := network.New()
	var endpoints []*streams.Endpoint
	var list []placement.Endpoint
	for i := range load.endpoints {
		e := newEndpoint(fmt.Sprint("e", i), nil)
		if i < load.limited {
			e.Limit = load.limit
		}
		server := e.Serve(net.Listen(e.ID + ":1"))
		t.Cleanup(func() { _ = server.Close() })
		endpoints = append(endpoints, e)
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: "a", Slots: e.Slots})
	}
	var entries []*Service
	var names []string
	for i := range load.entries {
		names = append(names, fmt.Sprint("entry-", i))
	}
	for i := range load.entries {
		entry := newFleetEntry(t, net, i)
		entry.Table.SetEndpoints(list)
		entry.Table.SetEntries(names)
		entries = append(entries, entry)
	}
	random := rand.New(rand.NewPCG(seed, 3))
	began := time.Now()
	served := 0
	var mu sync.Mutex
	var wg sync.WaitGroup
	for n := range int(length.Seconds()) * load.perSecond {
		i := random.IntN(len(entries))
		wg.Go(func() {
			c, _ := newCall(fmt.Sprint("call-", n), true)
			c.R.Header.Set(headerEntry, names[i])
			err := entries[i].Handle(t.Context(), c)
			mu.Lock()
			defer mu.Unlock()
			if err == nil && time.Since(began) > length/2 {
				served++
			}
		})
		time.Sleep(time.Second / time.Duration(load.perSecond))
	}
	wg.Wait()
	for _, e := range endpoints[:load.limited] {
		allowed := limitExcess*load.limit*limitWindow.Seconds() + limitSlack
		g.Expect(maxInWindow(e.Runs(), began.Add(limitKnown))).To(gomega.BeNumerically("<=", allowed), e.ID)
	}
	capacity := min(float64(load.perSecond), float64(load.limited)*load.limit+float64(load.endpoints-load.limited)*float64(endpoints[0].Slots))
	g.Expect(served).To(gomega.BeNumerically(">=", 0.6*capacity*length.Seconds()/2))
}

// maxInWindow returns the largest number of runs within limitWindow that began after a
// time and were sent by entries that knew the limit.
func maxInWindow(runs []streams.Run, after time.Time) int {
	first := make(map[string]time.Time) // time of the first run of each entry
	var counted []time.Time
	for _, r := range runs {
		entry := r.Header.Get(headerEntry)
		if first[entry].IsZero() {
			first[entry] = r.At
		}
		if r.At.After(after) && r.At.Sub(first[entry]) > limitTold {
			counted = append(counted, r.At)
		}
	}
	most := 0
	for i, at := range counted {
		end, _ := slices.BinarySearchFunc(counted, at.Add(limitWindow), time.Time.Compare)
		most = max(most, end-i)
	}
	return most
}
