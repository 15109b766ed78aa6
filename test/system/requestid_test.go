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
	marked        = "MARKED-PROMPT-7c1f" // part of each prompt
	operatorToken = "dro_marked-operator-token-0123456789"
)

// logbook keeps what all instances log.
type logbook struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *logbook) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *logbook) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

// line is what the test reads of one log line.
type line struct {
	ID      string `json:"id"`
	Request string `json:"request"`
	Message string `json:"message"`
}

// instances returns the instances that logged a request id which match
// accepts, by request id.
func (l *logbook) instances(t *testing.T, match func(id string) bool) map[string]map[string]bool {
	out := make(map[string]map[string]bool)
	for text := range strings.Lines(l.String()) {
		var entry line
		if err := json.Unmarshal([]byte(text), &entry); err != nil {
			t.Errorf("not a log line: %q", text)
		}
		if entry.Request == "" || !match(entry.Request) {
			continue
		}
		if out[entry.Request] == nil {
			out[entry.Request] = make(map[string]bool)
		}
		out[entry.Request][entry.ID] = true
	}
	return out
}

// count returns how many lines have a message and a request id that match
// accepts.
func (l *logbook) count(message string, match func(id string) bool) int {
	n := 0
	for text := range strings.Lines(l.String()) {
		var entry line
		if json.Unmarshal([]byte(text), &entry) == nil && entry.Message == message && match(entry.Request) {
			n++
		}
	}
	return n
}

// roles returns how many entries and sidecars are among ids.
func roles(ids map[string]bool) (entries, sidecars int) {
	for id := range ids {
		if strings.HasPrefix(id, "entry") {
			entries++
		} else {
			sidecars++
		}
	}
	return entries, sidecars
}

// ask sends one request with a request id and returns the one in the answer.
func (w *world) ask(entry *fleet.Instance, key, path, id string, body any) (*http.Response, string) {
	b, err := json.Marshal(body)
	w.must(err)
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodPost, entry.URL()+path, bytes.NewReader(b))
	w.must(err)
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", uuid.NewString())
	if id != "" {
		req.Header.Set(api.HeaderRequestID, id)
	}
	resp, err := w.fleet.Client().Do(req)
	w.must(err)
	w.must(resp.Body.Close())
	return resp, resp.Header.Get(api.HeaderRequestID)
}

// TestOneRequestIDGoesThroughAllRoles follows calls of each kind through the
// logs at debug level, and looks there for keys and prompts.
func TestOneRequestIDGoesThroughAllRoles(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		book := new(logbook)
		w := newWorld(t, 1, func(o *fleet.Options) {
			o.Logger = zerolog.New(book).Level(zerolog.DebugLevel)
			o.Operators = []settings.Operator{{Name: "op", Digest: authn.Digest(operatorToken)}}
		})
		defer w.fleet.Close()
		expect := func(what, id string, entries, sidecars int) {
			t.Helper()
			synctest.Wait()
			e, s := roles(book.instances(t, func(other string) bool { return other == id })[id])
			if e < entries || s < sidecars {
				t.Errorf("%s %s: %d entries and %d sidecars logged it, want %d and %d", what, id, e, s, entries, sidecars)
			}
		}
		chat := api.ChatRequest{Model: model, MaxTokens: 4, Messages: []api.Message{{Role: "user", Content: marked}}}
		entry := w.entries[0]
		key := keyOf("garden")

		own := uuid.NewString()
		_, id := w.ask(entry, key, "/v1/chat/completions", own, chat)
		if id != own {
			t.Errorf("the caller gave %s and got %s", own, id)
		}
		expect("online request", id, 2, 1)
		for _, given := range []string{"", "x", key, strings.Repeat("a", 36), "{" + own[1:35] + "}"} {
			_, id = w.ask(entry, key, "/v1/chat/completions", given, chat)
			if _, err := uuid.Parse(id); err != nil || id == given {
				t.Errorf("the caller gave %q and got %q", given, id)
			}
			expect("online request", id, 2, 1)
		}
		settled := 0
		for range 8 { // the homes of their keys are entries in turn
			_, id = w.ask(entry, key, "/pickups/"+marked, "", marked)
			expect("call with an idempotency key", id, 2, 1)
			settled += book.count("begin of a call settled", func(other string) bool { return other == id })
		}
		if settled == 0 {
			t.Error("no home of an idempotency key logged a request id")
		}
		_, id = w.ask(entry, key+"-wrong", "/v1/chat/completions", "", chat)
		expect("refused request", id, 1, 0)

		j := w.submit("station", marked, 12)
		w.await(j, "completed")
		ofJob := func(id string) bool { return strings.HasPrefix(id, "batch/"+j.id+"/") }
		items := book.instances(t, ofJob)
		for _, message := range []string{"item handed out", "item ended", "item reported"} {
			if n := book.count(message, ofJob); n < j.items {
				t.Errorf("%d lines %q of %d items", n, message, j.items)
			}
		}
		if len(items) < j.items {
			t.Errorf("%d attempts at %d items are in the log", len(items), j.items)
		}
		for id, ids := range items {
			if e, s := roles(ids); e < 1 || s != 1 {
				t.Errorf("item %s: %d entries and %d sidecars logged it", id, e, s)
			}
		}
		w.checkAdmin(entry, expect)
		for _, secret := range []string{marked, key, keyOf("station"), operatorToken} {
			for text := range strings.Lines(book.String()) {
				if strings.Contains(text, secret) {
					t.Errorf("a log line holds a key or a prompt: %s", text)
				}
			}
		}
	})
}

// checkAdmin lists the jobs and applies a change.
func (w *world) checkAdmin(entry *fleet.Instance, expect func(what, id string, entries, sidecars int)) {
	client := &admin.Client{URL: "http://" + entry.OpsAddr, Token: operatorToken, HTTPClient: w.fleet.Client()}
	req, err := http.NewRequestWithContext(w.t.Context(), http.MethodGet, client.URL+admin.PathJobs, nil)
	w.must(err)
	req.Header.Set("Authorization", "Bearer "+operatorToken)
	resp, err := client.HTTPClient.Do(req)
	w.must(err)
	w.must(resp.Body.Close())
	expect("administration call", resp.Header.Get(api.HeaderRequestID), 2, 0)

	state := desired()
	d := state.Deployments["assistant"]
	d.Slots++
	state.Deployments["assistant"] = d
	files := make(map[string]string)
	for name, section := range map[string]any{
		"customers": state.Customers, "keys": state.Keys, "routes": state.Routes, "deployments": state.Deployments,
	} {
		text, err := json.Marshal(map[string]any{name: section})
		w.must(err)
		files[name+".json"] = string(text)
	}
	now, err := client.State(w.t.Context())
	w.must(err)
	change := admin.ApplyRequest{ID: uuid.NewString(), Base: now.Version, Files: files}
	_, err = client.Apply(w.t.Context(), change)
	w.must(err)
	time.Sleep(10 * time.Second)
	expect(fmt.Sprint("change of version ", now.Version), change.ID, len(w.entries), len(w.endpoints))
}
