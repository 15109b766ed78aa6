package placement

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/locality"
	"dandelionrelay/quota"
)

// explainTwin is a table with random load, to which the same is done whether or not
// explanations are asked of it.
type explainTwin struct {
	*Table
	grants []*Grant
	q      *quota.Table
}

func newExplainTwin(endpoints []Endpoint) *explainTwin {
	tw := &explainTwin{Table: newTable("self", endpoints...), q: quota.NewTable(quota.Tolerance{})}
	tw.EnableRamps(func(RampChange) {})
	tw.SetEntries([]string{"self", "other", "third"})
	tw.SetColdRates(-time.Hour, tw.q, map[string]ColdRate{model: {Rate: coldPerSecond, Time: coldTime}}, coldTolerance)
	tw.SetColdShare(quota.Share{Observed: 0.6, Own: 0.3, ValidUntil: 100 * time.Hour})
	return tw
}

// explainStep is one step of the replay in TestExplain_ChangesNothing.
func (tw *explainTwin) explainStep(i int, now time.Duration, endpoints []Endpoint) {
	pick := endpoints[i*7%len(endpoints)]
	switch i % 23 {
	case 3, 9:
		tw.SetPeer("other", Report{Loads: map[Key]Load{pick.Key(): {Online: i % 9}}})
	case 5:
		pick.StartMs = int64(i)
		list := slices.Clone(endpoints)
		list[i*7%len(endpoints)] = pick
		tw.SetEndpoints(list)
	case 7:
		tw.StateCold(now, map[Key]ColdNotice{pick.Key(): {Given: true, Left: time.Duration(i%4) * time.Second}})
	case 11:
		tw.SetPolicy(evacuating([]string{"a", "b", "none"}[i%3]))
	case 13:
		tw.PlaceBatch(now, testRequest(), func() {})
	case 17, 18, 19, 20:
		if len(tw.grants) > 3 {
			grant := tw.grants[0]
			tw.grants = tw.grants[1:]
			grant.Observe(now, Notice{Limited: i%5 == 0, Limit: float64(i % 3)})
			grant.Release(now, []Result{Done, Done, Done, Full, ErrorResponse, Failed}[i%6], time.Duration(i%40)*time.Millisecond)
		}
	}
}

// state returns all that the table knows of its endpoints.
func (tw *explainTwin) state() string {
	var b strings.Builder
	for _, key := range slices.Sorted(maps.Keys(tw.endpoints)) {
		e := *tw.endpoints[key]
		limit, cold, ramp := clone(e.limit), clone(e.cold), clone(e.ramp)
		e.limit, e.cold, e.ramp, e.grants = nil, nil, nil, nil
		fmt.Fprintf(&b, "%+v %+v %+v %+v\n", e, limit, cold, ramp)
	}
	fmt.Fprint(&b, len(tw.started), tw.recentRequests, tw.lastRequestAt, tw.cold.stats, tw.cold.stale, len(tw.groups))
	return b.String()
}

// One table is asked for explanations at each step and another is not: both place all
// requests and items alike, as explanations take no token, slot or random number, and begin
// no ramp or cold time. What is explained agrees with what is placed next.
func TestExplain_ChangesNothingAndAgreesWithPlace(t *testing.T) {
	g := gomega.NewWithT(t)
	var endpoints []Endpoint
	for i, id := range []string{"p", "q", "r", "s", "t", "u"} {
		e := testEndpoint(id, []string{"a", "a", "b"}[i%3])
		e.OtherCell = id == "u"
		endpoints = append(endpoints, e)
	}
	plain, asked := newExplainTwin(endpoints), newExplainTwin(endpoints)
	placed, refusals := 0, 0
	for i := range 8000 {
		now := time.Duration(i) * 3 * time.Millisecond
		req := Request{Deployment: model, MaxWait: time.Hour, AtMostOnce: i%2 == 0}
		if i%31 == 0 {
			req.Homes = []locality.Homes{{"eu"}}
		}
		plain.explainStep(i, now, endpoints)
		asked.explainStep(i, now, endpoints)
		before := asked.state()
		asked.Explain(now+time.Second, req, Online)
		asked.Explain(now, req, Batch)
		g.Expect(asked.state()).To(gomega.Equal(before), "step %d", i)
		x := asked.Explain(now, req, Online)
		g.Expect(asked.Explain(now, req, Online)).To(gomega.Equal(x))
		grant, refused := plain.Place(now, req)
		same, sameRefused := asked.Place(now, req)
		g.Expect(sameRefused).To(gomega.Equal(refused), "step %d", i)
		g.Expect(x.Refusal == nil).To(gomega.Equal(refused == nil), "step %d", i)
		if refused != nil {
			refusals++
			g.Expect([]any{x.Refusal.Cold, x.Refusal.Limited, x.Refusal.Locality}).To(gomega.Equal([]any{refused.Cold, refused.Limited, refused.Locality}))
			continue
		}
		placed++
		g.Expect(same.Endpoint).To(gomega.Equal(grant.Endpoint), "step %d", i)
		g.Expect(x.Candidates).To(gomega.ContainElement(gomega.HaveField("Endpoint.ID", grant.Endpoint.ID)), "step %d", i)
		expectCheap(g, x, grant)
		plain.grants, asked.grants = append(plain.grants, grant), append(asked.grants, same)
	}
	g.Expect(placed).To(gomega.BeNumerically(">", 1000))
	g.Expect(refusals).To(gomega.BeNumerically(">", 100))
	g.Expect(asked.ColdStats()).To(gomega.Equal(plain.ColdStats()))
	g.Expect(asked.q.LocalCounts()).To(gomega.Equal(plain.q.LocalCounts()))
	g.Expect(asked.random.Uint64()).To(gomega.Equal(plain.random.Uint64()))
}

// expectCheap checks that the cost of the endpoint of grant is within the random parts of
// that of the first candidate. Whether a ramp adds its penalty is random.
func expectCheap(g *gomega.WithT, x Explanation, grant *Grant) {
	limit := x.Candidates[0].Cost + costJitter
	var cost time.Duration = math.MaxInt64
	for _, c := range x.Candidates {
		if c.Endpoint == grant.Endpoint {
			cost = c.Cost
		}
		if c.Ramp > 0 {
			limit = max(limit, x.Candidates[0].Cost+costJitter+rampPenalty)
		}
	}
	g.Expect(cost).To(gomega.BeNumerically("<=", limit))
}
