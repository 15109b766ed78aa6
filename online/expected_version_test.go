package online

import (
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/standin/streams"
)

// Guards against endpoints that get nothing more for good (LOST), as they refuse a request that
// expects another version than theirs with the status of an endpoint at the wrong address.
func TestRequest_ExpectedVersionOfOneCallerTakesNoEndpointFromOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		one, two := newEndpoint("one", nil), newEndpoint("two", nil)
		one.Version, two.Version = "v2/", "v2/"
		r := newTestService(t, one, two)
		for range 3 {
			c, _ := newCall("expects", true)
			c.R.Header.Set(streams.HeaderVersion, "v1/")
			err := r.Handle(t.Context(), c)
			r.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		}
		for range 4 {
			c, w := newCall("q", true)
			r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil())
			r.Expect(w.body.String()).To(gomega.Equal(one.ResponseBody("q")))
		}
		c, _ := newCall("expects", true)
		c.R.Header.Set(streams.HeaderVersion, "v2/")
		r.Expect(r.Handle(t.Context(), c)).To(gomega.BeNil(), "a version that there is")
	})
}
