//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["crash"] = playCrash }

// playCrash: callers in one zone ask the same question at about the same time. Each of these
// streams runs at the zone's only worker, which crashes and is back after some seconds.
func playCrash(cl *cluster, trouble bool) (verdict, error) {
	const service, key = "lm", "key-of-garden"
	newWorker := func(n int, incarnation int, zone string) *worker {
		return &worker{id: fmt.Sprintf("w%d-%d", n, incarnation), service: service, zone: zone, version: "v1", weights: 1,
			slots: 8, events: 34, interval: 30 * time.Millisecond, first: 20 * time.Millisecond}
	}
	for n, z := range []string{"za", "zb", "zb", "zc", "zc", "zc"} {
		if err := cl.addWorker(newWorker(n, 1, z)); err != nil {
			return notRun, err
		}
	}
	err := cl.configure([]string{service}, []customer{{"garden", []string{key}}},
		route("ask", "/ask/", "streaming", true, 2, service), route("confirm", "/confirm/", "streaming", false, 1, service))
	if err != nil {
		return notRun, err
	}
	for _, z := range []string{"za", "zb", "zc"} {
		if _, err := cl.addEntry(z, cl.storeAddr); err != nil {
			return notRun, err
		}
	}
	if err := cl.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var plain tally
	wait := every(250*time.Millisecond, stop, func(n int) {
		plain.add(cl.ask(cl.entries[n%3], newID("plain"), "/ask/q", key, nil, []byte("question "+strconv.Itoa(n))))
	})
	time.Sleep(4 * time.Second)
	same := []byte("is the pickup of today at the market confirmed?")
	confirm := func(e *entry) answer { return cl.ask(e, newID("same"), "/confirm/today", key, nil, same) }
	// Five callers in one zone ask at the same time.
	var callers sync.WaitGroup
	for range 5 {
		callers.Go(func() { confirm(cl.entries[0]) })
	}
	time.Sleep(500 * time.Millisecond)
	at := make(map[string]int)
	for _, w := range cl.workers {
		at[w.id] = w.busy()
	}
	cl.record.say("requests at the workers when five callers have asked the same: %v", at)
	if trouble {
		cl.workers[0].crash()
	}
	callers.Wait()
	time.Sleep(4500*time.Millisecond - 500*time.Millisecond)
	if trouble {
		if err := cl.addWorker(newWorker(0, 2, "za")); err != nil {
			return notRun, err
		}
	}
	// More than contactMs later, callers ask the same at all entries.
	time.Sleep(4 * time.Second)
	sent, served, denied := 0, 0, 0
	for n := range 40 {
		a := confirm(cl.entries[n%3])
		sent++
		if a.status == http.StatusOK {
			served++
		}
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 && a.header.Get(names.Signature) == "" {
			denied++
		}
	}
	close(stop)
	wait()
	n, ok := plain.take()
	all := n + sent + 5
	allowed := 5 + all/500
	cl.record.say("%d of %d other requests served; of %d proper requests that ask the same, %d served and %d ended with a 4xx of an entry's own; allowed are %d of %d requests in all",
		ok, n, sent, served, denied, allowed, all)
	if denied > allowed {
		return broken, nil
	}
	return held, nil
}
