package online

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/locality"
	"dandelionrelay/pipeline"
	"dandelionrelay/placement"
	"dandelionrelay/standin/streams"
)

// placeIn lists endpoints, each in a data centre of its own.
func (r *testService) placeIn(endpoints []*streams.Endpoint, dataCentres ...string) {
	var list []placement.Endpoint
	for i, e := range endpoints {
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: dataCentres[i], Version: e.Version, Slots: e.Slots})
	}
	r.Table.SetEndpoints(list)
}

// Guards against an evacuation that ends streams, and against retries and resumptions that
// go back to the evacuated data centre.
func TestStream_GoesOnInEvacuatedDataCentreAndIsResumedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left, kept := newEndpoint("left", nil), newEndpoint("kept", nil)
		left.BehaviourFor = func(_ *http.Request, n int) streams.Behaviour {
			if n == 2 {
				return streams.Behaviour{AbortAfter: 15}
			}
			return streams.Behaviour{}
		}
		r := newTestService(t, left, kept)
		r.placeIn([]*streams.Endpoint{left, kept}, "a", "b")
		whole, w1 := newCall("whole", false)
		broken, w2 := newCall("broken", true)
		ended := make(chan *api.Error, 2)
		go func() { ended <- r.Handle(t.Context(), whole) }()
		time.Sleep(10 * time.Millisecond)
		go func() { ended <- r.Handle(t.Context(), broken) }()
		time.Sleep(100 * time.Millisecond)
		r.Expect(left.Received()).To(gomega.Equal(2))
		r.Table.SetPolicy(locality.NewPolicy(nil, map[string]bool{"a": true}))
		for range 2 {
			r.Expect(<-ended).To(gomega.BeNil())
		}
		r.Expect(w1.body.String()).To(gomega.Equal(left.ResponseBody("whole")))
		r.Expect(w2.body.String()).To(gomega.Equal(left.ResponseBody("broken")))
		r.Expect(left.Received()).To(gomega.Equal(2))
		r.Expect(kept.Runs()).To(gomega.HaveLen(1))
		r.Expect(kept.Runs()[0].FirstEvent).To(gomega.BeNumerically(">", 1))
	})
}

// Guards against a stream that a caller takes up and that is said to have lost its version,
// or leaves its homes, where its endpoints are only evacuated.
func TestResumption_RefusedWhileItsVersionIsEvacuated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		v1, v2 := newEndpoint("v1", nil), newEndpoint("v2", nil)
		v1.Version, v2.Version = "v1", "v2"
		r := newTestService(t, v1, v2)
		r.placeIn([]*streams.Endpoint{v1, v2}, "a", "b")
		take := func(homes ...string) *api.Error {
			c, _ := newCall("q", true)
			c.Route.Homes = homes
			c.Resumption = &pipeline.Resumption{Version: "v1", Cursor: eventstream.Cursor{HasID: true, LastID: 3}}
			return r.Handle(t.Context(), c)
		}
		r.Table.SetPolicy(locality.NewPolicy(locality.Regions{"a": "eu", "b": "us"}, map[string]bool{"a": true}))
		for _, homes := range [][]string{nil, {"eu"}} {
			err := take(homes...)
			r.Expect(err.Code).To(gomega.Equal(api.CodeEvacuated))
			r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
			r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
		}
		r.Expect(take("us").Code).To(gomega.Equal(api.CodeOutsideHomes))
		r.Expect(v1.Received() + v2.Received()).To(gomega.BeZero())
	})
}

// Guards against attempts that leave the homes of the route or of the customer.
func TestRequest_AllAttemptsStayInHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		home1, home2, abroad := newEndpoint("h1", onFirst(streams.Behaviour{AbortAfter: 5})), newEndpoint("h2", onFirst(streams.Behaviour{AbortAfter: 5})), newEndpoint("x", nil)
		r := newTestService(t, home1, home2, abroad)
		r.placeIn([]*streams.Endpoint{home1, home2, abroad}, "b", "b", "a")
		r.Table.SetPolicy(locality.NewPolicy(locality.Regions{"a": "us", "b": "eu"}, nil))
		c, _ := newCall("q", true)
		c.Route.Provided.MaxEndpoints = 4
		c.Snapshot = config.NewSnapshot(1, &config.State{Customers: map[string]config.Customer{"garden": {Homes: locality.Homes{"eu"}}}})
		r.Expect(r.Handle(t.Context(), c)).NotTo(gomega.BeNil(), "both endpoints in its home broke it off")
		r.Expect(home1.Received()).To(gomega.Equal(1))
		r.Expect(home2.Received()).To(gomega.Equal(1))
		r.Expect(abroad.Received()).To(gomega.BeZero())
	})
}
