//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

func init() { scenarios["smuggle"] = playSmuggle }

// playSmuggle: one customer hands in a batch job with an item whose path holds a whole
// second request, in the name of another customer.
func playSmuggle(cl *cluster, trouble bool) (verdict, error) {
	const service, key = "lm", "key-of-mallory"
	zones := []string{"za", "zb", "zc"}
	for n := range 3 {
		w := &worker{id: fmt.Sprintf("w%d", n), service: service, zone: zones[n], version: "v1", weights: 1,
			slots: 8, events: 10, interval: 10 * time.Millisecond, first: 20 * time.Millisecond}
		if err := cl.addWorker(w); err != nil {
			return notRun, err
		}
	}
	err := cl.configure([]string{service}, []customer{{"garden", []string{"key-of-garden"}}, {"mallory", []string{key}}},
		route("ask", "/ask/", "streaming", true, 2, service), route("digest", "/digest/", "batch", true, 3, service))
	if err != nil {
		return notRun, err
	}
	for _, z := range zones {
		if _, err := cl.addEntry(z, cl.storeAddr); err != nil {
			return notRun, err
		}
	}
	if err := cl.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	job := newID("job")
	const smuggled = "smuggled-1"
	path := "/digest/1"
	if trouble {
		path = strings.Join([]string{
			"/digest/1 HTTP/1.1", "Host: " + host, names.Attempt + ": " + job + "-item0", "Content-Length: 0", "",
			"POST /ask/secret HTTP/1.1", "Host: " + host, names.Attempt + ": " + smuggled, names.Customer + ": garden", "Content-Length: 0", "",
			"GET /healthz",
		}, "\r\n")
	}
	items := []item{newItem(job+"-item0", path), newItem(job+"-item1", "/digest/2")}
	if _, err := cl.submit(job, "/digest/"+job, key, items); err != nil {
		cl.record.say("the job is refused: %v", err)
	}
	time.Sleep(5 * time.Second)
	sent := map[string]bool{items[0].ID: true, items[1].ID: true}
	foreign := 0
	for _, w := range cl.workers {
		for _, r := range w.allRuns() {
			if !sent[r.id] || r.customer != "mallory" {
				cl.record.say("worker %s has run request %s of customer %q, path %q, which no caller has sent with that customer's key", w.id, r.id, r.customer, r.path)
				foreign++
			}
		}
	}
	if foreign > 0 {
		return broken, nil
	}
	return held, nil
}
