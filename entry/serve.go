package entry

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/daemon"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/platform/client"
	"dandelionrelay/settings"
)

// dialer makes a Dialer fit http.Transport.
func dialer(dial peer.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) { return dial(ctx, addr) }
}

// Serve runs an entry by its settings until ctx ends, then shuts it down
// without cutting a request.
func Serve(ctx context.Context, s *settings.Entry, logger zerolog.Logger) error {
	security, err := daemon.Security(s.TLS)
	if err != nil {
		return err
	}
	reg := ops.NewRegistry()
	remote := client.New(s.PlatformURL, nil)
	e := New(s, Deps{
		Log:        remote,
		Instances:  remote,
		Dial:       security.Dialer(peer.DialTCP),
		Logger:     logger,
		Registry:   reg,
		Invariants: ops.Invariants(reg, logger),
	})
	listeners, err := daemon.ListenAll(s.HTTPAddr, s.RPCAddr, s.OpsAddr)
	if err != nil {
		return err
	}
	go e.peers.Serve(security.Listener(listeners[1]))
	callers := daemon.Serve(listeners[0], e.callers)
	operators := daemon.Serve(listeners[2], e.ops)
	defer operators.Close()

	background, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(background)
	}()
	logger.Info().Str("http", s.HTTPAddr).Str("rpc", s.RPCAddr).Str("ops", s.OpsAddr).Msg("entry started")
	failed := daemon.Wait(ctx, callers, operators)
	e.shutdown(callers)
	stop()
	<-done
	return failed
}

// shutdown takes the entry out of the balancer, then ends it once the
// requests under way are answered.
func (e *Entry) shutdown(callers *daemon.Server) {
	e.deps.Logger.Info().Msg("entry is leaving")
	e.ready.Set(false)
	time.Sleep(time.Duration(e.settings.DrainDelay))
	e.handOver()
	if !callers.Shutdown(time.Duration(e.settings.DrainTimeout)) {
		e.deps.Logger.Warn().Msg("drain timeout: requests were cut")
	}
}

// handOverTimeout bounds the handover of limits; later they are taken over.
const handOverTimeout = 2 * time.Second

// handOver gives the limit partitions held here to other entries.
func (e *Entry) handOver() {
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	e.limits.Leave(ctx)
}
