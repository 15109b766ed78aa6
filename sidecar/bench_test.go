package sidecar_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/sidecar"
)

// BenchmarkForward compares a call to an endpoint that responds at once with the
// same call through a sidecar, over loopback. Compare results of the same run
// only.
func BenchmarkForward(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, `{"ok":true}`)
	}))
	defer endpoint.Close()
	holder := &config.Holder{}
	holder.Set(config.NewSnapshot(1, &config.State{
		Deployments: map[string]config.Deployment{deployment: modelDeployment(64)},
	}))
	s, err := sidecar.New(
		sidecar.Settings{ID: "s1", Deployment: deployment, EndpointURL: endpoint.URL},
		sidecar.Deps{Config: holder},
	)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	server := httptest.NewServer(s)
	defer server.Close()
	for _, prompt := range []int{100, 10_000} {
		body, _ := json.Marshal(chat(strings.Repeat("x", prompt), 10))
		b.Run(fmt.Sprintf("direct/prompt=%d", prompt), func(b *testing.B) { benchmarkCalls(b, endpoint.URL, body) })
		b.Run(fmt.Sprintf("sidecar/prompt=%d", prompt), func(b *testing.B) { benchmarkCalls(b, server.URL, body) })
	}
}

func benchmarkCalls(b *testing.B, base string, body []byte) {
	b.ReportAllocs()
	run := uuid.NewString() // unique IDs for each run of -count
	n := 0
	for b.Loop() {
		n++
		req, _ := http.NewRequestWithContext(b.Context(), http.MethodPost, base+"/v1/chat/completions", bytes.NewReader(body))
		req.Header.Set(api.HeaderAttemptID, fmt.Sprintf("%s/%d", run, n))
		req.Header.Set(api.HeaderCustomer, "c")
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
	}
}
