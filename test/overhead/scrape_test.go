package overhead

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/standin/fleet"
)

// scrapeCustomers is the number of customers that a fleet is expected to have
// within two years.
const scrapeCustomers = 370

// BenchmarkScrape scrapes the metrics of an entry that has served every customer,
// and of a sidecar, with and without compression.
func BenchmarkScrape(b *testing.B) {
	g := NewWithT(b)
	s := state()
	for i := range scrapeCustomers {
		id := fmt.Sprintf("customer-%03d", i)
		s.Customers[id] = config.Customer{Rate: 1e6, Burst: 1e6}
		s.Keys[id] = config.Key{Customer: id, Digest: authn.Digest(key + id)}
	}
	f, err := fleet.New(b.Context(), fleet.Options{State: s, Logger: zerolog.Nop()})
	g.Expect(err).NotTo(HaveOccurred())
	defer f.Close()
	sidecar, _, err := f.AddPlain("d")
	g.Expect(err).NotTo(HaveOccurred())
	entry, err := f.AddEntry()
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return call(f.Client(), entry.URL()+"/keyed") }, 30*time.Second).Should(Succeed())
	for i := range scrapeCustomers {
		g.Expect(callAs(f.Client(), entry.URL()+"/keyed", key+fmt.Sprintf("customer-%03d", i))).To(Succeed())
	}
	for name, i := range map[string]*fleet.Instance{"entry": entry, "sidecar": sidecar} {
		for _, encoding := range []string{"identity", "gzip"} {
			b.Run(name+"/"+encoding, func(b *testing.B) { scrape(b, "http://"+i.OpsAddr+"/metrics", encoding) })
		}
	}
}

// scrape reads url and reports the size of the response body in bytes.
func scrape(b *testing.B, url, encoding string) {
	b.ReportAllocs()
	bytes := int64(0)
	for b.Loop() {
		req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
		if err != nil {
			b.Fatal(err)
		}
		req.Header.Set("Accept-Encoding", encoding)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		bytes, err = io.Copy(io.Discard, resp.Body)
		if err != nil || resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status, err)
		}
		_ = resp.Body.Close()
	}
	b.ReportMetric(float64(bytes), "answer-bytes")
}
