package authn_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/pipeline"
	"dandelionrelay/route"
)

const (
	key       = "dr_0123456789abcdefghijklmnopqrstuvwxyzABCDEFG"
	withdrawn = "dr_withdrawn0123456789"
)

func testConfig() *config.Holder {
	h := new(config.Holder)
	h.Set(config.NewSnapshot(1, &config.State{
		Customers: map[string]config.Customer{"north": {Rate: 1, Burst: 1}, "south": {Rate: 1, Burst: 1}},
		Keys: map[string]config.Key{
			"k1": {Customer: "north", Digest: authn.Digest(key)},
			"k2": {Customer: "north", Digest: authn.Digest(withdrawn), Withdrawn: true},
		},
		Deployments: map[string]config.Deployment{
			"m": {Kind: config.KindModel, Model: "bean", Slots: 1},
			"p": {Kind: config.KindPlain, Slots: 1},
		},
		Routes: map[string]config.Route{
			"chat":    {Model: "bean", Deployment: "m"},
			"pickups": {PathPrefix: "/pickups", Deployment: "p"},
			"south":   {PathPrefix: "/south", Deployment: "p", Customers: []string{"south"}},
			"open":    {PathPrefix: "/open", Deployment: "p", Open: true},
		},
	}))
	return h
}

// serve runs r through the filters and returns the call and the error, nil if
// all filters passed it.
func serve(t *testing.T, r *http.Request, body string) (*pipeline.Call, *api.Error) {
	s := testConfig()
	invariants := invariant.New(func(v invariant.Violation) { t.Error(v) })
	authorizer := &authn.Authorizer{Source: s, ActiveCalls: authn.NewActiveCalls(invariants), Invariants: invariants}
	c := &pipeline.Call{W: httptest.NewRecorder(), R: r, Body: []byte(body), Received: time.Now()}
	h := pipeline.Chain(
		func(context.Context, *pipeline.Call) *api.Error { return nil },
		authn.Identify(s), route.Filter(), authorizer.Authorize(),
	)
	return c, h(t.Context(), c)
}

func TestFilters_KeyAndRouteChecks(t *testing.T) {
	chat := `{"model":"bean","messages":[{"role":"user","content":"hi"}]}`
	escaped := `{"model":"bean","messages":[{"role":"user","content":"\u0064r` + key[2:] + `"}]}`
	tests := []struct {
		name     string
		url      string
		headers  []string // name, value pairs
		body     string
		code     api.Code // "" if the call passes
		customer string   // of the call; "" if it has no key or is rejected
	}{
		{"bearer", "/pickups", []string{"Authorization", "Bearer " + key}, "", "", "north"},
		{"x-api-key", "/pickups/1", []string{"X-Api-Key", key}, "", "", "north"},
		{"api-key", "/pickups", []string{"Api-Key", key}, "", "", "north"},
		{"same key twice", "/pickups", []string{"Api-Key", key, "Authorization", "bearer " + key}, "", "", "north"},
		{"two keys", "/pickups", []string{"Api-Key", key, "Authorization", "Bearer other"}, "", api.CodeBadKey, ""},
		{"no key", "/pickups", nil, "", api.CodeNoKey, ""},
		{"unknown key", "/pickups", []string{"Api-Key", "what"}, "", api.CodeBadKey, ""},
		{"withdrawn key", "/pickups", []string{"Api-Key", withdrawn}, "", api.CodeBadKey, ""},
		{"open without key", "/open/x", nil, "", "", ""},
		{"open with unknown key", "/open/x", []string{"Api-Key", "what"}, "", "", ""},
		{"open with key", "/open/x", []string{"Api-Key", key}, "", "", "north"},
		{"route of other customers", "/south", []string{"Api-Key", key}, "", api.CodeForbidden, ""},
		{"key in query", "/pickups?a=" + key, []string{"Api-Key", key}, "", api.CodeKeyInQuery, ""},
		{"withdrawn key in query", "/pickups?a=" + withdrawn, []string{"Api-Key", key}, "", api.CodeKeyInQuery, ""},
		{"credential name in query", "/pickups?API_KEY=zz", []string{"Api-Key", key}, "", api.CodeKeyInQuery, ""},
		{"key in cookie", "/open", []string{"Cookie", "a=" + key}, "", api.CodeKeyInQuery, ""},
		{"key in path", "/open/" + key, nil, "", api.CodeKeyInQuery, ""},
		{"key in forwarded header", "/pickups", []string{"Api-Key", key, "Idempotency-Key", "x" + key}, "", api.CodeKeyInQuery, ""},
		{"key in body", "/pickups", []string{"Api-Key", key}, "say " + key, api.CodeKeyInQuery, ""},
		{"escaped key in body", "/v1/chat/completions", []string{"Api-Key", key}, escaped, api.CodeKeyInQuery, ""},
		{"compressed body", "/pickups", []string{"Api-Key", key, "Content-Encoding", "gzip"}, "", api.CodeBadRequest, ""},
		{"chat", "/v1/chat/completions", []string{"Api-Key", key}, chat, "", "north"},
		{"bad JSON", "/v1/chat/completions", []string{"Api-Key", key}, "{", api.CodeBadRequest, ""},
		{"unknown model", "/v1/chat/completions", []string{"Api-Key", key}, strings.Replace(chat, "bean", "pea", 1), api.CodeNoRoute, ""},
		{"unknown path", "/pickupsx", []string{"Api-Key", key}, "", api.CodeNoRoute, ""},
		{"dot segments in path", "/open/../pickups", nil, "", api.CodeBadRequest, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			r := httptest.NewRequest(http.MethodPost, test.url, nil)
			for i := 0; i+1 < len(test.headers); i += 2 {
				r.Header.Set(test.headers[i], test.headers[i+1])
			}
			c, err := serve(t, r, test.body)
			if test.code != "" {
				g.Expect(err).NotTo(gomega.BeNil())
				g.Expect(err.Code).To(gomega.Equal(test.code))
				g.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
				return
			}
			g.Expect(err).To(gomega.BeNil())
			g.Expect(c.Customer).To(gomega.Equal(test.customer))
		})
	}
}

func TestCheckNoCredentials_EveryLocation(t *testing.T) {
	request := func(change func(*http.Request)) *http.Request {
		r := httptest.NewRequest(http.MethodPost, "/x?a=b", nil)
		r.Header.Set("Content-Type", "text/plain")
		change(r)
		return r
	}
	tests := map[string]struct {
		r    *http.Request
		body string
		ok   bool
	}{
		"no credential": {request(func(*http.Request) {}), "hello", true},
		"authorization": {request(func(r *http.Request) { r.Header.Set("Authorization", "x") }), "", false},
		"cookie":        {request(func(r *http.Request) { r.Header.Set("Cookie", "x=1") }), "", false},
		"other header":  {request(func(r *http.Request) { r.Header.Set("X-Other", "a"+key) }), "", false},
		"trailer":       {request(func(r *http.Request) { r.Trailer = http.Header{"X": nil} }), "", false},
		"query":         {request(func(r *http.Request) { r.URL.RawQuery = "a=%64" + key[1:] }), "", false},
		"path":          {request(func(r *http.Request) { r.URL.Path = "/" + key }), "", false},
		"body":          {request(func(*http.Request) {}), "a " + key, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			invariants := invariant.New(nil)
			g := gomega.NewWithT(t)
			g.Expect(authn.CheckNoCredentials(invariants, key, test.r, []byte(test.body))).To(gomega.Equal(test.ok))
			g.Expect(invariants.Count(invariant.NoKeyAtEndpoint) == 0).To(gomega.Equal(test.ok))
		})
	}
}

func TestStripCredentials_KeepsForwardedHeadersOnly(t *testing.T) {
	h := http.Header{}
	for _, name := range []string{"Authorization", "X-Api-Key", "Cookie", "X-Secret", "Content-Type", "Accept"} {
		h.Set(name, "v")
	}
	authn.StripCredentials(h)
	gomega.NewWithT(t).Expect(h).To(gomega.Equal(http.Header{"Content-Type": {"v"}, "Accept": {"v"}}))
}
