//go:build review

package main

import (
	"fmt"
	"strconv"
	"time"
)

func init() { scenarios["split"] = playSplit }

// playSplit: a batch route is split between a service with one worker (weight 10) and one
// with five (weight 90). The one worker is lost for good after the job was accepted.
func playSplit(cl *cluster, trouble bool) (verdict, error) {
	const small, large, key = "lm-next", "lm", "key-of-garden"
	zones := []string{"za", "zb", "zc"}
	for n := range 6 {
		service := large
		if n == 0 {
			service = small
		}
		w := &worker{id: fmt.Sprintf("w%d-of-%s", n, service), service: service, zone: zones[n%3], version: "v1", weights: 1,
			slots: 8, events: 34, interval: 10 * time.Millisecond, first: 20 * time.Millisecond}
		if err := cl.addWorker(w); err != nil {
			return notRun, err
		}
	}
	err := cl.configure([]string{small, large}, []customer{{"garden", []string{key}}},
		route("ask", "/ask/", "streaming", true, 2, small, 10, large, 90),
		route("digest", "/digest/", "batch", true, 3, small, 10, large, 90))
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
	stop := make(chan struct{})
	var plain tally
	wait := every(100*time.Millisecond, stop, func(n int) {
		plain.add(cl.ask(cl.entries[n%3], newID("plain"), "/ask/q", key, nil, []byte("question "+strconv.Itoa(n))))
	})
	time.Sleep(4 * time.Second)
	if trouble {
		cl.workers[0].crash()
	}
	time.Sleep(6 * time.Second)
	job := newID("job")
	var items []item
	for i := range 10 {
		items = append(items, newItem(fmt.Sprintf("%s-item%d", job, i), fmt.Sprintf("/digest/%d", i)))
	}
	if _, err := cl.submit(job, "/digest/"+job, key, items); err != nil {
		return notRun, err
	}
	time.Sleep(4 * time.Second)
	close(stop)
	wait()
	n, ok := plain.take()
	cl.record.say("%d of %d plain requests served; traffic has ended; the job has %v more", ok, n, completion)
	time.Sleep(completion)
	return cl.judgeJob(job, key, items)
}
