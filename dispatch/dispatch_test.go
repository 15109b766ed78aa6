package dispatch

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
)

// newCall returns a call with body on an idempotent route to deployment "d", and
// the recorder of its response.
func newCall(body string) (*pipeline.Call, *httptest.ResponseRecorder) {
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil)
	r.Header.Set("Authorization", "Bearer secret")
	r.Header.Set("Content-Type", "application/json")
	return &pipeline.Call{
		W: w, R: r, ID: "r1", Customer: "c1", Body: []byte(body),
		Route:    config.Route{Deployment: "d", Idempotent: true},
		Deadline: time.Now().Add(10 * time.Second),
	}, w
}

func sidecarAt(url, id string) infra.Instance {
	return infra.Instance{
		ID: id, Role: infra.RoleSidecar, State: infra.Live, Deployment: "d",
		HTTPAddr: strings.TrimPrefix(url, "http://"),
	}
}

func TestDispatcher_ForwardsCall(t *testing.T) {
	g := gomega.NewWithT(t)
	var got *http.Request
	var body []byte
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r
		body, _ = io.ReadAll(r.Body)
		w.Header().Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: one\n\ndata: [DONE]\n\n")
	}))
	defer server.Close()
	c, w := newCall(`{"model":"m"}`)
	d := New(Deps{Members: membership.Static{sidecarAt(server.URL, "s1")}})

	g.Expect(d.Handle(t.Context(), c)).To(gomega.BeNil())
	g.Expect(w.Body.String()).To(gomega.Equal("data: one\n\ndata: [DONE]\n\n"))
	g.Expect(w.Flushed).To(gomega.BeTrue())
	g.Expect(string(body)).To(gomega.Equal(`{"model":"m"}`))
	g.Expect(got.URL.Path).To(gomega.Equal("/v1/chat/completions"))
	g.Expect(got.Header.Get(api.HeaderCustomer)).To(gomega.Equal("c1"))
	g.Expect(got.Header).NotTo(gomega.HaveKey("Authorization"))
}

func TestDispatcher_FailsWithoutReachableEndpoint(t *testing.T) {
	g := gomega.NewWithT(t)
	c, _ := newCall(`{}`)
	e := New(Deps{Members: membership.Static{}}).Handle(t.Context(), c)
	g.Expect(e.Code).To(gomega.Equal(api.CodeNoEndpoint))
	g.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))

	refused := New(Deps{Members: membership.Static{sidecarAt("127.0.0.1:1", "s1")}})
	e = refused.Handle(t.Context(), c)
	g.Expect(e.Code).To(gomega.Equal(api.CodeEndpointLost))
	g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
}
