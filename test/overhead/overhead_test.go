// Package overhead measures the time and allocations that an entry and a
// sidecar add to a call, on loopback:
// go test ./test/overhead -run - -bench . -benchmem
package overhead

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/standin/fleet"
	"dandelionrelay/standin/plain"
)

const key = "overhead-key-0123456789"

// maxLatencyMicros is the maximum latency that the histogram can record, in
// microseconds.
const maxLatencyMicros = int64(time.Minute / time.Microsecond)

// state returns a configuration with one customer, a route that needs a key and
// counts against the customer's rate, and an open route.
func state() *config.State {
	return &config.State{
		Customers: map[string]config.Customer{"c": {Rate: 1e6, Burst: 1e6}},
		Keys:      map[string]config.Key{"k": {Customer: "c", Digest: authn.Digest(key)}},
		Routes: map[string]config.Route{
			"keyed": {PathPrefix: "/keyed", Deployment: "d"},
			"open":  {PathPrefix: "/open", Deployment: "d", Open: true},
		},
		Deployments: map[string]config.Deployment{"d": {Kind: config.KindPlain, Slots: 1000}},
	}
}

// BenchmarkCall compares a direct call to a plain service with calls through
// an entry and a sidecar, one at a time.
func BenchmarkCall(b *testing.B) {
	g := NewWithT(b)
	f, err := fleet.New(b.Context(), fleet.Options{State: state(), Logger: zerolog.Nop()})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	_, _, err = f.AddPlain("d")
	g.Expect(err).NotTo(HaveOccurred())
	entry, err := f.AddEntry()
	g.Expect(err).NotTo(HaveOccurred())
	direct := httptest.NewServer(plain.New())
	defer direct.Close()
	g.Eventually(func() error { return call(f.Client(), entry.URL()+"/keyed") }, 30*time.Second).Should(Succeed())

	b.Run("direct", func(b *testing.B) { measure(b, f.Client(), direct.URL+"/open") })
	b.Run("open route", func(b *testing.B) { measure(b, f.Client(), entry.URL()+"/open") })
	b.Run("keyed and limited", func(b *testing.B) { measure(b, f.Client(), entry.URL()+"/keyed") })
}

// measure reports the median and the 99th percentile of the latency of calls to
// url, one at a time.
func measure(b *testing.B, client *http.Client, url string) {
	latencies := hdrhistogram.New(1, maxLatencyMicros, 3)
	b.ReportAllocs()
	for b.Loop() {
		start := time.Now()
		if err := call(client, url); err != nil {
			b.Fatal(err)
		}
		_ = latencies.RecordValue(time.Since(start).Microseconds())
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50)), "p50-µs")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99)), "p99-µs")
}

func call(client *http.Client, url string) error { return callAs(client, url, key) }

func callAs(client *http.Client, url, key string) error {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("confirm"))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	return nil
}
