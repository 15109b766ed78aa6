package cli_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/cli"
	"dandelionrelay/explain"
)

// sampleExplanation has each part that the command prints.
func sampleExplanation() *explain.Reply {
	return &explain.Reply{
		Entry: "e1", DataCentre: "a", Time: time.Unix(1000, 0), Customer: "garden",
		Route:     &explain.Route{ID: "chat", Host: "lm.example", PathPrefix: "/v1/"},
		Rate:      &explain.Rate{PerSecond: 2, Burst: 3, Level: 0.25, Share: 0.5, WaitMs: 750},
		Refusal:   &explain.Refusal{Status: 429, Code: "rate_limited", Message: "the rate is used up", RetryAfterMs: 750},
		Homes:     [][]string{{"eu"}},
		Evacuated: []string{"b"},
		Targets: []explain.Target{
			{Deployment: "lm", Share: 0.9, Candidates: []explain.Endpoint{
				{ID: "x", DataCentre: "a", Version: "v1", Slots: 8, Online: 3, Batch: 1, WaitMs: 8, CostMs: 8, Ramp: 4},
			}, Excluded: []explain.Endpoint{
				{ID: "y", DataCentre: "b", Version: "v1", Slots: 8, Reasons: []string{"evacuated", "cold_without_token"}, RetryMs: 40, ColdLeftMs: 2500},
			}},
			{Deployment: "lm2", Share: 0.1, Refusal: &explain.Refusal{Status: 503, Code: "no_endpoint", Message: "none", RetryAfterMs: 500}},
		},
		Knowledge: explain.Knowledge{ConfigVersion: 7, Config: explain.Feed{AgeMs: 120}, Endpoints: explain.Feed{AgeMs: -1, LostMs: 3000},
			Reports: []explain.Report{{Entry: "e2", AgeMs: 20}, {Entry: "e3", AgeMs: 90000, TimedOut: true}}},
	}
}

const sampleExplanationText = `entry      e1 in a, 1970-01-01T00:16:40Z
knows      configuration 7 (120ms old), endpoints (never confirmed, store lost for 3s), reports of other entries: 1 (up to 20ms old), 1 timed out
route      chat (lm.example/v1/)
customer   garden
rate       2 a second, burst 3: 0.25 left, of a share of 0.50: not admitted, a token is due in 750ms
homes      eu
evacuated  b
decision   refused with 429 rate_limited: the rate is used up; Retry-After 750ms
otherwise  deployment lm (90% of requests): sent to x
otherwise  deployment lm2 (10% of requests): refused with 503 no_endpoint: none; Retry-After 500ms

deployment lm: 1 candidate, 1 excluded
ENDPOINT  DATA CENTRE  VERSION  COST  WAIT  ONLINE  BATCH  SLOTS  COLD  RAMP  EXCLUDED
x         a            v1       8ms   8ms   3       1      8      -     4     -
y         b            v1       0s    0s    0       0      8      2.5s  -     evacuated, cold_without_token (for 40ms)

deployment lm2: 0 candidates, 0 excluded
`

// TestExplain_PrintsReply guards against a part of the reply that the table leaves out, a
// query that does not reach the entry as given, and --json that is not the entry's reply.
func TestExplain_PrintsReply(t *testing.T) {
	g := gomega.NewWithT(t)
	var asked explain.Query
	reply := sampleExplanation()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		g.Expect(r.Method + r.URL.Path).To(gomega.Equal("GET" + explain.Path))
		g.Expect(r.Header.Get("Authorization")).To(gomega.Equal("Bearer token-ann"))
		var err error
		asked, err = explain.ParseQuery(r.URL.Query())
		g.Expect(err).NotTo(gomega.HaveOccurred())
		api.WriteJSON(w, http.StatusOK, reply)
	}))
	t.Cleanup(server.Close)
	t.Setenv("DANDELIONRELAY_TOKEN", "token-ann")
	f := &cliFixture{t: t}
	g.Expect(f.run("explain", "--host", "lm.example", "--path", "/v1/a b?c=&", "--customer", "garden", "--server", server.URL)).To(gomega.Equal(cli.ExitOK), f.stderr)
	g.Expect(asked).To(gomega.Equal(explain.Query{Host: "lm.example", Path: "/v1/a b?c=&", Customer: "garden"}))
	g.Expect(f.stdout).To(gomega.Equal(sampleExplanationText))

	g.Expect(f.run("explain", "--route", "chat", "--software", "v1", "--job", "--json", "--server", server.URL)).To(gomega.Equal(cli.ExitOK))
	g.Expect(asked).To(gomega.Equal(explain.Query{Route: "chat", Version: "v1", Job: true}))
	var printed explain.Reply
	g.Expect(json.Unmarshal([]byte(f.stdout), &printed)).To(gomega.Succeed())
	g.Expect(printed.Targets).To(gomega.Equal(reply.Targets))
	g.Expect(f.stdout).To(gomega.ContainSubstring("\n  \"entry\": \"e1\""))

	reply = &explain.Reply{Entry: "e1", Job: true, Targets: []explain.Target{{Deployment: "lm", Share: 1}}}
	g.Expect(f.run("explain", "--route", "nightly", "--job", "--server", server.URL)).To(gomega.Equal(cli.ExitOK))
	g.Expect(f.stdout).To(gomega.ContainSubstring("deployment lm: accepted, items wait"))
}

// TestExplain_Errors checks the exit code and the message of each kind of failure.
func TestExplain_Errors(t *testing.T) {
	t.Setenv("DANDELIONRELAY_TOKEN", "x")
	t.Setenv("DANDELIONRELAY_SERVER", "")
	respond := func(h http.HandlerFunc) string {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		return s.URL
	}
	unknown := respond(func(w http.ResponseWriter, _ *http.Request) {
		api.WriteError(w, api.NewError(http.StatusBadRequest, api.CodeBadRequest, `no customer "x"`))
	})
	unauthorized := respond(func(w http.ResponseWriter, _ *http.Request) {
		api.WriteError(w, api.NewError(http.StatusUnauthorized, admin.CodeUnauthorized, "needs the token"))
	})
	for _, c := range []struct {
		code    int
		message string
		args    []string
	}{
		{cli.ExitUsage, "a route, or a host and a path", nil},
		{cli.ExitUsage, "a route, or a host and a path", []string{"--host", "h"}},
		{cli.ExitUsage, "not both", []string{"--host", "h", "--path", "/", "--route", "r"}},
		{cli.ExitUsage, "begin with /", []string{"--host", "h", "--path", "x"}},
		{cli.ExitUsage, "--server", []string{"--route", "r"}},
		{cli.ExitFailure, `no customer "x"`, []string{"--route", "r", "--server", unknown}},
		{cli.ExitFailure, "DANDELIONRELAY_TOKEN", []string{"--route", "r", "--server", unauthorized}},
		{cli.ExitFailure, "operator_token_digest", []string{"--route", "r", "--server", respond(http.NotFound)}},
		{cli.ExitFailure, "no response", []string{"--route", "r", "--server", "http://127.0.0.1:1"}},
	} {
		g := gomega.NewWithT(t)
		f := &cliFixture{t: t}
		g.Expect(f.run(append([]string{"explain"}, c.args...)...)).To(gomega.Equal(c.code), f.stderr)
		g.Expect(f.stderr).To(gomega.ContainSubstring(c.message))
		g.Expect(f.stderr).NotTo(gomega.ContainSubstring("admin."))
	}
}
