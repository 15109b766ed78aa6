package batch

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"dandelionrelay/placement"
	"dandelionrelay/quota"
	"dandelionrelay/standin/streams"
	"dandelionrelay/upstream"
)

// slowDialect takes a while for each request, as reading the contents of an item may.
type slowDialect struct {
	streams.Dialect
	wait func()
}

func (d slowDialect) Write(h http.Header, m upstream.RequestMetadata) {
	d.wait()
	d.Dialect.Write(h, m)
}

// Items wait for tokens while all endpoints are cold: an endpoint gets no more than the bound
// in a second, also if requests are held up between placement and sending, all items
// complete, and those that wait are neither started in vain nor lost.
func TestRunner_ItemsWaitForColdEndpoint(t *testing.T) {
	for name, c := range map[string]struct {
		wait    func()
		items   int
		inVain  int // runs that are not sent, at most
		maximum time.Duration
	}{
		"prompt":        {func() {}, 60, 0, 16 * time.Second},
		"slow":          {func() { time.Sleep(300 * time.Millisecond) }, 60, 0, 16 * time.Second},
		"held together": {func() { time.Sleep(time.Until(time.Now().Truncate(4 * time.Second).Add(4 * time.Second))) }, 16, 60, 40 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				const rate, bound = 4, 4*1.5 + 5
				endpoint := &streams.Endpoint{ID: "a", Version: "v1", Events: 2, EventInterval: time.Millisecond, Slots: 100}
				f := newTestFleet(t, 1, endpoint)
				e := f.entries[0]
				e.Dialect = slowDialect{wait: c.wait}
				now := e.Clock()
				e.Table.SetColdRates(now-time.Minute, quota.NewTable(quota.Tolerance{}), map[string]placement.ColdRate{testModel: {Rate: rate, Time: time.Hour}},
					placement.ColdTolerance{Excess: 1.5, Slack: 5})
				e.Table.SetColdShare(quota.Share{Observed: 1, Own: 1, ValidUntil: now + time.Hour})
				f.Expect(e.Submit(f.ctx, submission("j", c.items, 1))).To(gomega.Succeed())
				for _, result := range f.awaitResults(e, "j", c.maximum).Results {
					f.Expect(result.State).To(gomega.Equal(Completed))
				}
				runs := endpoint.Runs()
				f.Expect(runs).To(gomega.HaveLen(c.items))
				for i, r := range runs {
					end, _ := slices.BinarySearchFunc(runs, r.At.Add(time.Second), func(r streams.Run, at time.Time) int { return r.At.Compare(at) })
					f.Expect(end - i).To(gomega.BeNumerically("<=", bound))
				}
				f.Expect(testutil.ToFloat64(e.Metrics.runs.WithLabelValues(string(runNotExecuted)))).To(gomega.BeNumerically("<=", c.inVain))
			})
		})
	}
}
