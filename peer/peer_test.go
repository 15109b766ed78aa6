package peer_test

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"

	"dandelionrelay/peer"
)

type Echo struct{ hold chan struct{} }

func (e *Echo) Say(in []byte, out *[]byte) error {
	*out = in
	return nil
}

func (e *Echo) Hang(in int, out *int) error {
	<-e.hold
	return nil
}

// connect returns a pool whose connections all lead to s.
func connect(s *peer.Server) *peer.Pool {
	return peer.NewPool(func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go s.ServeConn(far)
		return near, nil
	})
}

func TestCallsAreAnsweredAndBounded(t *testing.T) {
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
