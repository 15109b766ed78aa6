package load

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
)

// pollInterval is the time between two requests for the status of a job, and the delay
// before a request is retried.
const pollInterval = 250 * time.Millisecond

// runBatch submits the job b, or sends its items as online requests, at its time in the
// run and records the result. It waits until all items have completed or failed, or
// timeout has passed since the start of the run.
func (r *runner) runBatch(ctx context.Context, b Batch, timeout time.Duration) {
	if !r.waitUntil(ctx, b.At) {
		return
	}
	c := r.customer(b.Customer)
	began := time.Now()
	result := JobResult{Items: b.Items}
	if b.Online {
		result.Completed = r.batchOnline(ctx, c, b, r.start.Add(timeout))
	} else {
		result.ID = r.submit(ctx, c, r.plan.lines(c.Model, b), r.start.Add(timeout))
		result.Completed = r.waitJob(ctx, c, result.ID, b.Items, r.start.Add(timeout))
	}
	result.Duration = time.Since(began)
	r.result.mu.Lock()
	defer r.result.mu.Unlock()
	r.result.Jobs = append(r.result.Jobs, result)
}

// submit submits a file and returns the ID of the job. It retries failed requests until
// deadline and then returns an empty ID. All requests have the same idempotency key, so
// that they create at most one job.
func (r *runner) submit(ctx context.Context, c Customer, lines []byte, deadline time.Time) string {
	key := uuid.NewString()
	for {
		id := r.submitOnce(ctx, c, lines, key)
		if id != "" || !time.Now().Before(deadline) || ctx.Err() != nil {
			return id
		}
		time.Sleep(pollInterval)
	}
}

func (r *runner) submitOnce(ctx context.Context, c Customer, lines []byte, key string) string {
	req, err := r.request(ctx, c, http.MethodPost, "/v1/batches", "application/jsonl", lines)
	if err != nil {
		return ""
	}
	req.Header.Set("Idempotency-Key", key)
	resp, err := r.target.Client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var job struct{ ID string }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&job) != nil {
		return ""
	}
	return job.ID
}

// jobStatus has the fields of a job that waitJob reads.
type jobStatus struct {
	RequestCounts struct {
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
}

// waitJob waits until all items of the job have completed or failed, or until deadline,
// and returns the number of those that have. It returns 0 at once if id is empty.
func (r *runner) waitJob(ctx context.Context, c Customer, id string, items int, deadline time.Time) int {
	done := 0
	for id != "" && done < items && time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(pollInterval)
		resp, err := r.send(ctx, c, http.MethodGet, "/v1/batches/"+id, "application/json", nil)
		if err != nil {
			continue
		}
		var status jobStatus
		if json.NewDecoder(resp.Body).Decode(&status) == nil && resp.StatusCode == http.StatusOK {
			done = status.RequestCounts.Completed + status.RequestCounts.Failed
		}
		resp.Body.Close()
	}
	return done
}

// onlineWorkers is the maximum number of batch items that are in flight at a time as
// online requests.
const onlineWorkers = 64

// batchOnline sends the items of a batch as online requests, as for a service without
// batch jobs, and returns the number of those that succeeded.
func (r *runner) batchOnline(ctx context.Context, c Customer, b Batch, deadline time.Time) int {
	items := make(chan int)
	var wg sync.WaitGroup
	var mu sync.Mutex
	done := 0
	for range onlineWorkers {
		wg.Go(func() {
			for i := range items {
				if r.sendItem(ctx, c, i, deadline) {
					mu.Lock()
					done++
					mu.Unlock()
				}
			}
		})
	}
	for i := range b.Items {
		items <- i
	}
	close(items)
	wg.Wait()
	return done
}

// sendItem sends one item as an online request and retries it until it succeeds. It
// returns false if the item has not succeeded by deadline. Serials of items start at
// 1,000,000, so that their prompts differ from those of the online load.
func (r *runner) sendItem(ctx context.Context, c Customer, item int, deadline time.Time) bool {
	body := r.plan.chat(c.Model, Arrival{Serial: 1_000_000 + item}, false)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		resp, err := r.send(ctx, c, http.MethodPost, "/v1/chat/completions", "application/json", body)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		if err == nil && resp.StatusCode == http.StatusOK {
			return true
		}
		time.Sleep(pollInterval)
	}
	return false
}
