package limit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// takeFromBucket takes tokens through the entries in turn for d and returns
// how many it got.
func (f *fleet) takeFromBucket(d time.Duration, ids ...string) float64 {
	taken := 0.0
	start := time.Now()
	for n := 0; time.Since(start) < d; n++ {
		ok, _, reached := f.entries[ids[n%len(ids)]].Bucket("jobs/accept").Take(f.t.Context())
		if !reached {
			f.t.Error("no holder of the bucket could be reached")
		}
		if ok {
			taken++
		}
		time.Sleep(5 * time.Millisecond)
	}
	return taken
}

func TestBucket_IsSharedByAllEntries(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		const d = 20 * time.Second
		limit := 20*d.Seconds() + 6
		g.Expect(f.takeFromBucket(d, "a")).To(gomega.BeNumerically("~", limit, limit/20), "one entry alone")
		g.Expect(f.takeFromBucket(d, "a", "b", "c")).To(gomega.BeNumerically("<=", limit), "all entries")
	})
}
