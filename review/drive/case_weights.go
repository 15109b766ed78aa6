//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["weights"] = playWeights }

// completion is the bound completionS of the deployment: the time after the end of the
// traffic in which batch jobs are completed.
const completion = 18 * time.Second

// drainTime is the bound drainMs: workers serve for that long after they have reported that
// they are draining.
const drainTime = 2 * time.Second

// tally counts answers.
type tally struct {
	mu            sync.Mutex
	sent, success int
}

func (t *tally) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	if a.status == http.StatusOK {
		t.success++
	}
}

func (t *tally) take() (sent, success int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	sent, success = t.sent, t.success
	t.sent, t.success = 0, 0
	return sent, success
}

// every calls f in its own goroutine at each interval until stop is closed, and returns a
// function that waits for all calls.
func every(interval time.Duration, stop <-chan struct{}, f func(n int)) (wait func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
				wg.Go(func() { f(n) })
			}
		}
	})
	return wg.Wait
}

// playWeights: the workers are replaced one after the other by workers whose weights have
// the next version, while one caller goes on asking for the version that it knows.
func playWeights(cl *cluster, trouble bool) (verdict, error) {
	const service, key = "lm", "key-of-garden"
	zones := []string{"za", "zb", "zc"}
	newWorker := func(n, weights int) *worker {
		return &worker{id: fmt.Sprintf("w%d-weights%d", n, weights), service: service, zone: zones[n%3], version: "v1", weights: weights,
			slots: 8, events: 34, interval: 10 * time.Millisecond, first: 20 * time.Millisecond}
	}
	for n := range 6 {
		if err := cl.addWorker(newWorker(n, 1)); err != nil {
			return notRun, err
		}
	}
	err := cl.configure([]string{service}, []customer{{"garden", []string{key}}},
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
	stop := make(chan struct{})
	var plain, pinned tally
	waitPlain := every(100*time.Millisecond, stop, func(n int) {
		plain.add(cl.ask(cl.entries[n%3], newID("plain"), "/ask/q", key, nil, []byte("question "+strconv.Itoa(n))))
	})
	waitPinned := every(400*time.Millisecond, stop, func(n int) {
		h := map[string]string{names.ExpectVersion: "1"}
		a := cl.ask(cl.entries[n%3], newID("pinned"), "/ask/p", key, h, []byte("pinned question "+strconv.Itoa(n)))
		if a.status == http.StatusServiceUnavailable { // one retry, at another entry, after a promise
			time.Sleep(300 * time.Millisecond)
			a = cl.ask(cl.entries[(n+1)%3], newID("pinned"), "/ask/p", key, h, []byte("pinned question "+strconv.Itoa(n)))
		}
		pinned.add(a)
	})
	time.Sleep(4 * time.Second)
	report := func(when string) {
		n, ok := plain.take()
		m, okPinned := pinned.take()
		cl.record.say("%s: %d of %d plain requests served, %d of %d that expect weights 1", when, ok, n, okPinned, m)
	}
	report("before the release")
	if trouble {
		for half := range 2 {
			for n := 3 * half; n < 3*half+3; n++ {
				if err := cl.addWorker(newWorker(n, 2)); err != nil {
					return notRun, err
				}
				time.Sleep(200 * time.Millisecond)
				old := cl.workers[n]
				old.drain()
				time.AfterFunc(drainTime+time.Second, old.leave)
				time.Sleep(time.Second)
			}
		}
	} else {
		time.Sleep(7200 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	report("during the release")
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
	waitPlain()
	waitPinned()
	report("after the release")
	cl.record.say("traffic has ended; the job has %v more", completion)
	time.Sleep(completion)
	return cl.judgeJob(job, key, items)
}

// judgeJob judges LOST at the end of completionS: an item of an open job is listed neither as
// completed nor as errored, though in the last 5 s no worker had an unlisted item of the job
// and the workers were under half full, and in the last 3 s no item was finished.
func (cl *cluster) judgeJob(job, key string, items []item) (verdict, error) {
	now := time.Now()
	listed := make(map[string]result)
	for _, e := range cl.entries {
		list, _, err := cl.results(e, job, key)
		if err != nil {
			cl.record.say("%v", err)
			continue
		}
		for _, r := range list {
			listed[r.ID] = r
		}
	}
	missing := 0
	for _, it := range items {
		if listed[it.ID].State == "" {
			missing++
		}
	}
	running, busy := 0, 0
	for _, w := range cl.workers {
		for _, r := range w.allRuns() {
			own := false
			for _, it := range items {
				own = own || it.ID == r.id
			}
			if own && listed[r.id].State == "" && (r.end.IsZero() || now.Sub(r.end) < 5*time.Second) {
				running++
			}
			if r.end.IsZero() || now.Sub(r.end) < 5*time.Second {
				busy++
			}
		}
	}
	cl.record.say("job %s: %d of %d items are not listed; in the last 5 s workers had %d unlisted items of it and %d requests in all", job, missing, len(items), running, busy)
	if missing > 0 && running == 0 && busy == 0 {
		return broken, nil
	}
	return held, nil
}
