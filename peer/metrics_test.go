package peer_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"

	"dandelionrelay/peer"
	"dandelionrelay/standin/network"
)

// series returns the value of each series of reg by metric and method.
func series(g *gomega.WithT, reg *prometheus.Registry) map[string]float64 {
	families, err := reg.Gather()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	out := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			out[f.GetName()+" "+m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
		}
	}
	return out
}

// TestAllBytesAreCounted compares both ends with what passed between them. A
// method that the server does not have adds no series there.
func TestAllBytesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		atServer, atCaller := prometheus.NewRegistry(), prometheus.NewRegistry()
		server := peer.NewServer()
		server.Register("Echo", &Echo{})
		server.SetMetrics(peer.NewMetrics(atServer))
		defer server.Close()
		var read, written atomic.Int64
		pool := peer.NewPool(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go server.ServeConn(far)
			return network.CountBytes(near, &read, &written), nil
		})
		pool.SetMetrics(peer.NewMetrics(atCaller))
		defer pool.Close()
		var out []byte
		for range 10 {
			g.Expect(pool.Call(t.Context(), "a", "Echo.Say", make([]byte, 1000), &out)).To(gomega.Succeed())
		}
		g.Expect(pool.Call(t.Context(), "a", "Echo.Nothing", []byte("x"), &out)).NotTo(gomega.Succeed())
		synctest.Wait()
		near, far := series(g, atCaller), series(g, atServer)
		const sent, received = "relay_peer_sent_bytes_total ", "relay_peer_received_bytes_total "
		g.Expect(near[sent+"Echo.Say"] + near[sent+"Echo.Nothing"]).To(gomega.BeEquivalentTo(written.Load()))
		g.Expect(near[received+"Echo.Say"] + near[received+"Echo.Nothing"]).To(gomega.BeEquivalentTo(read.Load()))
		g.Expect(far[received+"Echo.Say"]).To(gomega.Equal(near[sent+"Echo.Say"]))
		g.Expect(far[sent+"Echo.Say"]).To(gomega.Equal(near[received+"Echo.Say"]))
		g.Expect(far).NotTo(gomega.HaveKey(received + "Echo.Nothing"))
		g.Expect(far[received+"unknown"]).To(gomega.Equal(near[sent+"Echo.Nothing"]))
	})
}
