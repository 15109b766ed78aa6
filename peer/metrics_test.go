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

// TestMetrics_CountAllBytesOfBothSides compares the counters of the caller and of
// the server with the bytes on the connection between them. A method that the
// server does not have adds no series there.
func TestMetrics_CountAllBytesOfBothSides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		atServer, atCaller := prometheus.NewRegistry(), prometheus.NewRegistry()
		server := peer.NewServer()
		server.Register("Echo", &Echo{})
		server.SetMetrics(peer.NewMetrics(atServer))
		defer server.Close()
		var read, written atomic.Int64
		pool := peer.NewPool(func(context.Context, string) (net.Conn, error) {
			clientConn, serverConn := net.Pipe()
			go server.ServeConn(serverConn)
			return network.CountBytes(clientConn, &read, &written), nil
		})
		pool.SetMetrics(peer.NewMetrics(atCaller))
		defer pool.Close()
		var out []byte
		for range 10 {
			g.Expect(pool.Call(t.Context(), "a", "Echo.Say", make([]byte, 1000), &out)).To(gomega.Succeed())
		}
		g.Expect(pool.Call(t.Context(), "a", "Echo.Nothing", []byte("x"), &out)).NotTo(gomega.Succeed())
		synctest.Wait()
		callerBytes, serverBytes := series(g, atCaller), series(g, atServer)
		const sent, received = "relay_peer_sent_bytes_total ", "relay_peer_received_bytes_total "
		g.Expect(callerBytes[sent+"Echo.Say"] + callerBytes[sent+"Echo.Nothing"]).To(gomega.BeEquivalentTo(written.Load()))
		g.Expect(callerBytes[received+"Echo.Say"] + callerBytes[received+"Echo.Nothing"]).To(gomega.BeEquivalentTo(read.Load()))
		g.Expect(serverBytes[received+"Echo.Say"]).To(gomega.Equal(callerBytes[sent+"Echo.Say"]))
		g.Expect(serverBytes[sent+"Echo.Say"]).To(gomega.Equal(callerBytes[received+"Echo.Say"]))
		g.Expect(serverBytes).NotTo(gomega.HaveKey(received + "Echo.Nothing"))
		g.Expect(serverBytes[received+"unknown"]).To(gomega.Equal(callerBytes[sent+"Echo.Nothing"]))
	})
}
