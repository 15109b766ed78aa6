package jobs_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/jobs"
	"dandelionrelay/membership"
)

// tokenBucket is an in-memory Budget with the rate and burst of the fleet's chunk
// appends.
type tokenBucket struct {
	mu          sync.Mutex
	tokens      float64
	refilledAt  time.Time
	unreachable bool
}

func (b *tokenBucket) Take(context.Context) (ok bool, wait time.Duration, reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachable {
		return false, 0, false
	}
	now := time.Now()
	b.tokens = min(b.tokens+now.Sub(b.refilledAt).Seconds()*jobs.ChunkAppendsPerSecond, jobs.ChunkAppendBurst)
	b.refilledAt = now
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / jobs.ChunkAppendsPerSecond * float64(time.Second)), true
	}
	b.tokens--
	return true, 0, true
}

// uploadFiles submits files concurrently to one of 400 entries and returns the
// elapsed time and the number of appends.
func uploadFiles(t *testing.T, files int, budget jobs.Budget) (elapsed time.Duration, appends int) {
	entries := make(membership.Static, 400)
	for n := range entries {
		entries[n] = infra.Instance{ID: fmt.Sprint(n), Role: infra.RoleEntry}
	}
	holder := new(config.Holder)
	holder.Set(config.NewSnapshot(1, &config.State{
		Routes: map[string]config.Route{"chat": {Model: "m", Deployment: "d", Idempotent: true}},
	}))
	log := new(countingLog)
	s := jobs.NewService(jobs.Options{Self: "0", Log: log, Members: entries, Config: holder, ChunkAppendBudget: budget})
	start := time.Now()
	var wg sync.WaitGroup
	for n := range files {
		wg.Go(func() {
			body := &generatedFile{items: 500, body: strings.Repeat("x", 20_000)}
			in := &jobs.Submission{Customer: "a", Name: fmt.Sprint(n), Body: body}
			if _, _, e := s.Accept(t.Context(), in); e != nil {
				t.Error(e)
			}
		})
	}
	wg.Wait()
	t.Logf("%d files: %d appends in %v", files, log.appends, time.Since(start))
	return time.Since(start), log.appends
}

func TestUploads_ShareFleetAppendBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		elapsed, appends := uploadFiles(t, 1, &tokenBucket{})
		g.Expect(appends).To(gomega.BeNumerically(">=", 10))
		g.Expect(elapsed.Seconds()).To(gomega.BeNumerically("<=", float64(appends)/jobs.ChunkAppendsPerSecond+1), "one upload has the whole budget")

		elapsed, appends = uploadFiles(t, 4, &tokenBucket{})
		g.Expect(float64(appends)).To(gomega.BeNumerically("<=", jobs.ChunkAppendBurst+4+jobs.ChunkAppendsPerSecond*elapsed.Seconds()), "the appends of the 4 commits do not count against the budget")

		elapsed, appends = uploadFiles(t, 1, &tokenBucket{unreachable: true})
		g.Expect(elapsed.Seconds()).To(gomega.BeNumerically(">=", float64(appends-5)*400/jobs.ChunkAppendsPerSecond), "without the budget each entry has an equal part")
	})
}
