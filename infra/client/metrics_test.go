package client_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/testutil/promlint"

	"dandelionrelay/infra/client"
	"dandelionrelay/standin/network"
	standin "dandelionrelay/standin/platform"
)

// TestInstrumentTransport_CountsBytesOfConnections compares the counters with the
// bytes that passed through the connections.
func TestInstrumentTransport_CountsBytesOfConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(standin.NewServer(standin.NewLog(0, 1), standin.NewInstances(0), 60))
	defer server.Close()
	var read, written atomic.Int64
	transport := &http.Transport{DialContext: func(ctx context.Context, protocol, addr string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, protocol, addr)
		return network.CountBytes(conn, &read, &written), err
	}}
	defer transport.CloseIdleConnections()
	reg := prometheus.NewRegistry()
	c := client.New(server.URL, client.InstrumentTransport(transport, reg))
	for range 3 {
		_, err := c.Append(t.Context(), "jobs/07", "id", make([]byte, 500))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.Read(t.Context(), "jobs/07", 1, 1, 0)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = c.List(t.Context())
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	families, err := reg.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	problems, err := promlint.NewWithMetricFamilies(families).Lint()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(problems).To(gomega.BeEmpty())
	total, labelPairs := make(map[string]float64), make(map[string]bool)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			total[f.GetName()] += m.GetCounter().GetValue()
			labelPairs[m.GetLabel()[0].GetValue()+" "+m.GetLabel()[1].GetValue()] = true
		}
	}
	g.Expect(labelPairs).To(gomega.Equal(map[string]bool{"append jobs": true, "read jobs": true, "list ": true}))
	g.Expect(total["relay_platform_sent_bytes_total"]).To(gomega.BeEquivalentTo(written.Load()))
	g.Expect(total["relay_platform_received_bytes_total"]).To(gomega.BeEquivalentTo(read.Load()))
}
