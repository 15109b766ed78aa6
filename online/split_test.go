package online

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
)

// newSplitService returns a service with one endpoint of the deployment "lm" and one of
// "next". listed says which of them are listed.
func newSplitService(t *testing.T, lm, next *streams.Endpoint, listed ...string) *testService {
	r := newTestService(t, lm, next)
	var list []placement.Endpoint
	for _, deployment := range listed {
		ep := map[string]*streams.Endpoint{"lm": lm, "next": next}[deployment]
		list = append(list, placement.Endpoint{ID: ep.ID, Address: ep.ID + ":1", Deployment: deployment, DataCentre: "a", Version: "v1", Slots: ep.Slots})
	}
	r.Table.SetEndpoints(list)
	return r
}

// Guards against requests of a split route that are refused as the deployment drawn for them
// has no endpoint that takes them, while another one of the route has.
func TestRequest_SplitRouteServedWhileOneDeploymentIsGone(t *testing.T) {
	refuses := always(streams.Behaviour{Status: http.StatusServiceUnavailable, NotRun: true})
	for name, c := range map[string]struct {
		listed []string
		lm     func(*http.Request, int) streams.Behaviour
	}{
		"no endpoint is listed": {listed: []string{"next"}},
		"its endpoint refuses":  {listed: []string{"lm", "next"}, lm: refuses},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				next := newEndpoint("next", nil)
				r := newSplitService(t, newEndpoint("lm", c.lm), next, c.listed...)
				call, w := newCall("q", false)
				call.NextDeployments = []string{"next"}
				r.Expect(r.Handle(t.Context(), call)).To(gomega.BeNil())
				r.Expect(w.body.String()).To(gomega.Equal(next.ResponseBody("q")))
			})
		})
	}
}

// Guards against a second run of what must not be repeated, and against streams that go on at
// another deployment.
func TestRequest_SplitRouteJoinsNoDeployments(t *testing.T) {
	for name, resumable := range map[string]bool{"not resumable": false, "resumable": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				lm, next := newEndpoint("lm", always(streams.Behaviour{AbortAfter: 5})), newEndpoint("next", nil)
				r := newSplitService(t, lm, next, "lm", "next")
				call, _ := newCall("q", resumable)
				call.NextDeployments = []string{"next"}
				r.Expect(r.Handle(t.Context(), call).Outcome).To(gomega.Equal(api.Unknown))
				r.Expect(next.Received()).To(gomega.BeZero())
			})
		})
	}
}

// Guards against a deployment that is flooded with what another one can't run in time: a
// request that would wait too long is refused.
func TestRequest_SplitRouteKeepsToWeightsUnderLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		next := newEndpoint("next", nil)
		r := newSplitService(t, newEndpoint("lm", nil), next, "lm", "next")
		for range 40 {
			r.Table.Place(r.Clock(), placement.Request{Deployment: "lm", MaxWait: timeout})
		}
		call, _ := newCall("q", true)
		call.NextDeployments = []string{"next"}
		r.Expect(r.Handle(t.Context(), call).Code).To(gomega.Equal(api.CodeOverloaded))
		r.Expect(next.Received()).To(gomega.BeZero())
	})
}
