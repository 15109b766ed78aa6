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

// bucket is a Budget of one fleet.
type bucket struct {
	mu    sync.Mutex
	level float64
	at    time.Time
	down  bool
}

func (b *bucket) Take(context.Context) (ok bool, wait time.Duration, reached bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down {
		return false, 0, false
	}
	now := time.Now()
	b.level = min(b.level+now.Sub(b.at).Seconds()*jobs.ChunkAppendsPerSecond, jobs.ChunkAppendBurst)
	b.at = now
	if b.level < 1 {
		return false, time.Duration((1 - b.level) / jobs.ChunkAppendsPerSecond * float64(time.Second)), true
	}
	b.level--
	return true, 0, true
}

// upload has one of 400 entries take files at once and returns the time that
// it took and the chunks appended.
func upload(t *testing.T, files int, budget jobs.Budget) (took time.Duration, appends int) {
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
			body := &generated{items: 500, body: strings.Repeat("x", 20_000)}
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

func TestUploadsShareTheFleetsAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		took, appends := upload(t, 1, &bucket{})
		g.Expect(appends).To(gomega.BeNumerically(">=", 10))
		g.Expect(took.Seconds()).To(gomega.BeNumerically("<=", float64(appends)/jobs.ChunkAppendsPerSecond+1), "one upload has the whole budget")

		took, appends = upload(t, 4, &bucket{})
		g.Expect(float64(appends)).To(gomega.BeNumerically("<=", jobs.ChunkAppendBurst+4+jobs.ChunkAppendsPerSecond*took.Seconds()), "4 commits come besides")

		took, appends = upload(t, 1, &bucket{down: true})
		g.Expect(took.Seconds()).To(gomega.BeNumerically(">=", float64(appends-5)*400/jobs.ChunkAppendsPerSecond), "an equal part without the budget")
	})
}
