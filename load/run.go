package load

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"dandelionrelay/api"
)

// Target is the system that receives the load.
type Target struct {
	Client  *http.Client
	Entries func() []string // returns the current base URLs of the entries; requests go to each in turn
}

// Run sends the load of p and waits for all responses and for all jobs, for the latter
// at most until grace has passed after the end of the load.
func Run(ctx context.Context, p *Plan, target Target, grace time.Duration) *Result {
	r := &runner{plan: p, target: target, result: newResult(p), start: time.Now()}
	var wg sync.WaitGroup
	for _, b := range p.Batches {
		wg.Go(func() { r.runBatch(ctx, b, p.Duration+grace) })
	}
	arrivals := p.Arrivals()
	for customer, n := range p.countWithinLimit(arrivals) {
		r.result.Customers[customer].WithinLimit = n
	}
	for _, a := range arrivals {
		if !r.waitUntil(ctx, a.At) {
			break
		}
		wg.Go(func() { r.sendOnline(ctx, a) })
	}
	wg.Wait()
	r.result.Elapsed = time.Since(r.start)
	return r.result
}

type runner struct {
	plan     *Plan
	target   Target
	result   *Result
	start    time.Time
	requests atomic.Uint64 // sent so far, to choose the next entry
}

// waitUntil waits until at has passed since the start of the run. It returns false if
// ctx ends first.
func (r *runner) waitUntil(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// nextEntry returns the base URL for the next request, or "" if there is no entry.
func (r *runner) nextEntry() string {
	n := r.requests.Add(1)
	entries := r.target.Entries()
	if len(entries) == 0 {
		return ""
	}
	return entries[n%uint64(len(entries))]
}

// customer returns the customer of the plan with that name. If there is none, it returns
// one without a key.
func (r *runner) customer(name string) Customer {
	for _, c := range r.plan.Customers {
		if c.Name == name {
			return c
		}
	}
	return Customer{Name: name}
}

// send sends one request of a customer.
func (r *runner) send(ctx context.Context, c Customer, method, path, contentType string, body []byte) (*http.Response, error) {
	req, err := r.request(ctx, c, method, path, contentType, body)
	if err != nil {
		return nil, err
	}
	return r.target.Client.Do(req)
}

func (r *runner) request(ctx context.Context, c Customer, method, path, contentType string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.nextEntry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", contentType)
	return req, nil
}

// sendOnline sends one streamed request and records its result.
func (r *runner) sendOnline(ctx context.Context, a Arrival) {
	c := r.plan.Customers[a.Customer]
	sent := time.Now()
	resp, err := r.send(ctx, c, http.MethodPost, "/v1/chat/completions", "application/json", r.plan.chat(c.Model, a, true))
	if err != nil {
		r.result.add(c.Name, requestResult{incomplete: true})
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		code := api.CodeInternal
		if e := api.ReadError(resp.StatusCode, resp.Header, body); e != nil {
			code = e.Code
		}
		r.result.add(c.Name, requestResult{code: code})
		return
	}
	r.result.add(c.Name, readStream(resp.Body, sent))
}
