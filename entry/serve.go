package entry

import (
	"context"
	"net"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/daemon"
	"dandelionrelay/infra/client"
	"dandelionrelay/ingress"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/reload"
	"dandelionrelay/settings"
)

// handoverTimeout is the maximum time for each of two steps of a drain: handing
// over the customers' limits, which other entries take over without a handover
// after that, and storing the results of requests with an idempotency key.
const handoverTimeout = 2 * time.Second

// Listeners holds the open listeners of an entry.
type Listeners struct {
	Callers net.Listener
	Peers   net.Listener // with TLS already, if peers authenticate each other
	Ops     net.Listener
}

// Main runs an entry with the settings s, which were loaded from the file at path, until
// ctx ends, then drains it and shuts it down.
func Main(ctx context.Context, path string, s *settings.Entry, logger zerolog.Logger) error {
	hangups := reload.Hangups()
	daemon.LimitMemory(s.Machine)
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
	reloader := reload.New(s, reload.Options[settings.Entry]{
		Path: path,
		Load: settings.LoadEntry,
		Apply: func(s *settings.Entry) {
			daemon.SetLogLevel(s.LogLevel)
			remote.SetBaseURL(s.PlatformURL)
			e.ApplySettings(s)
		},
		Log:     logger,
		Metrics: reg,
	})
	go reloader.Run(ctx, hangups)
	bounds := ingress.NewProcess(daemon.Machine(s.Machine), logger, reg)
	return e.Serve(ctx, Listeners{
		Callers: bounds.Callers(listeners[0], api.WriteError, ingress.AnyHead),
		Peers:   security.Listener(bounds.Peers(listeners[1])),
		Ops:     bounds.Operators("operators", listeners[2]),
	})
}

// Serve serves on the listeners until ctx ends and then drains the entry, or
// returns without draining after Kill. It returns the error of a listener that
// failed.
func (e *Entry) Serve(ctx context.Context, l Listeners) error {
	go e.peers.Serve(l.Peers)
	callers := daemon.Serve(l.Callers, e.callerHandler)
	operators := daemon.Serve(l.Ops, e.opsHandler)
	background, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.Run(background)
	}()
	e.deps.Logger.Info().Msg("entry started")
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-e.killed:
			callers.Close()
			cancel()
		case <-background.Done():
		}
	}()
	serveErr := daemon.Wait(serveCtx, callers, operators)
	e.drain(callers)
	stop()
	_ = l.Peers.Close()
	operators.Close()
	<-done
	return serveErr
}

// Kill stops the entry without draining: connections are closed and nothing is
// handed over. It is for tests that simulate the loss of an instance.
func (e *Entry) Kill() { e.killOnce.Do(func() { close(e.killed) }) }

// drain makes the entry unready so that load balancers stop sending requests,
// refuses those whose bodies come after that, hands over the customers' limits, waits for the requests in flight, and stores
// the results of requests with an idempotency key.
func (e *Entry) drain(callers *daemon.Server) {
	if e.waitOrKilled(0) {
		return
	}
	e.deps.Logger.Info().Msg("entry draining")
	e.readiness.MarkDraining()
	if e.waitOrKilled(time.Duration(e.live.Load().DrainDelay)) {
		return
	}
	e.admission.End()
	ctx, cancel := context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	e.limits.HandOver(ctx)
	timeout := time.Duration(e.live.Load().DrainTimeout)
	if !callers.Shutdown(timeout) {
		e.deps.Logger.Warn().Msgf("entry: requests in flight did not complete within the drain timeout of %s; they are aborted", timeout)
	}
	ctx, cancel = context.WithTimeout(context.Background(), handoverTimeout)
	defer cancel()
	if err := e.idempotency.Drain(ctx); err != nil {
		e.deps.Logger.Warn().Err(err).Msgf("results of requests with an idempotency key were not stored within %s", handoverTimeout)
	}
}

// waitOrKilled waits for d or until Kill, and reports whether the entry was
// killed.
func (e *Entry) waitOrKilled(d time.Duration) bool {
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
