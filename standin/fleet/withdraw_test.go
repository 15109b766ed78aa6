package fleet_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/invariant"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

const (
	otherKey = "station-demo-key"

	// withdrawalTarget is the maximum time until a change of the configuration is in
	// force everywhere and the calls of a withdrawn key have ended.
	withdrawalTarget = 8 * time.Second
)

// callResult is the result of a long call.
type callResult struct {
	status int
	err    error         // of sending the request or reading the body
	after  time.Duration // until the end of the response
	body   []byte
}

// startLongCall starts a call that takes longer than withdrawalTarget: it generates
// 5,000 tokens, each in a step of at least 8 ms.
func startLongCall(g *WithT, f *fleet.Fleet, url, key string, stream bool) <-chan callResult {
	body, err := json.Marshal(api.ChatRequest{
		Model: "m", MaxTokens: 5000, Stream: stream, Messages: []api.Message{{Role: "user", Content: "hi"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	done := make(chan callResult, 1)
	go func() {
		start := time.Now()
		resp, err := f.Client().Do(req)
		if err != nil {
			done <- callResult{err: err, after: time.Since(start)}
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		done <- callResult{status: resp.StatusCode, err: err, body: b, after: time.Since(start)}
	}()
	return done
}

// TestFleet_WithdrawnKeyAbortsCallsInFlight withdraws a key while a streamed and an
// unstreamed call with the key and a streamed call with another key are in flight. Only
// the calls with the withdrawn key may end early.
func TestFleet_WithdrawnKeyAbortsCallsInFlight(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := state()
		s.Keys["station-1"] = config.Key{Customer: "garden", Digest: authn.Digest(otherKey)}
		f, err := fleet.New(t.Context(), fleet.Options{
			Network:     fleet.NewMemoryNetwork(),
			State:       s,
			DataCentres: 3,
			Engine:      engine.Options{Model: "m"},
			OnViolation: func(v invariant.Violation) { t.Error(v) },
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		_, _, err = f.AddEngine("assistant")
		g.Expect(err).NotTo(HaveOccurred())
		_, err = f.AddEntry()
		g.Expect(err).NotTo(HaveOccurred())
		e, err := f.AddEntry()
		g.Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Second)

		stream := startLongCall(g, f, e.URL(), key, true)
		unstreamed := startLongCall(g, f, e.URL(), key, false)
		other := startLongCall(g, f, e.URL(), otherKey, true)
		time.Sleep(2 * time.Second)

		next := state()
		next.Keys["station-1"] = s.Keys["station-1"]
		next.Keys["garden-1"] = config.Key{Customer: "garden", Digest: authn.Digest(key), Withdrawn: true}
		g.Expect(f.Apply(t.Context(), next)).To(Succeed())

		aborted, rejected := <-stream, <-unstreamed
		g.Expect(aborted.status).To(Equal(http.StatusOK))
		g.Expect(aborted.err).To(HaveOccurred(), "the stream must not look complete")
		g.Expect(string(aborted.body)).To(ContainSubstring(`"code":"key_invalid"`), "the last event must have the reason")
		g.Expect(aborted.after).To(BeNumerically("<=", 2*time.Second+withdrawalTarget))
		g.Expect(rejected.status).To(Equal(http.StatusUnauthorized))
		g.Expect(rejected.after).To(BeNumerically("<=", 2*time.Second+withdrawalTarget))
		g.Expect(string(rejected.body)).To(ContainSubstring(string(api.Unknown)))
		t.Logf("stream aborted after %v, unstreamed call rejected after %v, each including 2s before the withdrawal", aborted.after, rejected.after)

		resp := chat(g, f, e.URL(), key, "again")
		g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))
		g.Expect(resp.Close).To(BeTrue(), "the connection must be closed")
		g.Expect(resp.Body.Close()).To(Succeed())

		rest := <-other
		g.Expect(rest.err).NotTo(HaveOccurred())
		g.Expect(rest.status).To(Equal(http.StatusOK))
		g.Expect(string(rest.body)).To(HaveSuffix("[DONE]\n\n"))
	})
}
