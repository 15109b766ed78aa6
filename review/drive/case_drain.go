//go:build review

package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["drain"] = playDrain }

const (
	// contact is the bound contactMs: an entry is in touch that long after a disruption.
	contact = 3 * time.Second
	// shortCut is the length of the cut between one entry and the store.
	shortCut = 3 * time.Second
	// leaveAfter is the time from the end of the cut until the first of two workers begins to
	// leave, leaveGap that between them.
	leaveAfter = 2450 * time.Millisecond
	leaveGap   = 170 * time.Millisecond
)

// playDrain: one entry is cut off from the store for a while. After that, two workers leave
// without saying so: their entries are removed, and they serve for drainMs and a little longer.
func playDrain(cl *cluster, trouble bool) (verdict, error) {
	const service, key = "lm", "key-of-garden"
	zones := []string{"za", "zb", "zc"}
	for n := range 12 {
		w := &worker{id: fmt.Sprintf("w%d", n), service: service, zone: zones[n%3], version: "v1", weights: 1,
			slots: 8, events: 20, interval: 5 * time.Millisecond, first: 10 * time.Millisecond}
		if err := cl.addWorker(w); err != nil {
			return notRun, err
		}
	}
	if err := cl.configure([]string{service}, []customer{{"garden", []string{key}}}, route("confirm", "/confirm/", "streaming", false, 1, service)); err != nil {
		return notRun, err
	}
	way, err := newLink(cl.storeAddr)
	if err != nil {
		return notRun, err
	}
	for i, z := range zones {
		storeAddr := cl.storeAddr
		if i == 0 {
			storeAddr = way.addr()
		}
		if _, err := cl.addEntry(z, storeAddr); err != nil {
			return notRun, err
		}
	}
	if err := cl.awaitReady(10 * time.Second); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var mu sync.Mutex
	sentAt, answers := make(map[string]time.Time), make(map[string]answer)
	wait := every(5*time.Millisecond, stop, func(n int) {
		id := newID("confirm")
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		a := cl.ask(cl.entries[0], id, "/confirm/q", key, nil, []byte("pickup "+strconv.Itoa(n)))
		mu.Lock()
		answers[id] = a
		mu.Unlock()
	})
	time.Sleep(3 * time.Second)
	if trouble {
		cl.record.say("entry %s is cut off from the store for %v", cl.entries[0].name, shortCut)
		way.setCut(true)
	}
	time.Sleep(shortCut)
	way.setCut(false)
	healedAt := time.Now()
	cl.record.printf("the cut ends")
	time.Sleep(leaveAfter)
	var goneAt []time.Time
	for _, w := range cl.workers[:2] {
		w.removeEntry()
		goneAt = append(goneAt, time.Now())
		time.AfterFunc(drainTime+350*time.Millisecond, w.stop)
		time.Sleep(leaveGap)
	}
	time.Sleep(drainTime + 1500*time.Millisecond)
	close(stop)
	wait()
	late, lost, last := 0, 0, time.Duration(0)
	for i, gone := range goneAt {
		for _, id := range cl.workers[i].arrivals() {
			s := sentAt[id]
			if s.Sub(gone) <= drainTime || s.Sub(healedAt) < contact {
				continue
			}
			late++
			last = max(last, s.Sub(gone))
			a := answers[id]
			if a.status != http.StatusOK {
				lost++
			}
			cl.record.say("%s, sent %.3f s after the acknowledgement, reaches worker %s and gets %s", id, s.Sub(gone).Seconds(), cl.workers[i].id, a)
		}
	}
	cl.record.say("%d requests reach a worker that were sent later than drainMs after the acknowledgement that it is gone, the last %.3f s after it; %d of them are lost",
		late, last.Seconds(), lost)
	if late > 0 {
		return broken, nil
	}
	return held, nil
}
