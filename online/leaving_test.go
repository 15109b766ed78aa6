package online

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

// leavingService returns a service with an endpoint that names itself as leaving once
// *leaving is set, and the list of the endpoints, in which it stays as before: the entry
// does not reach the store.
func leavingService(t *testing.T, leaving *bool, others ...*streams.Endpoint) (*testService, *streams.Endpoint, []placement.Endpoint) {
	a := newEndpoint("a", nil)
	a.Leaving = func() bool { return *leaving }
	endpoints := append([]*streams.Endpoint{a}, others...)
	r := newTestService(t, endpoints...)
	var list []placement.Endpoint
	for _, e := range endpoints {
		list = append(list, placement.Endpoint{ID: e.ID, Address: e.ID + ":1", Deployment: "lm", DataCentre: "a", Slots: e.Slots, StartMs: 1})
	}
	r.Table.SetEndpoints(list)
	return r, a, list
}

// An endpoint says in an answer that it is leaving. From then on it gets no request from
// this entry, whatever an older list says.
func TestRequests_NotSentToEndpointThatNamesItselfAsLeaving(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"complete":     {},
		"error":        {Status: http.StatusInternalServerError},
		"not run":      {Status: http.StatusServiceUnavailable, NotRun: true},
		"unsigned":     {Unsigned: true},
		"broken off":   {AbortAfter: 3},
		"without body": {Status: http.StatusTooManyRequests, NotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				leaving := false
				b := b
				var told bool
				r, a, list := leavingService(t, &leaving, newEndpoint("b", nil))
				a.BehaviourFor = func(*http.Request, int) streams.Behaviour {
					if !leaving {
						return streams.Behaviour{}
					}
					told = true
					return b
				}
				r.serve(t, "before", 20)
				r.Expect(a.Runs()).NotTo(gomega.BeEmpty())
				leaving = true
				for n := 0; !told; n++ {
					r.serve(t, fmt.Sprint("tell-", n), 1)
				}
				time.Sleep(time.Minute)
				runs := a.Received()
				r.Table.SetEndpoints(list)
				r.serve(t, "after", 40)
				r.Table.SetEndpoints(list[1:])
				r.Table.SetEndpoints(list)
				r.serve(t, "listed again", 40)
				r.Expect(a.Received()).To(gomega.Equal(runs))
			})
		})
	}
}

// serve sends requests one after the other, and ignores their errors.
func (r *testService) serve(t *testing.T, name string, n int) {
	for i := range n {
		call, _ := newCall(fmt.Sprint(name, "-", i), true)
		_ = r.Handle(t.Context(), call)
	}
}

// If no other endpoint is left, requests are refused at once and not sent.
func TestRequests_RefusedIfAllEndpointsAreLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := true
		r, a, _ := leavingService(t, &leaving)
		r.serve(t, "tell", 1)
		r.Expect(a.Received()).To(gomega.Equal(1))
		began := time.Now()
		call, _ := newCall("x", true)
		err := r.Handle(t.Context(), call)
		r.Expect(err).NotTo(gomega.BeNil())
		r.Expect(err.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		r.Expect(err.RetryAfter).To(gomega.BeNumerically(">", 0))
		r.Expect(time.Since(began)).To(gomega.BeZero())
		r.Expect(a.Received()).To(gomega.Equal(1))
	})
}

// Another endpoint that takes over the address, and another incarnation of the endpoint
// that has left, get requests.
func TestRequests_SentToSuccessorAtTheAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		leaving := true
		r, a, list := leavingService(t, &leaving)
		r.serve(t, "tell", 1)
		leaving = false
		list[0].StartMs = 2
		r.Table.SetEndpoints(list)
		r.serve(t, "restarted", 1)
		r.Expect(a.Received()).To(gomega.Equal(2))
		leaving = true
		r.serve(t, "tell", 1)
		leaving = false
		a.ID, list[0].ID = "successor", "successor"
		r.Table.SetEndpoints(list)
		r.serve(t, "successor", 1)
		r.Expect(a.Received()).To(gomega.Equal(4))
	})
}
