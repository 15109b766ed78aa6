package dispatch

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/membership"
)

// TestDispatcher_AvoidsUnreadyEndpoint guards against sending each call to an
// endpoint whose sidecar has no configuration yet, which would cost each a retry.
// Only the first call may reach the endpoint.
func TestDispatcher_AvoidsUnreadyEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	var calls atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls.Add(1)
		w.Header().Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
		api.WriteError(w, api.NewError(http.StatusServiceUnavailable, api.CodeNoEndpoint, "not configured"))
	}))
	defer server.Close()
	d := New(Deps{Members: membership.Static{sidecarAt(server.URL, "s1")}})
	for range 20 {
		c, _ := newCall(`{"model":"m"}`)
		e := d.Handle(t.Context(), c)
		g.Expect(e.Code).To(gomega.Equal(api.CodeNoEndpoint))
		g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
	}
	g.Expect(calls.Load()).To(gomega.Equal(int64(1)))
}
