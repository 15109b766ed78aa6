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

const key = "garden-demo-key"

func state() *config.State {
	return &config.State{
		Customers: map[string]config.Customer{"garden": {Rate: 100, Burst: 100}},
		Keys:      map[string]config.Key{"garden-1": {Customer: "garden", Digest: authn.Digest(key)}},
		Routes: map[string]config.Route{
			"assistant": {Model: "m", Deployment: "assistant", Idempotent: true},
			"pickups":   {PathPrefix: "/pickups", Deployment: "pickups"},
		},
		Deployments: map[string]config.Deployment{
			"assistant": {Kind: config.KindModel, Model: "m", Slots: 4, CanResume: true},
			"pickups":   {Kind: config.KindPlain, Slots: 4},
		},
	}
}

func chat(g *WithT, f *fleet.Fleet, url, key, prompt string) *http.Response {
	body, err := json.Marshal(api.ChatRequest{
		Model: "m", MaxTokens: 8, Messages: []api.Message{{Role: "user", Content: prompt}},
	})
	g.Expect(err).NotTo(HaveOccurred())
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", bytes.NewReader(body))
	g.Expect(err).NotTo(HaveOccurred())
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := f.Client().Do(req)
	g.Expect(err).NotTo(HaveOccurred())
	return resp
}

func TestFleet_ServesModelAndPlainRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		f, err := fleet.New(t.Context(), fleet.Options{
			Network:     fleet.NewMemoryNetwork(),
			State:       state(),
			DataCentres: 3,
			Engine:      engine.Options{Model: "m"},
			OnViolation: func(v invariant.Violation) { t.Error(v) },
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer f.Close()
		_, _, err = f.AddEngine("assistant")
		g.Expect(err).NotTo(HaveOccurred())
		_, pickups, err := f.AddPlain("pickups")
		g.Expect(err).NotTo(HaveOccurred())
		entries := make([]*fleet.Instance, 2)
		for n := range entries {
			entries[n], err = f.AddEntry()
			g.Expect(err).NotTo(HaveOccurred())
		}
		time.Sleep(10 * time.Second)
		for _, e := range entries {
			resp := chat(g, f, e.URL(), key, "beans?")
			text, _ := io.ReadAll(resp.Body)
			resp.Body.Close()
			g.Expect(resp.StatusCode).To(Equal(http.StatusOK), string(text))
			var completion api.ChatResponse
			g.Expect(json.Unmarshal(text, &completion)).To(Succeed())
			g.Expect(completion.Choices).To(HaveLen(1))
		}
		resp := chat(g, f, entries[0].URL(), "wrong", "beans?")
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusUnauthorized))

		req, err := http.NewRequest(http.MethodPost, entries[1].URL()+"/pickups/7", bytes.NewReader([]byte("ok")))
		g.Expect(err).NotTo(HaveOccurred())
		req.Header.Set("Authorization", "Bearer "+key)
		resp, err = f.Client().Do(req)
		g.Expect(err).NotTo(HaveOccurred())
		resp.Body.Close()
		g.Expect(resp.StatusCode).To(Equal(http.StatusOK))
		_ = pickups
	})
}
