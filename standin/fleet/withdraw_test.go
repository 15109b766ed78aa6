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

	// withdrawnWithin is the target for a change to be in force everywhere,
	// and for its calls to end.
	withdrawnWithin = 8 * time.Second
)

// ended is how a long call came to its end.
type ended struct {
	status int
	err    error // of reading the body
	after  time.Duration
	body   []byte
}

// long starts a call that runs for minutes.
func long(g *WithT, f *fleet.Fleet, url, key string, stream bool) <-chan ended {
	body, err := json.Marshal(api.ChatRequest{
		Model: "m", MaxTokens: 5000, Stream: stream, Messages: []api.Message{{Role: "user", Content: "hi"}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	done := make(chan ended, 1)
	go func() {
		start := time.Now()
		resp, err := f.Client().Do(req)
		if err != nil {
			done <- ended{err: err, after: time.Since(start)}
			return
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		done <- ended{status: resp.StatusCode, err: err, body: b, after: time.Since(start)}
	}()
	return done
}

// TestWithdrawnKeyCutsCallsUnderWay withdraws a key while a stream and a
// whole answer of its caller and a stream of another caller run.
func TestWithdrawnKeyCutsCallsUnderWay(t *testing.T) {
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

		stream := long(g, f, e.URL(), key, true)
		whole := long(g, f, e.URL(), key, false)
		other := long(g, f, e.URL(), otherKey, true)
		time.Sleep(2 * time.Second)

		next := state()
		next.Keys["station-1"] = s.Keys["station-1"]
		next.Keys["garden-1"] = config.Key{Customer: "garden", Digest: authn.Digest(key), Withdrawn: true}
		g.Expect(f.Apply(t.Context(), next)).To(Succeed())

		cut, refused := <-stream, <-whole
		g.Expect(cut.status).To(Equal(http.StatusOK))
		g.Expect(cut.err).To(HaveOccurred(), "the stream must not look whole")
		g.Expect(string(cut.body)).To(ContainSubstring(`"code":"key_invalid"`), "the last event gives the reason")
		g.Expect(cut.after).To(BeNumerically("<=", 2*time.Second+withdrawnWithin))
		g.Expect(refused.status).To(Equal(http.StatusUnauthorized))
		g.Expect(refused.after).To(BeNumerically("<=", 2*time.Second+withdrawnWithin))
		g.Expect(string(refused.body)).To(ContainSubstring(string(api.Unknown)))
		t.Logf("stream cut after %v, whole answer refused after %v, of which 2s before the withdrawal", cut.after, refused.after)

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
