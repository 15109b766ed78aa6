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

// Target is where the load goes.
type Target struct {
	Client  *http.Client
	Entries func() []string // base URLs of the entries now, used in turn as a balancer would
}

// Run sends the plan's load and waits for all answers and, within the grace
// after its end, for all jobs.
func Run(ctx context.Context, p *Plan, target Target, grace time.Duration) *Result {
	r := &runner{plan: p, target: target, result: newResult(p), start: time.Now()}
	var wg sync.WaitGroup
	for _, b := range p.Batches {
		wg.Go(func() { r.batch(ctx, b, p.Duration+grace) })
	}
	arrivals := p.Arrivals()
	for customer, n := range p.inside(arrivals) {
		r.result.Customers[customer].WithinLimit = n
	}
	for _, a := range arrivals {
		if !r.until(ctx, a.At) {
			break
		}
		wg.Go(func() { r.online(ctx, a) })
	}
	wg.Wait()
	r.result.Elapsed = time.Since(r.start)
	return r.result
}

type runner struct {
	plan   *Plan
	target Target
	result *Result
	start  time.Time
	turn   atomic.Uint64
}

// until waits for a time since the start; it returns false if ctx ends first.
func (r *runner) until(ctx context.Context, at time.Duration) bool {
	timer := time.NewTimer(time.Until(r.start.Add(at)))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// entry returns the base URL for the next request.
func (r *runner) entry() string {
	n := r.turn.Add(1)
	entries := r.target.Entries()
	if len(entries) == 0 {
		return ""
	}
	return entries[n%uint64(len(entries))]
}

func (r *runner) customer(name string) Customer {
	for _, c := range r.plan.Customers {
		if c.Name == name {
			return c
		}
	}
	return Customer{Name: name}
}

// send makes one request of a customer.
func (r *runner) send(ctx context.Context, c Customer, method, path, kind string, body []byte) (*http.Response, error) {
	req, err := r.request(ctx, c, method, path, kind, body)
	if err != nil {
		return nil, err
	}
	return r.target.Client.Do(req)
}

func (r *runner) request(ctx context.Context, c Customer, method, path, kind string, body []byte) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, method, r.entry()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	req.Header.Set("Content-Type", kind)
	return req, nil
}

// online sends one streamed request and records its answer.
func (r *runner) online(ctx context.Context, a Arrival) {
	c := r.plan.Customers[a.Customer]
	sent := time.Now()
	resp, err := r.send(ctx, c, http.MethodPost, "/v1/chat/completions", "application/json", r.plan.chat(c.Model, a, true))
	if err != nil {
		r.result.add(c.Name, answer{broken: true})
		return
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(resp.Body)
		code := api.CodeInternal
		if e := api.ReadError(resp.StatusCode, resp.Header, body); e != nil {
			code = e.Code
		}
		r.result.add(c.Name, answer{code: code})
		return
	}
	r.result.add(c.Name, readStream(resp.Body, sent))
}
