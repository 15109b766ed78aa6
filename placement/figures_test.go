package placement

import (
	"fmt"
	"os"
	"testing"
)

// TestReplay_Figures prints the figures of docs/design/batch-waves.md and
// docs/design/placement-order.md. It checks nothing and runs only with REPLAY=1.
func TestReplay_Figures(t *testing.T) {
	if os.Getenv("REPLAY") == "" {
		t.Skip("prints figures with REPLAY=1")
	}
	for _, mean := range []float64{0.45, 0.5} {
		for _, jobs := range []float64{0, 1.54, 6} {
			for _, seed := range []uint64{1, 2, 3} {
				l := measuredWave()
				l.mean, l.jobs, l.seed = mean, jobs, seed
				t.Run(fmt.Sprintf("mean %v, %v jobs a second, seed %d", mean, jobs, seed), func(t *testing.T) {
					t.Parallel()
					t.Logf("%s: %v", t.Name(), replayWave(l))
				})
			}
		}
	}
	for _, jobs := range []float64{0, 1.54, 6} {
		l := measuredWave()
		l.steady, l.jobs = true, jobs
		t.Run(fmt.Sprintf("steady, %v jobs a second", jobs), func(t *testing.T) {
			t.Parallel()
			t.Logf("%s: %v", t.Name(), replayWave(l))
		})
	}
	l := measuredWave()
	l.itemEvents, l.jobs = 80, 3
	t.Run("items shorter than the trough", func(t *testing.T) {
		t.Parallel()
		t.Logf("%s: %v", t.Name(), replayWave(l))
	})
}
