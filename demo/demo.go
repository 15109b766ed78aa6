// Package demo runs the whole system in one process on loopback, sends it
// requests and batch jobs, breaks parts of it, and tells what happened.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

const (
	model     = "assistant-small"
	gardenKey = "garden-demo-key"
	riderKey  = "station-demo-key"
	// patience bounds each wait of the demonstration.
	patience = 30 * time.Second
)

// tour is one demonstration under way.
type tour struct {
	out     io.Writer
	fleet   *fleet.Fleet
	entries []*fleet.Instance
	engines []*fleet.Instance
	broken  []invariant.Violation
}

// step is one thing to show.
type step struct {
	title string
	show  func(ctx context.Context) error
}

// Run runs the demonstration and prints what it shows on out. The error says
// what did not go as it should.
func Run(ctx context.Context, out io.Writer) error {
	t := &tour{out: out}
	f, err := fleet.New(ctx, fleet.Options{
		State:       state(),
		DataCentres: 3,
		Engine:      engine.Options{Model: model},
		Logger:      zerolog.Nop(),
		OnViolation: func(v invariant.Violation) { t.broken = append(t.broken, v) },
	})
	if err != nil {
		return err
	}
	defer f.Close()
	t.fleet = f
	for n, s := range t.steps() {
		fmt.Fprintf(out, "\n%d. %s\n", n+1, s.title)
		if err := s.show(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.title, err)
		}
	}
	if len(t.broken) > 0 {
		return fmt.Errorf("invariants violated: %v", t.broken)
	}
	fmt.Fprintln(out, "\nAll went as it should; no invariant was violated.")
	return nil
}

func (t *tour) steps() []step {
	return []step{
		{"Start two model engines and a plain service with a sidecar each, and two entries", t.start},
		{"A chat completion through the first entry, whole", t.whole},
		{"The same through the second entry, streamed", t.stream},
		{"A call to the plain service, which may run at most once", t.pickup},
		{"Requests that are refused, each with the reason", t.refusals},
		{"A batch job handed in at one entry, its results read at the other", t.batch},
		{"An endpoint is lost while requests run: they are answered all the same", t.lostEndpoint},
		{"A key is withdrawn: it stops working on every entry", t.withdraw},
	}
}

// say prints one line of what happened.
func (t *tour) say(format string, args ...any) {
	fmt.Fprintf(t.out, "   "+format+"\n", args...)
}

func state() *config.State {
	return &config.State{
		Customers: map[string]config.Customer{
			"garden":  {Rate: 50, Burst: 100},
			"station": {Rate: 1, Burst: 2},
		},
		Keys: map[string]config.Key{
			"garden-1":  {Customer: "garden", Digest: authn.Digest(gardenKey)},
			"station-1": {Customer: "station", Digest: authn.Digest(riderKey)},
		},
		Routes: map[string]config.Route{
			"assistant": {Model: model, Deployment: "assistant", Idempotent: true},
			"pickups":   {PathPrefix: "/pickups", Deployment: "pickups"},
		},
		Deployments: map[string]config.Deployment{
			"assistant": {Kind: config.KindModel, Model: model, Slots: 8, CanResume: true},
			"pickups":   {Kind: config.KindPlain, Slots: 16},
		},
	}
}

// chat returns the body of a chat completion.
func chat(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		model, tokens, stream, prompt)
}

// answer is what a caller got.
type answer struct {
	status  int
	outcome string
	body    string
}

// send makes one request at an entry.
func (t *tour) send(ctx context.Context, entry int, method, path, key, body string) (answer, error) {
	url := t.entries[entry%len(t.entries)].URL() + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return answer{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	if method == http.MethodPost && path == "/v1/batches" {
		req.Header.Set("Content-Type", "application/jsonl")
	}
	resp, err := t.fleet.Client().Do(req)
	if err != nil {
		return answer{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, outcome: resp.Header.Get("Relay-Outcome"), body: string(text)}, err
}

// expect makes a request and checks the status of its answer.
func (t *tour) expect(ctx context.Context, want, entry int, method, path, key, body string) (answer, error) {
	a, err := t.send(ctx, entry, method, path, key, body)
	if err != nil {
		return a, err
	}
	if a.status != want {
		return a, fmt.Errorf("status %d instead of %d: %s", a.status, want, a.body)
	}
	return a, nil
}

// until repeats try until it says that it is done.
func until(ctx context.Context, try func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		done, err := try()
		if err != nil || done {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(50 * time.Millisecond):
		}
	}
}
