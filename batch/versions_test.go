package batch

import (
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
)

// newVersionedEndpoints returns one endpoint of version v1 and three of v2, each of which
// breaks off what it begins with a probability of a half.
func newVersionedEndpoints(events, slots int) []*streams.Endpoint {
	var list []*streams.Endpoint
	for i, version := range []string{"v1/", "v2/", "v2/", "v2/"} {
		ep := newEndpoint(fmt.Sprint("w", i), events, slots)
		ep.Version = version
		ep.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour {
			if n%2 == 1 {
				return streams.Behaviour{AbortAfter: 5}
			}
			return streams.Behaviour{}
		}
		list = append(list, ep)
	}
	return list
}

// expectOneVersion checks that all outputs of a job are whole and of one version each.
func (f *testFleet) expectOneVersion(p Page) {
	joined := 0
	for _, result := range p.Results {
		f.Expect(result.State).To(gomega.Equal(Completed))
		output := string(result.Output)
		if output != f.endpoints[0].Output(result.Item) && output != f.endpoints[1].Output(result.Item) {
			joined++
		}
	}
	f.Expect(joined).To(gomega.BeZero(), "of %d outputs hold events of two versions", len(p.Results))
}

// Endpoints of two versions break runs off, and the items go on.
func TestRunner_OutputsOfOneVersionAfterAbortedStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, newVersionedEndpoints(20, 4)...)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 20, 10))).To(gomega.Succeed())
		f.expectOneVersion(f.awaitResults(f.entries[0], "j", 18*time.Second))
	})
}

// The owner is killed, and the entry that takes over resumes the items from their
// checkpoints.
func TestTakeOver_OutputsOfOneVersionFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		endpoints := newVersionedEndpoints(240, 4)
		for _, ep := range endpoints {
			ep.BehaviourFor = nil
		}
		f := newTestFleet(t, 3, endpoints...)
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 10, 10))).To(gomega.Succeed())
		time.Sleep(4 * time.Second)
		f.kill(f.entries[0])
		f.expectOneVersion(f.awaitResults(f.entries[1], "j", 18*time.Second))
	})
}

// The only endpoint of a version goes while items run there. They begin again at another
// version, and soon.
func TestRunner_ItemsBeginAgainOnceTheirVersionIsGone(t *testing.T) {
	for name, goes := range map[string]func(f *testFleet, list []placement.Endpoint){
		"leaves": func(f *testFleet, list []placement.Endpoint) {
			list[0].Draining = true
			f.entries[0].Table.SetEndpoints(list)
		},
		"is gone": func(f *testFleet, list []placement.Endpoint) { f.entries[0].Table.SetEndpoints(list[1:]) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				old, next := newEndpoint("old", 100, 8), newEndpoint("next", 100, 8)
				old.Version, next.Version = "v1/", "v2/"
				old.BehaviourFor = func(*http.Request, int) streams.Behaviour { return streams.Behaviour{AbortAfter: 40} }
				f := newTestFleet(t, 1, old, next)
				list := []placement.Endpoint{
					{ID: "old", Address: "old:1", Deployment: testModel, DataCentre: "a", Version: old.Version, Slots: 8},
					{ID: "next", Address: "next:1", Deployment: testModel, DataCentre: "a", Version: next.Version, Slots: 8},
				}
				f.entries[0].Table.SetEndpoints(list)
				f.Expect(f.entries[0].Submit(f.ctx, submission("j", 8, 10))).To(gomega.Succeed())
				time.Sleep(500 * time.Millisecond)
				f.Expect(old.Runs()).NotTo(gomega.BeEmpty())
				goes(f, list)
				f.expectOneVersion(f.awaitResults(f.entries[0], "j", 6*time.Second))
			})
		})
	}
}

// The route moves to another deployment, whose endpoints happen to have a version of the
// same name, while items run. They begin again there.
func TestRunner_ItemsBeginAgainOnceTheirRouteMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		old, next := newEndpoint("old", 100, 8), newEndpoint("next", 100, 8)
		old.Version, next.Version = "old/", "next/"
		old.BehaviourFor = func(*http.Request, int) streams.Behaviour { return streams.Behaviour{AbortAfter: 40} }
		f := newTestFleet(t, 1, old, next)
		f.entries[0].Table.SetEndpoints([]placement.Endpoint{
			{ID: "old", Address: "old:1", Deployment: testModel, DataCentre: "a", Version: "v1", Slots: 8},
			{ID: "next", Address: "next:1", Deployment: "other", DataCentre: "a", Version: "v1", Slots: 8},
		})
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 8, 10))).To(gomega.Succeed())
		time.Sleep(500 * time.Millisecond)
		f.Expect(old.Runs()).NotTo(gomega.BeEmpty())
		f.routeTo("other")
		f.expectOneVersion(f.awaitResults(f.entries[0], "j", 6*time.Second))
	})
}

// Guards against endpoints that get nothing more for good as items expect another version, and
// against such items that are sent again and again without a pause.
func TestRunner_ExpectedVersionOfOneJobTakesNoEndpointFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ep := newEndpoint("w", 10, 8)
		ep.Version = "v2/"
		f := newTestFleet(t, 1, ep)
		expects := submission("expects", 1, 10)
		expects.Requests[0].Header = map[string]string{streams.HeaderVersion: "v1/"}
		f.Expect(f.entries[0].Submit(f.ctx, expects)).To(gomega.Succeed())
		time.Sleep(10 * time.Second)
		f.Expect(ep.Received()).To(gomega.BeNumerically("<", 15), "in 10 s")
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 8, 10))).To(gomega.Succeed())
		f.awaitResults(f.entries[0], "j", 5*time.Second)
	})
}
