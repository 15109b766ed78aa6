package sidecar_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/plain"
)

func TestBatch_FillsIdleSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(4), withBatch(owner))
		for i := range 10 {
			owner.add(work(i, chat(fmt.Sprint("item ", i), 50)))
		}
		f.runBatch()
		eventually(t, "four run", func() bool { return e.InFlight() == 4 })
		eventually(t, "all complete", func() bool { return owner.completedCount() == 10 })
		for i := range 10 {
			req := chat(fmt.Sprint("item ", i), 50)
			got, states := owner.final(i)
			g.Expect(batchText(t, got)).To(gomega.Equal(engine.ResponseText(&req, 50)))
			g.Expect(states).To(gomega.Equal([]api.ResultState{api.ResultDone}))
		}
	})
}

func TestBatch_ResumesExactlyAfterPreemption(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(1), withBatch(owner))
		req := chat("ledger", 200)
		owner.add(work(0, req))
		f.runBatch()
		eventually(t, "item runs", func() bool { return e.Stats().Tokens > 50 })

		start := time.Now()
		got := f.result(t.Context(), call{id: "1", body: chat("hello", 1)})
		g.Expect(got.failure).To(gomega.BeNil())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", 30*time.Millisecond))

		eventually(t, "item completes", func() bool { return owner.completedCount() == 1 })
		final, states := owner.final(0)
		g.Expect(batchText(t, final)).To(gomega.Equal(engine.ResponseText(&req, 200)))
		g.Expect(states).To(gomega.HaveLen(1))
		g.Expect(e.Stats().Tokens).To(gomega.BeNumerically("<=", 200+1+2), "no token is generated twice")
	})
}

func TestBatch_ReturnsItemWithResumePositionWhenSlotsStayBusy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(1), withBatch(owner))
		owner.add(work(0, chat("ledger", 2000)))
		f.runBatch()
		eventually(t, "item runs", func() bool { return e.Stats().Tokens > 50 })
		go f.result(t.Context(), call{id: "1", body: chat("hello", 2000)})
		eventually(t, "item is returned", func() bool { return owner.assignedCount() == 0 })
		owner.mu.Lock()
		defer owner.mu.Unlock()
		g.Expect(owner.states[0]).To(gomega.Equal([]api.ResultState{api.ResultReturned}))
		g.Expect(owner.pending[0].Resume.Tokens).To(gomega.BeNumerically(">", 50))
		g.Expect(owner.pending[0].Resume.Text).To(gomega.HaveLen(owner.pending[0].Resume.Tokens * engine.TokenBytes))
	})
}

func TestBatch_CancelledItemEndsWithinOneSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(2), withBatch(owner))
		owner.add(work(0, chat("ledger", 100_000)))
		f.runBatch()
		eventually(t, "item runs", func() bool { return e.Stats().Tokens > 50 })
		owner.cancelItem(0)
		time.Sleep(time.Second)
		g.Expect(e.InFlight()).To(gomega.BeZero())
		g.Expect(owner.completedCount()).To(gomega.Equal(1))
	})
}

func TestBatch_HoldsResultsWhileOwnersAreDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(2), withBatch(owner))
		owner.add(work(0, chat("a", 100)), work(1, chat("b", 100)))
		f.runBatch()
		eventually(t, "items run", func() bool { return e.InFlight() == 2 })
		owner.setDown(true)
		time.Sleep(5 * time.Minute)
		g.Expect(e.InFlight()).To(gomega.BeZero())
		g.Expect(owner.completedCount()).To(gomega.BeZero())
		owner.setDown(false)
		eventually(t, "results arrive", func() bool { return owner.completedCount() == 2 })
	})
}

func TestDrain_ReturnsBatchItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(4), withBatch(owner))
		for i := range 8 {
			owner.add(work(i, chat(fmt.Sprint("item ", i), 10_000)))
		}
		f.runBatch()
		eventually(t, "items run", func() bool { return e.Stats().Tokens > 200 })
		start := time.Now()
		g.Expect(f.sidecar.Drain(t.Context())).To(gomega.Succeed())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))
		g.Expect(owner.assignedCount()).To(gomega.BeZero())
		owner.mu.Lock()
		defer owner.mu.Unlock()
		g.Expect(owner.pending).To(gomega.HaveLen(8))
		resumed := 0
		for _, w := range owner.pending {
			if w.Resume != nil {
				resumed++
			}
		}
		g.Expect(resumed).To(gomega.Equal(4))
	})
}

func TestBatch_NonIdempotentItemStartsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		service, owner := plain.New(), newFakeOwner()
		service.SetDelay(10 * time.Second)
		service.SetLoseResponses(true)
		f := newFixture(t, service, config.Deployment{Kind: config.KindPlain, Slots: 1}, withBatch(owner))
		item := work(0, "confirm")
		item.Path, item.Idempotent = "/confirm", false
		owner.add(item)
		f.runBatch()
		eventually(t, "item runs", func() bool { return service.Total() == 1 })

		// An item that can't be preempted does not block an online request.
		service.SetDelay(0)
		service.SetLoseResponses(false)
		start := time.Now()
		got := f.result(t.Context(), call{id: "1", path: "/ask", body: "x"})
		g.Expect(got.failure).To(gomega.BeNil())
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<", time.Second))

		time.Sleep(10 * time.Second)
		eventually(t, "item ends", func() bool { return owner.completedCount() == 1 })
		final, _ := owner.final(0)
		g.Expect(final.State).To(gomega.Equal(api.ResultUnknown))
		g.Expect(service.Total()).To(gomega.Equal(2))
	})
}

func TestBatch_ResumesItemAfterEndpointCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(1), withBatch(owner))
		req := chat("ledger", 200)
		owner.add(work(0, req))
		f.runBatch()
		eventually(t, "item runs", func() bool { return e.Stats().Tokens > 50 })
		e.Crash()
		time.Sleep(time.Minute)
		owner.mu.Lock()
		g.Expect(owner.states[0]).To(gomega.Equal([]api.ResultState{api.ResultUnknown}), "no item is pulled while the engine is down")
		owner.mu.Unlock()
		e.Restart()
		eventually(t, "item completes", func() bool { return owner.completedCount() == 1 })
		final, _ := owner.final(0)
		g.Expect(batchText(t, final)).To(gomega.Equal(engine.ResponseText(&req, 200)))
	})
}

func TestBatch_RunsOneSuspectItemAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(4), withBatch(owner))
		for i := range 4 {
			w := work(i, chat(fmt.Sprint("item ", i), 50))
			w.Suspect = true
			owner.add(w)
		}
		f.runBatch()
		most := 0
		eventually(t, "all complete", func() bool {
			most = max(most, e.InFlight())
			return owner.completedCount() == 4
		})
		g.Expect(most).To(gomega.Equal(1))
	})
}

// emptySource replies to the first limit pulls at once, without items. It blocks
// further ones until their context ends, so that a busy loop does not run forever.
type emptySource struct {
	pulls atomic.Int64
	limit int64
}

func (s *emptySource) Pull(ctx context.Context, _ api.PullArgs) (api.PullReply, error) {
	if s.pulls.Add(1) > s.limit {
		<-ctx.Done()
	}
	return api.PullReply{}, nil
}

func (s *emptySource) Report(context.Context, api.ReportArgs) (api.ReportReply, error) {
	return api.ReportReply{}, nil
}

// TestBatch_DelaysPullAfterEmptyReply guards against a busy loop of pulls when
// owners reply at once without items.
func TestBatch_DelaysPullAfterEmptyReply(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		source := &emptySource{limit: 1000}
		f := newFixture(t, http.NotFoundHandler(), config.Deployment{Kind: config.KindModel, Slots: 4}, withBatch(source))
		f.runBatch()
		time.Sleep(10 * time.Second)
		g.Expect(source.pulls.Load()).To(gomega.BeNumerically("<=", 40), "pulls in 10 s")
	})
}
