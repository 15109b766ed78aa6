package gateway

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/origin"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
)

// newStreamGateway returns a gateway with a route for streams that leads to the deployment
// "lm", whose endpoints have all had version v1 for a minute.
func newStreamGateway(t *testing.T) *testGateway {
	r := newTestGateway(t)
	r.routeTo("lm")
	r.list("v1")
	r.now += time.Minute
	return r
}

// routeTo makes the route lead to the deployments, with equal weights.
func (r *testGateway) routeTo(deployments ...string) {
	route := config.Route{PathPrefix: "/s/", Deployment: deployments[0], Open: true, Timeout: config.Duration(5 * time.Second),
		Provided: &config.ProvidedRoute{Host: "h.example", Stream: true, Resumable: true, MaxEndpoints: 2, Goal: 300 * time.Millisecond}}
	for _, d := range deployments {
		route.Provided.Split = append(route.Provided.Split, config.WeightedShare{Deployment: d, Weight: 1})
	}
	s := config.NewSnapshot(1, &config.State{Routes: map[string]config.Route{"s": route}})
	r.ConfigChanged(s)
	r.Config.Set(s)
}

// list lists one endpoint of each version. They are leaving, so that no request is sent.
func (r *testGateway) list(versions ...string) {
	var l EndpointList
	for _, v := range versions {
		l.Listed = append(l.Listed, placement.Endpoint{ID: "e-" + v, Deployment: "lm", Version: v, Slots: 1, Draining: true})
	}
	r.SetEndpoints(l)
	synctest.Wait() // until the change of cells is applied, which reads the clock
}

// takeUp serves a call that takes a stream up and returns the call and its error.
func (r *testGateway) takeUp(attempt string) (*pipeline.Call, *api.Error) {
	request := httptest.NewRequest(http.MethodPost, "http://h.example/s/x", nil)
	c := &pipeline.Call{
		W: httptest.NewRecorder(), R: request, ID: "q", Received: time.Now(), Snapshot: r.Config.Current(),
		Resumption: &pipeline.Resumption{Attempt: attempt},
	}
	return c, r.Serve(context.Background(), c)
}

// A stream that a caller takes up goes on where it began if that is recorded or follows from
// what was listed, and is refused as not run otherwise. version_gone says that it was known.
func TestResumedStream_GoesOnOnlyAtKnownVersion(t *testing.T) {
	v1 := origin.Origin{Deployment: "lm", Version: "v1"}
	for name, c := range map[string]struct {
		prepare func(r *testGateway)
		version string // empty: unknown
	}{
		"recorded":     {prepare: func(r *testGateway) { r.list("v1", "v2"); r.StreamBegan("a", v1) }, version: "v1"},
		"one version":  {prepare: func(*testGateway) {}, version: "v1"},
		"two versions": {prepare: func(r *testGateway) { r.list("v1", "v2") }},
		"recorded with two versions": {prepare: func(r *testGateway) {
			r.list("v1", "v2")
			r.StreamBegan("a", v1)
			r.StreamBegan("a", origin.Origin{Deployment: "lm", Version: "v2"})
		}},
		"second version is gone":            {prepare: func(r *testGateway) { r.list("v1", "v2"); r.list("v1"); r.now += 5 * time.Second }},
		"second version has long been gone": {prepare: func(r *testGateway) { r.list("v1", "v2"); r.list("v1"); r.now += 11 * time.Second }, version: "v1"},
		"list not confirmed since":          {prepare: func(r *testGateway) { r.feed.age = time.Millisecond }},
		"store out of reach":                {prepare: func(r *testGateway) { r.feed.age, r.feed.lost = time.Second, time.Second }},
		"recorded, store out of reach":      {prepare: func(r *testGateway) { r.feed.age, r.feed.lost = time.Second, time.Second; r.StreamBegan("a", v1) }, version: "v1"},
		"route split":                       {prepare: func(r *testGateway) { r.routeTo("lm", "other") }},
		"recorded, route split":             {prepare: func(r *testGateway) { r.routeTo("other", "lm"); r.StreamBegan("a", v1) }, version: "v1"},
		"route moved":                       {prepare: func(r *testGateway) { r.routeTo("other"); r.routeTo("lm") }},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newStreamGateway(t)
				c.prepare(r)
				call, err := r.takeUp("a")
				r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
				r.Expect(call.Resumption.Version).To(gomega.Equal(c.version))
				if c.version == "" {
					r.Expect(err.Code).To(gomega.Equal(api.CodeVersionUnknown))
					return
				}
				r.Expect(err.Code).To(gomega.Equal(api.CodeVersionGone))
				r.Expect(err.RetryAfter).To(gomega.BeZero(), "there will be no room")
				r.Expect(call.Route.Deployment).To(gomega.Equal("lm"))
			})
		})
	}
}

// A route that no longer leads to the deployment that began a stream does not continue it.
func TestResumedStream_RefusedOnceItsRouteHasMoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStreamGateway(t)
		r.StreamBegan("a", origin.Origin{Deployment: "lm", Version: "v1"})
		r.routeTo("other")
		_, err := r.takeUp("a")
		r.Expect(err.Code).To(gomega.Equal(api.CodeVersionGone))
	})
}

// While the store is out of reach, callers are not kept waiting for it, and are told when to
// come back.
func TestResumedStream_RefusedAtOnceWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStreamGateway(t)
		r.feed.age, r.feed.lost = time.Second, time.Second
		_, err := r.takeUp("")
		r.Expect(r.feed.refreshed).To(gomega.BeZero())
		r.Expect(err.RetryAfter).To(gomega.Equal(r.StoreRetryAfter()))
	})
}

// An entry that has not inherited yet what others have stored asks the caller to come back.
func TestResumedStream_RetryAfterUntilHistoryIsInherited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newStreamGateway(t)
		r.list("v1", "v2")
		_, err := r.takeUp("")
		r.Expect(err.RetryAfter).To(gomega.Equal(startupRetryAfter))
		r.inheritOrigins(t.Context(), nil)
		_, err = r.takeUp("")
		r.Expect(err.Code).To(gomega.Equal(api.CodeVersionUnknown))
		r.Expect(err.RetryAfter).To(gomega.BeZero())
	})
}
