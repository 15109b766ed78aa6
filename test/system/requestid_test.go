package system

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/settings"
	"dandelionrelay/standin/fleet"
)

const (
	markedPrompt  = "MARKED-PROMPT-7c1f" // part of each prompt
	operatorToken = "dro_marked-operator-token-0123456789"
)

// logBuffer collects the log lines of all instances.
type logBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

// Write implements io.Writer.
func (l *logBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.Write(b)
}

// String implements fmt.Stringer.
func (l *logBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buffer.String()
}

// logLine holds the fields of a log line that the test reads.
type logLine struct {
	ID      string `json:"id"`
	Request string `json:"request"`
	Message string `json:"message"`
}

// instances returns, for each request ID that match accepts, the set of the IDs of
// the instances that logged it.
func (l *logBuffer) instances(t *testing.T, match func(id string) bool) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for text := range strings.Lines(l.String()) {
		var parsed logLine
		if err := json.Unmarshal([]byte(text), &parsed); err != nil {
			t.Errorf("malformed log line: %q", text)
		}
		if parsed.Request == "" || !match(parsed.Request) {
			continue
		}
		if out[parsed.Request] == nil {
			out[parsed.Request] = make(map[string]bool)
		}
		out[parsed.Request][parsed.ID] = true
	}
	return out
}

// count returns the number of lines with this message and a request ID that match
// accepts.
func (l *logBuffer) count(message string, match func(id string) bool) int {
	n := 0
	for text := range strings.Lines(l.String()) {
		var parsed logLine
		if json.Unmarshal([]byte(text), &parsed) == nil && parsed.Message == message && match(parsed.Request) {
			n++
		}
	}
	return n
}

// countRoles returns the number of entries and of sidecars among instance IDs.
func countRoles(ids map[string]bool) (entries, sidecars int) {
	for id := range ids {
		if strings.HasPrefix(id, "entry") {
			entries++
		} else {
			sidecars++
		}
	}
	return entries, sidecars
}

// sendWithRequestID sends one request, with request ID id unless that is empty, and
// returns the response and its request ID.
func (sim *simulation) sendWithRequestID(entry *fleet.Instance, key, path, id string, body any) (*http.Response, string) {
	b, err := json.Marshal(body)
	sim.must(err)
	req, err := http.NewRequestWithContext(sim.t.Context(), http.MethodPost, entry.URL()+path, bytes.NewReader(b))
	sim.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", uuid.NewString())
	if id != "" {
		req.Header.Set(api.HeaderRequestID, id)
	}
	resp, err := sim.fleet.Client().Do(req)
	sim.must(err)
	sim.must(resp.Body.Close())
	return resp, resp.Header.Get(api.HeaderRequestID)
}

// TestRequestID_IsLoggedByAllRoles checks that the request ID of each kind of call
// is in the logs of the instances that took part, and that no log line, at debug
// level, holds a key, an operator's token or a prompt.
func TestRequestID_IsLoggedByAllRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		logs := new(logBuffer)
		sim := newSimulation(t, 1, func(o *fleet.Options) {
			o.Logger = zerolog.New(logs).Level(zerolog.DebugLevel)
			o.Operators = []settings.Operator{{Name: "op", Digest: authn.Digest(operatorToken)}}
		})
		defer sim.fleet.Close()
		expectLogged := func(what, id string, entries, sidecars int) {
			t.Helper()
			synctest.Wait()
			e, s := countRoles(logs.instances(t, func(other string) bool { return other == id })[id])
			if e < entries || s < sidecars {
				t.Errorf("%s %s: logged by %d entries and %d sidecars, want at least %d and %d", what, id, e, s, entries, sidecars)
			}
		}
		chat := api.ChatRequest{Model: model, MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: markedPrompt}}}
		entry := sim.entries[0]
		key := keyOf("garden")

		callerID := uuid.NewString()
		_, id := sim.sendWithRequestID(entry, key, "/v1/chat/completions", callerID, chat)
		if id != callerID {
			t.Errorf("caller sent request ID %s, response has %s", callerID, id)
		}
		expectLogged("online request", id, 2, 1)
		for _, given := range []string{"", "x", key, strings.Repeat("a", 36), "{" + callerID[1:35] + "}"} {
			_, id = sim.sendWithRequestID(entry, key, "/v1/chat/completions", given, chat)
			if _, err := uuid.Parse(id); err != nil || id == given {
				t.Errorf("caller sent invalid request ID %q, response has %q", given, id)
			}
			expectLogged("online request", id, 2, 1)
		}
		settled := 0
		for range 8 { // their idempotency keys have different entries as coordinators
			_, id = sim.sendWithRequestID(entry, key, "/pickups/"+markedPrompt, "", markedPrompt)
			expectLogged("call with an idempotency key", id, 2, 1)
			settled += logs.count("begin of a call settled", func(other string) bool { return other == id })
		}
		if settled == 0 {
			t.Error("no coordinator of an idempotency key logged a request ID")
		}
		_, id = sim.sendWithRequestID(entry, key+"-wrong", "/v1/chat/completions", "", chat)
		expectLogged("refused request", id, 1, 0)

		j := sim.submitJob("station", markedPrompt, 12)
		sim.awaitJob(j, "completed")
		ofJob := func(id string) bool { return strings.HasPrefix(id, "batch/"+j.id+"/") }
		items := logs.instances(t, ofJob)
		for _, message := range []string{"item handed out", "item ended", "item reported"} {
			if n := logs.count(message, ofJob); n < j.items {
				t.Errorf("%d log lines %q, want one for each of %d items", n, message, j.items)
			}
		}
		if len(items) < j.items {
			t.Errorf("request IDs of %d attempts are logged, want one for each of %d items", len(items), j.items)
		}
		for id, ids := range items {
			if e, s := countRoles(ids); e < 1 || s != 1 {
				t.Errorf("item %s: logged by %d entries and %d sidecars, want at least 1 and exactly 1", id, e, s)
			}
		}
		sim.checkAdminCalls(entry, expectLogged)
		for _, secret := range []string{markedPrompt, key, keyOf("station"), operatorToken} {
			for text := range strings.Lines(logs.String()) {
				if strings.Contains(text, secret) {
					t.Errorf("log line holds a key, an operator's token or a prompt: %s", text)
				}
			}
		}
	})
}

// checkAdminCalls lists the jobs and applies a change, and checks that the request
// IDs of both are logged.
func (sim *simulation) checkAdminCalls(entry *fleet.Instance, expectLogged func(what, id string, entries, sidecars int)) {
	client := &admin.Client{URL: "http://" + entry.OpsAddr, Token: operatorToken, HTTPClient: sim.fleet.Client()}
	req, err := http.NewRequestWithContext(sim.t.Context(), http.MethodGet, client.URL+admin.PathJobs, nil)
	sim.must(err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := client.HTTPClient.Do(req)
	sim.must(err)
	sim.must(resp.Body.Close())
	expectLogged("administration call", resp.Header.Get(api.HeaderRequestID), 2, 0)

	state := desiredState()
	d := state.Deployments["assistant"]
	d.Slots++
	state.Deployments["assistant"] = d
	files := make(map[string]string)
	for name, section := range map[string]any{
		"customers": state.Customers, "keys": state.Keys, "routes": state.Routes, "deployments": state.Deployments,
	} {
		text, err := json.Marshal(map[string]any{name: section})
		sim.must(err)
		files[name+".json"] = string(text)
	}
	current, err := client.State(sim.t.Context())
	sim.must(err)
	change := admin.ApplyRequest{ID: uuid.NewString(), Base: current.Version, Files: files}
	_, err = client.Apply(sim.t.Context(), change)
	sim.must(err)
	time.Sleep(10 * time.Second)
	expectLogged(fmt.Sprint("change of version ", current.Version), change.ID, len(sim.entries), len(sim.endpoints))
}
