package sidecar_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

// fakeOwner is an in-memory job owner. It assigns each item to pulls until the
// item has a final result.
type fakeOwner struct {
	mu           sync.Mutex
	pending      []api.Work
	assigned     map[api.WorkRef]api.Work // attempts without a result
	cancelled    map[api.WorkRef]bool
	items        map[int]api.Work          // as last assigned, by item
	finalResults map[int]api.Result        // by item
	states       map[int][]api.ResultState // of all results, by item
	losses       map[int]int               // results with an unknown outcome, by item
	down         bool                      // calls fail
	pulls        int
	attempts     int
	added        chan struct{} // signalled when pending or down may have changed
}

// maxLosses is the number of results with an unknown outcome after which an item
// is not assigned again.
const maxLosses = 3

func newFakeOwner() *fakeOwner {
	return &fakeOwner{
		assigned:     make(map[api.WorkRef]api.Work),
		cancelled:    make(map[api.WorkRef]bool),
		items:        make(map[int]api.Work),
		finalResults: make(map[int]api.Result),
		states:       make(map[int][]api.ResultState),
		losses:       make(map[int]int),
		added:        make(chan struct{}, 1),
	}
}

// add adds items to assign.
func (o *fakeOwner) add(work ...api.Work) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pending = append(o.pending, work...)
	o.signalAdded()
}

func (o *fakeOwner) signalAdded() {
	select {
	case o.added <- struct{}{}:
	default:
	}
}

func (o *fakeOwner) setDown(down bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.down = down
	o.signalAdded()
}

// Pull implements sidecar.BatchSource.
func (o *fakeOwner) Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error) {
	timeout := time.After(args.Wait)
	for {
		work, err := o.assign(args.Slots)
		if err != nil || len(work) > 0 {
			return api.PullReply{Work: work}, err
		}
		select {
		case <-o.added:
		case <-timeout:
			return api.PullReply{}, nil
		case <-ctx.Done():
			return api.PullReply{}, ctx.Err()
		}
	}
}

// assign returns up to slots pending items, each with a new attempt ID.
func (o *fakeOwner) assign(slots int) ([]api.Work, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.pulls++
	if o.down {
		return nil, errors.New("owner is down")
	}
	n := min(slots, len(o.pending))
	work := o.pending[:n:n]
	o.pending = o.pending[n:]
	for i := range work {
		o.attempts++
		work[i].Attempt = fmt.Sprint(o.attempts)
		o.assigned[work[i].WorkRef] = work[i]
		o.items[work[i].Item] = work[i]
	}
	return work, nil
}

// Report implements sidecar.BatchSource.
func (o *fakeOwner) Report(_ context.Context, args api.ReportArgs) (api.ReportReply, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.down {
		return api.ReportReply{}, errors.New("owner is down")
	}
	for _, r := range args.Results {
		o.applyResult(r)
	}
	var reply api.ReportReply
	for _, ref := range args.Running {
		if o.cancelled[ref] {
			reply.Stop = append(reply.Stop, ref)
		}
	}
	return reply, nil
}

// applyResult records a result. If it is not final, the item is assigned again.
func (o *fakeOwner) applyResult(r api.Result) {
	w, ok := o.assigned[r.WorkRef]
	if !ok {
		return
	}
	delete(o.assigned, r.WorkRef)
	o.states[r.Item] = append(o.states[r.Item], r.State)
	if r.State == api.ResultUnknown {
		o.losses[r.Item]++
	}
	final := r.State == api.ResultDone || r.State == api.ResultUnknown && !w.Idempotent
	if final || o.cancelled[r.WorkRef] || o.losses[r.Item] >= maxLosses {
		o.finalResults[r.Item] = r
		return
	}
	w.Resume = r.Resume
	o.pending = append(o.pending, w)
	o.signalAdded()
}

// cancelItem cancels the assigned attempts of an item.
func (o *fakeOwner) cancelItem(item int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for ref := range o.assigned {
		if ref.Item == item {
			o.cancelled[ref] = true
		}
	}
}

// completedCount returns the number of items with a final result.
func (o *fakeOwner) completedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.finalResults)
}

// final returns the final result of an item and the states of all its results.
func (o *fakeOwner) final(item int) (api.Result, []api.ResultState) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.finalResults[item], o.states[item]
}

// assignedCount returns the number of assigned attempts without a result.
func (o *fakeOwner) assignedCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.assigned)
}

// work returns an idempotent item of job "j".
func work(item int, body any) api.Work {
	b, _ := json.Marshal(body)
	return api.Work{
		WorkRef:    api.WorkRef{Job: "j", Item: item},
		Customer:   "ledger",
		Deployment: deployment,
		Path:       "/v1/chat/completions",
		Body:       b,
		Idempotent: true,
	}
}

// withBatch returns an option of newFixture that sets the batch source.
func withBatch(s sidecar.BatchSource) func(*sidecar.Settings, *sidecar.Deps) {
	return func(_ *sidecar.Settings, d *sidecar.Deps) { d.Batch = s }
}

// runBatch runs the sidecar's background loops until the test ends.
func (f *fixture) runBatch() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.sidecar.Run(ctx)
	}()
	f.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// batchText returns the text of an item's response.
func batchText(t *testing.T, r api.Result) string {
	t.Helper()
	var out api.ChatResponse
	if err := json.Unmarshal(r.Body, &out); err != nil || len(out.Choices) == 0 {
		t.Fatalf("result body is not a chat completion with choices: %q", r.Body)
	}
	return out.Choices[0].Message.Content
}

// request returns the chat request of an item.
func request(w api.Work) api.ChatRequest {
	var r api.ChatRequest
	_ = json.Unmarshal(w.Body, &r)
	return r
}

// item returns an item as it was last assigned, or false if it never was.
func (o *fakeOwner) item(i int) (api.Work, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w, ok := o.items[i]
	return w, ok
}

// engineRuns returns how often e ran an item, summed over its attempts.
func (o *fakeOwner) engineRuns(item int, e *engine.Engine) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for a := 1; a <= o.attempts; a++ {
		n += e.Runs(fmt.Sprintf("batch/j/%d/%d", item, a))
	}
	return n
}
