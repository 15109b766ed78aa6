//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes of unframedStream.
const (
	streamEvents  = 34
	streamClients = 16
	streamTime    = 8 * time.Second
)

// streamResult is what a client got for one request.
type streamResult struct {
	id     string
	status int
	body   string
	err    error
}

// unframedStream has workers whose answers have no length. One of six workers is killed while
// clients read streams of a route that may be resumed.
func unframedStream(c *cluster, trouble bool) ([]string, error) {
	c.configure(1)
	if err := c.startWorkers(unframedWorkers, workerSettings{Slots: 8, Events: streamEvents, EventMs: 12, Unframed: true}); err != nil {
		return nil, err
	}
	if err := c.startGateways(3); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if trouble {
		time.AfterFunc(streamTime/2, func() {
			p := c.busiest()
			p.kill()
			c.note("worker %s is killed", p.name)
			time.AfterFunc(3*time.Second, func() { _ = p.start() })
		})
	}
	results := c.streamFor(streamTime)
	var breaches []string
	served := 0
	for _, r := range results {
		whole := wholeStream(r.id, streamEvents)
		events := strings.Count(r.body, "id: ")
		if r.err == nil && r.status == http.StatusOK && r.body == whole {
			served++
			continue
		}
		c.note("request %s: status %d, %d events, error: %v", r.id, r.status, events, r.err)
		if r.err == nil && r.status == http.StatusOK {
			breaches = append(breaches, fmt.Sprintf("ORDER: the answer to request %s ends as complete after %d of %d events", r.id, events, streamEvents))
		}
	}
	c.note("%d requests sent, %d served whole", len(results), served)
	if served < len(results)/2 {
		return nil, fmt.Errorf("only %d of %d requests were served", served, len(results))
	}
	return breaches, nil
}

// streamFor has clients send one request after the other, in keeping with the customer's rate.
func (c *cluster) streamFor(d time.Duration) []streamResult {
	var mu sync.Mutex
	var results []streamResult
	var done sync.WaitGroup
	end := time.Now().Add(d)
	for range streamClients {
		done.Add(1)
		go func() {
			defer done.Done()
			for time.Now().Before(end) {
				id := fmt.Sprintf("%016x", rand.Uint64())
				status, body, err := c.call(rand.IntN(len(c.gateways)), http.MethodPost, "/lohu930/"+id[:4], map[string]string{
					names.Headers.ID: id, names.Headers.Deadline: "5000", names.Headers.Model: "m",
					names.Headers.Tokens: "450,80", names.Headers.Parts: "5c1e07a2:200," + id[8:] + ":250",
				}, []byte("question "+id))
				mu.Lock()
				results = append(results, streamResult{id: id, status: status, body: string(body), err: err})
				mu.Unlock()
				time.Sleep(time.Duration(50+rand.IntN(100)) * time.Millisecond)
			}
		}()
	}
	done.Wait()
	return results
}

// wholeStream returns the body of a whole answer.
func wholeStream(id string, events int) string {
	var b strings.Builder
	for n := 1; n <= events; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: %s\n\n", n, eventData(id, n, 0))
	}
	return b.String()
}
