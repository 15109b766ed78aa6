package peer_test

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/peer"
)

// BenchmarkCall measures one call with 40 bytes over TCP on loopback, client and
// server together: go test ./peer -run - -bench . -benchmem
func BenchmarkCall(b *testing.B) {
	g := gomega.NewWithT(b)
	server := peer.NewServer()
	server.Register("Echo", &Echo{})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer server.Close()
	defer listener.Close()
	go server.Serve(listener)
	pool := peer.NewPool(nil)
	defer pool.Close()
	message := make([]byte, 40)
	var out []byte
	b.ReportAllocs()
	for b.Loop() {
		if err := pool.Call(context.Background(), listener.Addr().String(), "Echo.Say", message, &out); err != nil {
			b.Fatal(err)
		}
	}
}
