package entry

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/daemon"
	"dandelionrelay/infra/client"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/settings"
)

// handOverTimeout bounds the handover of limits; later they are taken over.
const handOverTimeout = 2 * time.Second

// Listeners are the open sockets of an entry.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener // already secured, if peers authenticate each other
	Ops     net.Listener
}

// Main runs an entry by its settings until ctx ends, then shuts it down
// without cutting a request.
func Main(ctx context.Context, s *settings.Entry, logger zerolog.Logger) error {
	security, err := daemon.LoadSecurity(s.TLS)
	if err != nil {
		return err
	}
	listeners, err := daemon.ListenAll(s.HTTPAddr, s.RPCAddr, s.OpsAddr)
	if err != nil {
		return err
	}
	reg := ops.NewRegistry()
	remote := client.New(s.PlatformURL, client.InstrumentTransport(nil, reg))
	e := New(s, Deps{
		Log:        remote,
		Instances:  remote,
		Dial:       security.Dialer(peer.DialTCP),
		Logger:     logger,
		Registry:   reg,
		Invariants: ops.Invariants(reg, logger),
	})
	return e.Serve(ctx, Listeners{
		Callers: listeners[0],
		Peers:   security.Listener(listeners[1]),
		Ops:     listeners[2],
	})
}

// Serve serves on the listeners until ctx ends, then leaves gracefully; or
// until Kill.
func (e *Entry) Serve(ctx context.Context, l Listeners) error {
	go e.peers.Serve(l.Peers)
	callers := daemon.Serve(l.Callers, e.callers)
	operators := daemon.Serve(l.Ops, e.ops)
	background, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(background)
	}()
	e.deps.Logger.Info().Msg("entry started")
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.killed:
			callers.Close()
			cancel()
		case <-background.Done():
		}
	}()
	failed := daemon.Wait(waiting, callers, operators)
	e.leave(callers)
	stop()
	_ = l.Peers.Close()
	operators.Close()
	<-done
	return failed
}

// Kill ends the entry abruptly: connections are cut, nothing is handed over.
// It is for tests of the loss of an instance.
func (e *Entry) Kill() { e.killOnce.Do(func() { close(e.killed) }) }

// leave takes the entry out of the balancer, hands over what it holds, and
// waits for the requests under way.
func (e *Entry) leave(callers *daemon.Server) {
	if e.wait(0) {
		return
	}
	e.deps.Logger.Info().Msg("entry is leaving")
	e.ready.MarkDraining()
	if e.wait(time.Duration(e.settings.DrainDelay)) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	e.limits.Leave(ctx)
	whole := callers.Shutdown(time.Duration(e.settings.DrainTimeout))
	if !whole {
		e.deps.Logger.Warn().Msg("drain timeout: requests were cut")
	}
	ctx, cancel = context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	if err := e.calls.Drain(ctx); err != nil {
		e.deps.Logger.Warn().Msg("answers to calls with an idempotency key were not stored")
	}
}

// wait lets d pass and reports whether the entry was killed by then.
func (e *Entry) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-e.killed:
		return true
	default:
	}
	select {
	case <-e.killed:
		return true
	case <-timer.C:
		return false
	}
}
