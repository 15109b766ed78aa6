package batch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
)

// otherModel is the second deployment of a split route.
const otherModel = "lm-next"

// newSplitFleet returns a fleet of one entry whose route is split between two deployments:
// testModel with one endpoint of four slots, and otherModel with one of sixteen.
func newSplitFleet(t *testing.T, weight, otherWeight int) *testFleet {
	one, other := newEndpoint("one", 20, 4), newEndpoint("other", 20, 16)
	one.Version, other.Version = "v1/", "v2/"
	f := newTestFleet(t, 1, one, other)
	f.splitRoute(config.WeightedShare{Deployment: testModel, Weight: weight}, config.WeightedShare{Deployment: otherModel, Weight: otherWeight})
	f.entries[0].Table.SetEndpoints(f.splitEndpoints())
	return f
}

// splitEndpoints returns the endpoints of both deployments as they are listed.
func (f *testFleet) splitEndpoints() []placement.Endpoint {
	var list []placement.Endpoint
	for i, deployment := range []string{testModel, otherModel} {
		ep := f.endpoints[i]
		list = append(list, placement.Endpoint{ID: ep.ID, Address: ep.ID + ":1", Deployment: deployment, DataCentre: "a", Version: ep.Version, Slots: ep.Slots})
	}
	return list
}

// splitRoute splits testRoute between deployments. As the platform does, it names the first
// as the deployment of the route.
func (f *testFleet) splitRoute(shares ...config.WeightedShare) {
	policy := testPolicy
	f.config.Set(config.NewSnapshot(f.config.Current().Version+1, &config.State{Routes: map[string]config.Route{
		testRoute: {PathPrefix: "/digests/", Deployment: shares[0].Deployment,
			Provided: &config.ProvidedRoute{Host: "h", Split: shares, Batch: &policy}},
	}}))
}

// expectCompleted checks that all items of a job of n are completed in time, and whole.
func (f *testFleet) expectCompleted(id string, n int) {
	p := f.awaitResults(f.entries[0], id, testPolicy.Due)
	f.Expect(p.Results).To(gomega.HaveLen(n))
	for _, result := range p.Results {
		f.Expect(result.State).To(gomega.Equal(Completed))
	}
	f.expectOneVersion(p)
}

// Guards against accepted jobs that are never begun: the first deployment of a split route
// has no endpoint left.
func TestRunner_SplitRouteGoesOnWithoutItsFirstDeployment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSplitFleet(t, 10, 90)
		f.entries[0].Table.SetEndpoints(f.splitEndpoints()[1:])
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 10, 10))).To(gomega.Succeed())
		f.expectCompleted("j", 10)
	})
}

// Guards against items that wait for the deployment where they began once it has no endpoint
// left.
func TestRunner_SplitRouteLosesADeploymentWhileItemsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSplitFleet(t, 90, 10)
		f.endpoints[0].BehaviourFor = func(*http.Request, int) streams.Behaviour { return streams.Behaviour{AbortAfter: 5} }
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 10, 10))).To(gomega.Succeed())
		time.Sleep(time.Second)
		f.Expect(f.endpoints[0].Runs()).NotTo(gomega.BeEmpty())
		f.entries[0].Table.SetEndpoints(f.splitEndpoints()[1:])
		f.expectCompleted("j", 10)
	})
}

// Guards against items that run at a deployment to which a split sends nothing.
func TestRunner_SplitRouteLeavesOutWeightZero(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSplitFleet(t, 0, 1)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 20, 10))).To(gomega.Succeed())
		f.expectCompleted("j", 20)
		f.Expect(f.endpoints[0].Received()).To(gomega.BeZero())
	})
}

// Guards against slots that stay idle while items wait for the preferred deployment: 40 items
// all but prefer the one with four slots.
func TestRunner_SplitRouteFillsIdleSlotsOfEveryDeployment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSplitFleet(t, 1_000_000, 1)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 40, 10))).To(gomega.Succeed())
		f.expectCompleted("j", 40)
		f.Expect(len(f.endpoints[1].Runs())).To(gomega.BeNumerically(">", 20))
	})
}
