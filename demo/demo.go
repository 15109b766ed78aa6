// Package demo runs the complete system in one process on loopback, sends requests
// and batch jobs to it, injects failures, and prints the results.
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
	model      = "assistant-small"
	gardenKey  = "garden-demo-key"
	stationKey = "station-demo-key"
	// waitTimeout bounds each call of poll, and the wait until all instances are
	// ready.
	waitTimeout = 30 * time.Second
)

// runner runs one demonstration.
type runner struct {
	out        io.Writer
	fleet      *fleet.Fleet
	entries    []*fleet.Instance
	engines    []*fleet.Instance
	violations []invariant.Violation
}

// step is one step of the demonstration.
type step struct {
	title string
	run   func(ctx context.Context) error
}

// Run runs the demonstration and prints its results on out. It returns an error if a
// step fails or an invariant is violated.
func Run(ctx context.Context, out io.Writer) error {
	r := &runner{out: out}
	f, err := fleet.New(ctx, fleet.Options{
		State:       state(),
		DataCentres: 3,
		Engine:      engine.Options{Model: model},
		Logger:      zerolog.Nop(),
		OnViolation: func(v invariant.Violation) { r.violations = append(r.violations, v) },
	})
	if err != nil {
		return err
	}
	defer f.Close()
	r.fleet = f
	for n, s := range r.steps() {
		fmt.Fprintf(out, "\n%d. %s\n", n+1, s.title)
		if err := s.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", s.title, err)
		}
	}
	if len(r.violations) > 0 {
		return fmt.Errorf("invariants violated: %v", r.violations)
	}
	fmt.Fprintln(out, "\nAll went as it should; no invariant was violated.")
	return nil
}

func (r *runner) steps() []step {
	return []step{
		{"Start two model engines and a plain service with a sidecar each, and two entries", r.start},
		{"A chat completion through the first entry, not streamed", r.complete},
		{"The same through the second entry, streamed", r.stream},
		{"A call to the plain service, which may run at most once", r.pickup},
		{"Requests that are refused, each with the reason", r.refusals},
		{"A batch job submitted at one entry, its results read at the other", r.batch},
		{"An endpoint is lost while requests run: they are answered all the same", r.lostEndpoint},
		{"A key is withdrawn: it stops working on every entry", r.withdraw},
	}
}

// printf prints one line of the output of a step.
func (r *runner) printf(format string, args ...any) {
	fmt.Fprintf(r.out, "   "+format+"\n", args...)
}

func state() *config.State {
	return &config.State{
		Customers: map[string]config.Customer{
			"garden":  {Rate: 50, Burst: 100},
			"station": {Rate: 1, Burst: 2},
		},
		Keys: map[string]config.Key{
			"garden-1":  {Customer: "garden", Digest: authn.Digest(gardenKey)},
			"station-1": {Customer: "station", Digest: authn.Digest(stationKey)},
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

// chat returns the body of a chat-completions request.
func chat(prompt string, tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":%q}]}`,
		model, tokens, stream, prompt)
}

// response is the response that a caller received.
type response struct {
	status  int
	outcome string
	body    string
}

// send sends one request to an entry.
func (r *runner) send(ctx context.Context, entry int, method, path, key, body string) (response, error) {
	url := r.entries[entry%len(r.entries)].URL() + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return response{}, err
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	req.Header.Set("Content-Type", "application/json")
	if method == http.MethodPost && path == "/v1/batches" {
		req.Header.Set("Content-Type", "application/jsonl")
	}
	resp, err := r.fleet.Client().Do(req)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{status: resp.StatusCode, outcome: resp.Header.Get("Relay-Outcome"), body: string(text)}, err
}

// expect sends a request and fails if the status of the response is not want.
func (r *runner) expect(ctx context.Context, want, entry int, method, path, key, body string) (response, error) {
	resp, err := r.send(ctx, entry, method, path, key, body)
	if err != nil {
		return resp, err
	}
	if resp.status != want {
		return resp, fmt.Errorf("status is %d, want %d: %s", resp.status, want, resp.body)
	}
	return resp, nil
}

// poll calls attempt until it returns true or an error, or until waitTimeout has passed.
func poll(ctx context.Context, attempt func() (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, waitTimeout)
	defer cancel()
	for {
		done, err := attempt()
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
