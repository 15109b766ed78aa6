package limit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// take asks for tokens through entries in turn for d and returns how many it
// got.
func (f *fleet) take(d time.Duration, ids ...string) float64 {
	got := 0.0
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		ok, _, reached := f.entries[ids[n%len(ids)]].Bucket("jobs/accept").Take(f.t.Context())
		if !reached {
			f.t.Error("the bucket could not be asked")
		}
		if ok {
			got++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return got
}

func TestABucketOfTheFleetIsSharedByWhoeverNeedsIt(t *testing.T) {
	bubble(t, one, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		const d = 20 * time.Second
		whole := 20*d.Seconds() + 6
		g.Expect(f.take(d, "a")).To(gomega.BeNumerically("~", whole, whole/20), "one entry alone")
		g.Expect(f.take(d, "a", "b", "c")).To(gomega.BeNumerically("<=", whole), "all entries")
	})
}
