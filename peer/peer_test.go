package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/ingress"
	"dandelionrelay/peer"
)

// Echo is an RPC service. Hang returns when hold is closed.
type Echo struct{ hold chan struct{} }

func (e *Echo) Say(in []byte, out *[]byte) error {
	*out = in
	return nil
}

func (e *Echo) Hang(in int, out *int) error {
	<-e.hold
	return nil
}

// connect returns a pool whose connections all lead to s, whatever the address.
func connect(s *peer.Server) *peer.Pool {
	return peer.NewPool(func(context.Context, string) (net.Conn, error) {
		clientConn, serverConn := net.Pipe()
		go s.ServeConn(serverConn)
		return clientConn, nil
	})
}

// TestPool_CallSizeAndTimeLimits checks that a call gets its reply, that a message
// beyond MaxMessageBytes fails without harm to later calls, and that a call ends
// at the deadline of its context.
func TestPool_CallSizeAndTimeLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		echo := &Echo{hold: make(chan struct{})}
		server := peer.NewServer()
		server.Register("Echo", echo)
		pool := connect(server)
		defer server.Close()
		defer pool.Close()
		defer close(echo.hold)

		var out []byte
		g.Expect(pool.Call(t.Context(), "a", "Echo.Say", []byte("x"), &out)).To(gomega.Succeed())
		g.Expect(out).To(gomega.Equal([]byte("x")))

		big := make([]byte, peer.MaxMessageBytes+1)
		err := pool.Call(t.Context(), "a", "Echo.Say", big, &out)
		g.Expect(errorx.IsOfType(err, peer.Unreachable)).To(gomega.BeTrue(), "%v", err)
		g.Expect(pool.Call(t.Context(), "a", "Echo.Say", []byte("y"), &out)).To(gomega.Succeed())

		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		start := time.Now()
		var n int
		err = pool.Call(ctx, "a", "Echo.Hang", 1, &n)
		g.Expect(errorx.IsOfType(err, peer.Unreachable)).To(gomega.BeTrue(), "%v", err)
		g.Expect(time.Since(start)).To(gomega.Equal(time.Second))
	})
}

// TestPool_TimeoutKeepsOtherCalls checks that the timeout of one call does not
// close the connection that others share.
func TestPool_TimeoutKeepsOtherCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		echo := &Echo{hold: make(chan struct{})}
		server := peer.NewServer()
		server.Register("Echo", echo)
		pool := connect(server)
		defer server.Close()
		defer pool.Close()

		long := make(chan error)
		go func() {
			var n int
			long <- pool.Call(t.Context(), "a", "Echo.Hang", 1, &n)
		}()
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		var n int
		err := pool.Call(ctx, "a", "Echo.Hang", 2, &n)
		g.Expect(errorx.IsOfType(err, peer.Unreachable)).To(gomega.BeTrue(), "%v", err)
		close(echo.hold)
		g.Expect(<-long).To(gomega.Succeed())
	})
}

// TestPool_CallToPeerThatDoesNotReadEndsAtWriteTimeout checks that a peer that
// accepts connections and reads nothing blocks a call for at most WriteTimeout.
func TestPool_CallToPeerThatDoesNotReadEndsAtWriteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		pool := peer.NewPool(func(context.Context, string) (net.Conn, error) {
			clientConn, _ := net.Pipe()
			return clientConn, nil
		})
		defer pool.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		var out []byte
		err := pool.Call(ctx, "a", "Echo.Say", []byte("x"), &out)
		g.Expect(errorx.IsOfType(err, peer.Unreachable)).To(gomega.BeTrue(), "%v", err)
		g.Expect(time.Since(start)).To(gomega.BeNumerically("<=", peer.WriteTimeout))
	})
}

// TestPool_ReconnectsAfterConsecutiveTimeouts checks that a connection to an
// unresponsive peer is replaced after MaxConsecutiveTimeouts.
func TestPool_ReconnectsAfterConsecutiveTimeouts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		dials := 0
		echo := &Echo{hold: make(chan struct{})}
		server := peer.NewServer()
		server.Register("Echo", echo)
		defer server.Close()
		pool := peer.NewPool(func(context.Context, string) (net.Conn, error) {
			dials++
			clientConn, serverConn := net.Pipe()
			go server.ServeConn(serverConn)
			return clientConn, nil
		})
		defer pool.Close()
		defer close(echo.hold)
		for range peer.MaxConsecutiveTimeouts + 1 {
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			var n int
			_ = pool.Call(ctx, "a", "Echo.Hang", 1, &n)
			cancel()
		}
		g.Expect(dials).To(gomega.Equal(2))
	})
}

// Guards against connections of peers whose calls add up until the listener's share of the
// memory is used up.
func TestServer_ReceivedCallsDoNotAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	server := peer.NewServer()
	server.Register("Echo", new(Echo))
	defer server.Close()
	machine := ingress.Machine{MemoryBytes: 16 << 20, Descriptors: 1000} // 1.5 MB for large calls
	go server.Serve(ingress.NewProcess(machine, zerolog.Nop(), prometheus.NewRegistry()).Peers(listener))
	pool := peer.NewPool(peer.DialTCP)
	defer pool.Close()
	for range 20 {
		var out []byte
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		g.Expect(pool.Call(ctx, listener.Addr().String(), "Echo.Say", make([]byte, 400<<10), &out)).To(gomega.Succeed())
		cancel()
		g.Expect(out).To(gomega.HaveLen(400 << 10))
	}
	var out []byte
	g.Expect(pool.Call(t.Context(), listener.Addr().String(), "Echo.Say", make([]byte, 1<<20), &out)).NotTo(gomega.Succeed())
}
