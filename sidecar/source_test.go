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
type source struct {
	mu       sync.Mutex
	ready    []api.Work
	out      map[api.WorkRef]api.Work // handed out
	stop     map[api.WorkRef]bool
	all      map[int]api.Work   // by item
	finals   map[int]api.Result // by item
	ends     map[int][]api.ResultState
	deaths   map[int]int
	down     bool
	pulls    int
	attempts int
	grown    chan struct{}
}

// maxDeaths is how often an item may be lost with its endpoint.
const maxDeaths = 3

func newSource() *source {
	return &source{
		out:    make(map[api.WorkRef]api.Work),
		stop:   make(map[api.WorkRef]bool),
		all:    make(map[int]api.Work),
		finals: make(map[int]api.Result),
		ends:   make(map[int][]api.ResultState),
		deaths: make(map[int]int),
		grown:  make(chan struct{}, 1),
	}
}

// add queues items of job "j".
func (s *source) add(work ...api.Work) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready = append(s.ready, work...)
	s.wake()
}

func (s *source) wake() {
	select {
	case s.grown <- struct{}{}:
	default:
	}
}

func (s *source) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

func (s *source) Pull(ctx context.Context, args api.PullArgs) (api.PullReply, error) {
	timeout := time.After(args.Wait)
	for {
		work, err := s.take(args.Slots)
		if err != nil || len(work) > 0 {
			return api.PullReply{Work: work}, err
		}
		select {
		case <-s.grown:
		case <-timeout:
			return api.PullReply{}, nil
		case <-ctx.Done():
			return api.PullReply{}, ctx.Err()
		}
	}
}

func (s *source) take(slots int) ([]api.Work, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pulls++
	if s.down {
		return nil, errors.New("owner is down")
	}
	n := min(slots, len(s.ready))
	work := s.ready[:n:n]
	s.ready = s.ready[n:]
	for i := range work {
		s.attempts++
		work[i].Attempt = fmt.Sprint(s.attempts)
		s.out[work[i].WorkRef] = work[i]
		s.all[work[i].Item] = work[i]
	}
	return work, nil
}

func (s *source) Report(_ context.Context, args api.ReportArgs) (api.ReportReply, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return api.ReportReply{}, errors.New("owner is down")
	}
	for _, r := range args.Results {
		s.end(r)
	}
	var reply api.ReportReply
	for _, ref := range args.Running {
		if s.stop[ref] {
			reply.Stop = append(reply.Stop, ref)
		}
	}
	return reply, nil
}

// end takes a result: a final one counts, others queue the item again.
func (s *source) end(r api.Result) {
	w, ok := s.out[r.WorkRef]
	if !ok {
		return
	}
	delete(s.out, r.WorkRef)
	s.ends[r.Item] = append(s.ends[r.Item], r.State)
	if r.State == api.ResultUnknown {
		s.deaths[r.Item]++
	}
	final := r.State == api.ResultDone || r.State == api.ResultUnknown && !w.Idempotent
	if final || s.stop[r.WorkRef] || s.deaths[r.Item] >= maxDeaths {
		s.finals[r.Item] = r
		return
	}
	w.Resume = r.Resume
	s.ready = append(s.ready, w)
	s.wake()
}

// cancel stops the attempts of an item that are handed out.
func (s *source) cancel(item int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for ref := range s.out {
		if ref.Item == item {
			s.stop[ref] = true
		}
	}
}

func (s *source) completed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.finals)
}

func (s *source) final(item int) (api.Result, []api.ResultState) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finals[item], s.ends[item]
}

// handedOut returns the number of items handed out without a result.
func (s *source) handedOut() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.out)
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
func (r *rig) runBatch() {
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
func (s *source) item(i int) (api.Work, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w, ok := s.all[i]
	return w, ok
}

// starts returns how often the engine got an item, by any attempt.
func (s *source) starts(item int, e *engine.Engine) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for a := 1; a <= s.attempts; a++ {
		n += e.Runs(fmt.Sprintf("batch/j/%d/%d", item, a))
	}
	return n
}
