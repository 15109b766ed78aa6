package online

import (
	"net/http"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/standin/streams"
)

// Responses with neither a length nor chunks end with their connections. Those that are
// complete are passed on as complete.
func TestStream_UnframedIsComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := newEndpoint("a", always(streams.Behaviour{Unframed: true}))
		r := newTestService(t, a)
		for _, id := range []string{"one", "two"} {
			call, w := newCall(id, true)
			r.Expect(r.Handle(t.Context(), call)).To(gomega.BeNil())
			r.Expect(w.body.String()).To(gomega.Equal(a.ResponseBody(id)))
			r.Expect(w.header).NotTo(gomega.HaveKey("Connection"))
		}
		r.Expect(a.Runs()).To(gomega.HaveLen(2))
	})
}

// An unframed stream that ends inside an event, or before its first one, has been broken
// off: it ends as incomplete, or goes on at another endpoint if it may.
func TestStream_UnframedBrokenOff(t *testing.T) {
	for name, b := range map[string]streams.Behaviour{
		"inside an event":  {Unframed: true, EndAfter: 7},
		"after the header": {Unframed: true, EndAfter: -1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a := newEndpoint("a", always(b))
				r := newTestService(t, a)
				call, w := newCall("x", false)
				r.Expect(r.Handle(t.Context(), call)).NotTo(gomega.BeNil())
				r.Expect(w.body.String()).NotTo(gomega.Equal(a.ResponseBody("x")))

				a, other := newEndpoint("a", always(b)), newEndpoint("b", nil)
				r = newTestService(t, a, other)
				for len(a.Runs()) == 0 {
					call, w = newCall("y", true)
					r.Expect(r.Handle(t.Context(), call)).To(gomega.BeNil())
					r.Expect(w.status).To(gomega.Equal(http.StatusOK))
					r.Expect(w.body.String()).To(gomega.Equal(a.ResponseBody("y")))
				}
			})
		})
	}
}
