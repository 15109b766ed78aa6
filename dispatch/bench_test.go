package dispatch

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
	"dandelionrelay/pipeline"
)

// BenchmarkPick measures a pick, whose cost must not depend on the number of
// endpoints.
func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 240, 2400} {
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			loads := NewLoads()
			p := NewPicker(loads)
			detector := membership.NewDetector()
			list := instances(n)
			for _, i := range list {
				loads.Begin(i, false, time.Now())
			}
			q := &Query{
				Now: time.Now(), Slots: 8, Usable: detector.Usable,
				Subset: membership.NewSubset("e", "dc0", max(1, n/18), list),
			}
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					p.Pick(q, runtimeRand{})
				}
			})
		})
	}
}

// BenchmarkSubset measures the computation of a subset, which is repeated after each
// change of the members.
func BenchmarkSubset(b *testing.B) {
	for _, n := range []int{12, 240, 2400} {
		list := instances(n)
		b.Run(fmt.Sprintf("endpoints=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				membership.NewSubset("e", "dc0", max(1, n/18), list)
			}
		})
	}
}

// BenchmarkPrefix measures the hashing and lookup of a prompt of 8,000 bytes.
func BenchmarkPrefix(b *testing.B) {
	messages := []api.Message{{Role: "system", Content: strings.Repeat("x", 8000)}}
	a := NewAffinity()
	a.Record(PrefixHashes("c", messages), "s1")
	b.ReportAllocs()
	for b.Loop() {
		a.Lookup(PrefixHashes("c", messages))
	}
}

// BenchmarkForward compares a call over loopback through Handle with the same call
// made directly.
func BenchmarkForward(b *testing.B) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		h := w.Header()
		h.Set(api.HeaderAttemptID, r.Header.Get(api.HeaderAttemptID))
		h.Set(api.HeaderQueueWait, "0")
		h.Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, `{"id":"x"}`)
	}))
	defer server.Close()
	chat := &api.ChatRequest{Model: "m", Messages: []api.Message{{Role: "user", Content: strings.Repeat("x", 2000)}}}
	body, _ := json.Marshal(chat)
	b.Run("direct", func(b *testing.B) {
		transport := NewTransport()
		defer transport.CloseIdleConnections()
		b.ReportAllocs()
		for b.Loop() {
			r, _ := http.NewRequest(http.MethodPost, server.URL+"/v1/chat/completions", strings.NewReader(string(body)))
			resp, err := transport.RoundTrip(r)
			if err != nil {
				b.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
		}
	})
	b.Run("dispatched", func(b *testing.B) {
		d := New(Deps{Members: membership.Static{sidecarAt(server.URL, "s1")}})
		b.ReportAllocs()
		for b.Loop() {
			c := &pipeline.Call{
				W: httptest.NewRecorder(), R: httptest.NewRequest(http.MethodPost, "/v1/chat/completions", nil),
				ID: "r", Customer: "c", Body: body, Chat: chat, Deadline: time.Now().Add(time.Minute),
				Route: config.Route{Deployment: "d", Idempotent: true}, Deployment: config.Deployment{Slots: 8},
			}
			if e := d.Handle(b.Context(), c); e != nil {
				b.Fatal(e)
			}
		}
	})
}

// BenchmarkEvent measures the processing of one event of a resumable stream.
func BenchmarkEvent(b *testing.B) {
	event := []byte(`data: {"id":"x","object":"chat.completion.chunk","model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":"abc "},"finish_reason":null}]}` + "\n\n")
	b.ReportAllocs()
	var s stream
	for b.Loop() {
		s.process(event, true)
	}
}

// instances returns n endpoints over six data centres.
func instances(n int) []infra.Instance {
	var out []infra.Instance
	for i := range n {
		out = append(out, instance(fmt.Sprintf("s%04d", i), fmt.Sprint("dc", i%6)))
	}
	return out
}
