package gateway

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/explain"
	"dandelionrelay/locality"
)

// ask asks the handler with an Authorization header.
func (r *testGateway) ask(query, authorization string) *httptest.ResponseRecorder {
	mux := http.NewServeMux()
	r.RegisterExplain(mux)
	req := httptest.NewRequest(http.MethodGet, explain.Path+"?"+query, nil)
	if authorization != "" {
		req.Header.Set("Authorization", authorization)
	}
	w := httptest.NewRecorder()
	mux.ServeHTTP(w, req)
	return w
}

// explained returns the reply to a query with the right token.
func (r *testGateway) explained(query string) explain.Reply {
	w := r.ask(query, "Bearer secret")
	r.Expect(w.Code).To(gomega.Equal(http.StatusOK), w.Body.String())
	var reply explain.Reply
	r.Expect(json.Unmarshal(w.Body.Bytes(), &reply)).To(gomega.Succeed())
	return reply
}

// Guards against a handler that replies without the operator's token, is there without the
// setting, or fails on a malformed query without saying what is wrong.
func TestExplain_TokenAndMalformedInput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLocalityGateway(t, nil)
		const query = "host=h.example&path=/online/x&customer=garden"
		r.Expect(r.ask(query, "Bearer secret").Code).To(gomega.Equal(http.StatusNotFound), "the setting is absent")
		r.Expect(r.ask(query, "Bearer ").Code).To(gomega.Equal(http.StatusNotFound))
		r.Settings.OperatorTokenDigest = strings.ToUpper(authn.Digest("secret"))
		for _, authorization := range []string{"", "Bearer", "Bearer ", "Bearer wrong", "secret", "Basic secret", "Bearer key"} {
			w := r.ask(query, authorization)
			r.Expect(w.Code).To(gomega.Equal(http.StatusUnauthorized), authorization)
			r.Expect(w.Body.String()).NotTo(gomega.ContainSubstring("e-a"))
		}
		r.Expect(r.explained(query).Targets).NotTo(gomega.BeEmpty())
		for query, message := range map[string]string{
			"":                                      "a route, or a host and a path",
			"host=h.example":                        "a route, or a host and a path",
			"route=online&host=h.example&path=/":    "not both",
			"host=h.example&path=x":                 "begin with /",
			"route=online&route=jobs":               "more than once",
			"route=online&key=k":                    `\"key\" is not known`,
			"route=online&job=perhaps":              "true or false",
			"route=online&customer=nobody":          `no customer \"nobody\"`,
			"route=nowhere":                         `no route \"nowhere\"`,
			"route=online&job=true":                 "takes no jobs",
			"route=%zz":                             "can't be read",
			"route=" + strings.Repeat("x", 3000):    "longer than",
			"host=h.example&path=/online/x&job=1;2": "can't be read",
		} {
			w := r.ask(query, "Bearer secret")
			r.Expect(w.Code).To(gomega.Equal(http.StatusBadRequest), query)
			r.Expect(w.Body.String()).To(gomega.ContainSubstring(message))
		}
	})
}

// Guards against a reply that differs from what the next request gets: route, rate, homes,
// evacuations, endpoint; and against one that takes a token.
func TestExplain_AgreesWithNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLocalityGateway(t, func(s *config.State) {
			s.Customers["garden"] = config.Customer{Rate: 2, Burst: 3, Homes: locality.Homes{"eu"}}
			s.Evacuations = map[string]bool{"a": true}
		})
		r.Settings.OperatorTokenDigest = authn.Digest("secret")
		const query = "host=H.example:80&path=/online/x&customer=garden"
		for {
			before := r.explained(query)
			r.Expect(r.explained(query).Rate).To(gomega.Equal(before.Rate), "no token is taken")
			d := r.limits.Admit(r.now, "garden")
			r.Expect(before.Rate.Admitted).To(gomega.Equal(d.Admitted))
			r.Expect(before.Rate.Level).To(gomega.Equal(d.Level))
			if !d.Admitted {
				r.Expect(before.Refusal.Code).To(gomega.Equal(string(api.CodeRateLimited)))
				r.Expect(before.Refusal.RetryAfterMs).To(gomega.BeNumerically(">", 0))
				r.Expect(r.serve("/online/x", "key").Code).To(gomega.Equal(api.CodeRateLimited))
				break
			}
			r.Expect(before.Refusal).To(gomega.BeNil())
		}
		x := r.explained(query)
		r.Expect(x.Route.ID).To(gomega.Equal("online"))
		r.Expect(x.Homes).To(gomega.Equal([][]string{{"eu"}}))
		r.Expect(x.Evacuated).To(gomega.Equal([]string{"a"}))
		target := x.Targets[0]
		r.Expect(target.Candidates).To(gomega.HaveLen(1))
		r.Expect(target.Candidates[0].ID).To(gomega.Equal("e-b"))
		r.Expect(target.Excluded).To(gomega.HaveLen(2))
		r.Expect(target.Excluded[0].Reasons).To(gomega.Equal([]string{"evacuated"}))
		r.Expect(target.Excluded[1].Reasons).To(gomega.Equal([]string{"outside_homes"}))
		r.Expect(r.table.LocalLoads()).To(gomega.BeEmpty())
	})
}

// Guards against a refusal that the filters would give and the reply does not: each is set
// up, explained, and got by a request.
func TestExplain_RefusalsOfFilters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closed := func(s *config.State) {
			r := s.Routes["online"]
			r.Open = false
			s.Routes["online"] = r
		}
		r := newLocalityGateway(t, closed)
		r.Settings.OperatorTokenDigest = authn.Digest("secret")
		expect := func(path, customer, key string) {
			t.Helper()
			x := r.explained("host=h.example&path=" + path + "&customer=" + customer)
			err := r.serve(path, key)
			r.Expect(x.Refusal).NotTo(gomega.BeNil())
			r.Expect(*x.Refusal).To(gomega.Equal(*explainedRefusal(err)))
		}
		expect("/nowhere/x", "", "")
		expect("/online/x", "", "")
		r.feed.age = bound
		expect("/online/x", "garden", "key")
		r.feed.age = 2 * time.Second
		expect("/nowhere/x", "", "")
		x := r.explained("route=online&customer=garden")
		r.Expect(x.Knowledge.Config.AgeMs).To(gomega.Equal(2000.0))
		r.feed.age = 0

		r.setState(func(s *config.State) { closed(s); s.Evacuations = map[string]bool{"a": true, "b": true, "c": true} })
		x = r.explained("route=online&customer=garden")
		r.Expect(x.Refusal).To(gomega.BeNil())
		r.Expect(*x.Targets[0].Refusal).To(gomega.Equal(*explainedRefusal(r.serve("/online/x", "key"))))
		r.Expect(x.Targets[0].Refusal.Code).To(gomega.Equal(string(api.CodeEvacuated)))
		x = r.explained("route=jobs&customer=garden&job=true")
		r.Expect(x.Targets[0].Refusal.Code).To(gomega.Equal(string(api.CodeEvacuated)))
	})
}

// A job is explained by where an item would start, without the customer's rate; a split
// names each deployment with its share.
func TestExplain_JobsAndSplits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newLocalityGateway(t, func(s *config.State) {
			split := []config.WeightedShare{{Deployment: "lm", Weight: 3}, {Deployment: "new", Weight: 1}, {Deployment: "old"}}
			s.Routes["online"].Provided.Split, s.Routes["jobs"].Provided.Split = split, split
		})
		r.Settings.OperatorTokenDigest = authn.Digest("secret")
		x := r.explained("host=h.example&path=/jobs/x&customer=garden")
		r.Expect(x.Job).To(gomega.BeTrue())
		r.Expect(x.Rate).To(gomega.BeNil())
		r.Expect(x.Targets[0].Candidates[0].ID).To(gomega.Equal("e-a"))
		r.Expect(x.Targets).To(gomega.HaveLen(2))
		r.Expect(x.Targets[1].Share).To(gomega.Equal(0.25))
		r.Expect(x.Waiting).To(gomega.BeEmpty())
		r.feed.lost = time.Second
		x = r.explained("route=jobs")
		r.Expect(x.Refusal).To(gomega.BeNil(), "the index of jobs can be read")

		r.feed.lost = 0
		r.Leave()
		r.Expect(r.explained("route=jobs").Waiting).To(gomega.ContainSubstring("leaving"))

		x = r.explained("route=online")
		r.Expect(x.Targets).To(gomega.HaveLen(2))
		r.Expect(x.Targets[0].Share).To(gomega.Equal(0.75))
		r.Expect(x.Targets[1].Deployment).To(gomega.Equal("new"))
		r.Expect(x.Targets[1].Refusal.Code).To(gomega.Equal(string(api.CodeNoEndpoint)))
	})
}
