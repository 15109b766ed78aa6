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

// source is a job owner in memory: it hands out items, again and again until
// they have a final result.
type fakeOwner struct {
	mu           sync.Mutex
	pending      []api.Work
	assigned     map[api.WorkRef]api.Work // handed out
	cancelled    map[api.WorkRef]bool
	items        map[int]api.Work   // by item
	finalResults map[int]api.Result // by item
	states       map[int][]api.ResultState
	losses       map[int]int
	down         bool
	pulls        int
	attempts     int
	added        chan struct{}
}

// maxDeaths is how often an item may be lost with its endpoint.
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

// add queues items of job "j".
func (s *fakeOwner) add(work ...api.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending = append(s.pending, work...)
	s.signalAdded()
}

func (s *fakeOwner) signalAdded() {
	select {
	case s.added <- struct{}{}:
	default:
	}
}

func (s *fakeOwner) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.signalAdded()
}

func (s *fakeOwner) Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error) {
	timeout := time.After(args.Wait)
	for {
		work, err := s.assign(args.Slots)
		if err != nil || len(work) > 0 {
			return api.PullReply{Work: work}, err
		}
		select {
		case <-s.added:
		case <-timeout:
			return api.PullReply{}, nil
		case <-ctx.Done():
			return api.PullReply{}, ctx.Err()
		}
	}
}

func (s *fakeOwner) assign(slots int) ([]api.Work, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls++
	if s.down {
		return nil, errors.New("owner is down")
	}
	n := min(slots, len(s.pending))
	work := s.pending[:n:n]
	s.pending = s.pending[n:]
	for i := range work {
		s.attempts++
		work[i].Attempt = fmt.Sprint(s.attempts)
		s.assigned[work[i].WorkRef] = work[i]
		s.items[work[i].Item] = work[i]
	}
	return work, nil
}

func (s *fakeOwner) Report(_ context.Context, args api.ReportArgs) (api.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return api.ReportReply{}, errors.New("owner is down")
	}
	for _, r := range args.Results {
		s.applyResult(r)
	}
	var reply api.ReportReply
	for _, ref := range args.Running {
		if s.cancelled[ref] {
			reply.Stop = append(reply.Stop, ref)
		}
	}
	return reply, nil
}

// end takes a result: a final one counts, others queue the item again.
func (s *fakeOwner) applyResult(r api.Result) {
	w, ok := s.assigned[r.WorkRef]
	if !ok {
		return
	}
	delete(s.assigned, r.WorkRef)
	s.states[r.Item] = append(s.states[r.Item], r.State)
	if r.State == api.ResultUnknown {
		s.losses[r.Item]++
	}
	final := r.State == api.ResultDone || r.State == api.ResultUnknown && !w.Idempotent
	if final || s.cancelled[r.WorkRef] || s.losses[r.Item] >= maxLosses {
		s.finalResults[r.Item] = r
		return
	}
	w.Resume = r.Resume
	s.pending = append(s.pending, w)
	s.signalAdded()
}

// cancel stops the attempts of an item that are handed out.
func (s *fakeOwner) cancelItem(item int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref := range s.assigned {
		if ref.Item == item {
			s.cancelled[ref] = true
		}
	}
}

func (s *fakeOwner) completedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.finalResults)
}

func (s *fakeOwner) final(item int) (api.Result, []api.ResultState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finalResults[item], s.states[item]
}

// handedOut returns the number of items handed out without a result.
func (s *fakeOwner) assignedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.assigned)
}

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

// withBatch gives a rig a batch source.
func withBatch(s sidecar.BatchSource) func(*sidecar.Settings, *sidecar.Deps) {
	return func(_ *sidecar.Settings, d *sidecar.Deps) { d.Batch = s }
}

// runBatch drives the sidecar's loops until the test ends.
func (r *fixture) runBatch() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		r.sidecar.Run(ctx)
	}()
	r.t.Cleanup(func() {
		cancel()
		<-done
	})
}

// batchText returns the text of an item's answer.
func batchText(t *testing.T, r api.Result) string {
	t.Helper()
	var out api.ChatResponse
	if err := json.Unmarshal(r.Body, &out); err != nil || len(out.Choices) == 0 {
		t.Fatalf("not an answer: %q", r.Body)
	}
	return out.Choices[0].Message.Content
}

// request returns the chat request of an item.
func request(w api.Work) api.ChatRequest {
	var r api.ChatRequest
	_ = json.Unmarshal(w.Body, &r)
	return r
}

// item returns an item as it was handed out.
func (s *fakeOwner) item(i int) (api.Work, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.items[i]
	return w, ok
}

// starts returns how often the engine got an item, by any attempt.
func (s *fakeOwner) engineRuns(item int, e *engine.Engine) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for a := 1; a <= s.attempts; a++ {
		n += e.Runs(fmt.Sprintf("batch/j/%d/%d", item, a))
	}
	return n
}
