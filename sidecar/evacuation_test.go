package sidecar_test

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
)

func inDataCentre(name string) func(*sidecar.Settings, *sidecar.Deps) {
	return func(s *sidecar.Settings, _ *sidecar.Deps) { s.DataCentre = name }
}

// evacuate applies the current deployment with the given evacuated data centres.
func (f *fixture) evacuate(dataCentres ...string) {
	now := f.config.Current()
	state := *now.State
	state.Evacuations = make(map[string]bool)
	for _, d := range dataCentres {
		state.Evacuations[d] = true
	}
	f.config.Set(config.NewSnapshot(now.Version+1, &state))
}

// Guards against requests of an entry that does not know the evacuation yet and against
// queued requests that reach the endpoint of an evacuated data centre, and against streams
// in progress that are broken off.
func TestSidecar_RefusesRequestsWhileEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newEngine(t, engine.Options{})
		f := newFixture(t, e, modelDeployment(1), inDataCentre("dc-1"))
		running, queued := make(chan result, 1), make(chan result, 1)
		go func() { running <- f.result(t.Context(), call{id: "running", body: streamed(chat("hello", 500))}) }()
		eventually(t, "the first request runs", func() bool { return e.Stats().Tokens > 10 })
		go func() { queued <- f.result(t.Context(), call{id: "queued", body: chat("hello", 20)}) }()
		synctest.Wait()

		f.evacuate("dc-1")
		late := f.result(t.Context(), call{id: "late", body: chat("hello", 20)})
		g.Expect(late.failure).NotTo(gomega.BeNil())
		g.Expect(late.failure.Code).To(gomega.Equal(api.CodeEvacuated))
		g.Expect(late.failure.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(late.failure.RetryAfter).To(gomega.BeNumerically(">", time.Second))
		r := <-running
		g.Expect(r.status).To(gomega.Equal(http.StatusOK))
		g.Expect(r.truncated).To(gomega.BeFalse())
		q := <-queued
		g.Expect(q.failure).NotTo(gomega.BeNil())
		g.Expect(q.failure.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(e.Runs("queued") + e.Runs("late")).To(gomega.BeZero())

		f.evacuate()
		g.Expect(f.result(t.Context(), call{id: "after", body: chat("hello", 20)}).status).To(gomega.Equal(http.StatusOK))
	})
}

// Guards against items that start or go on in an evacuated data centre, that lose their
// tokens when they are moved, and against an item that may not run twice and is stopped.
func TestBatch_MovesItemsWhileEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e, owner := newEngine(t, engine.Options{}), newFakeOwner()
		f := newFixture(t, e, modelDeployment(8), withBatch(owner), inDataCentre("dc-1"))
		once := work(1, chat("ledger", 400))
		once.Idempotent = false
		owner.add(work(0, chat("ledger", 400)), once)
		f.runBatch()
		eventually(t, "items run", func() bool { return e.Stats().Tokens > 100 })
		f.evacuate("dc-1")
		eventually(t, "the idempotent item is returned", func() bool {
			_, states := owner.final(0)
			return len(states) > 0
		})
		_, states := owner.final(0)
		g.Expect(states).To(gomega.HaveEach(api.ResultReturned))
		eventually(t, "the other item ends where it runs", func() bool { return owner.completedCount() == 1 })
		result, _ := owner.final(1)
		g.Expect(result.State).To(gomega.Equal(api.ResultDone))
		time.Sleep(10 * time.Second) // for the pull that was waiting
		tokens, pulls := e.Stats().Tokens, owner.pullCount()
		time.Sleep(10 * time.Second)
		g.Expect(e.Stats().Tokens).To(gomega.Equal(tokens), "nothing starts while evacuated")
		g.Expect(owner.pullCount()).To(gomega.Equal(pulls), "nothing is pulled only to be returned")

		f.evacuate()
		eventually(t, "the item goes on", func() bool { return owner.completedCount() == 2 })
		result, _ = owner.final(0)
		req := chat("ledger", 400)
		g.Expect(batchText(t, result)).To(gomega.Equal(engine.ResponseText(&req, 400)))
		g.Expect(e.Stats().Tokens).To(gomega.BeNumerically("<=", 805), "tokens were generated twice")
	})
}

// pullCount returns the number of times that the owner looked for items.
func (o *fakeOwner) pullCount() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.pulls
}
