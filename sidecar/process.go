package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/config"
	"dandelionrelay/daemon"
	"dandelionrelay/infra"
	"dandelionrelay/infra/client"
	"dandelionrelay/invariant"
	"dandelionrelay/jobs"
	"dandelionrelay/lane"
	"dandelionrelay/membership"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/settings"
)

// ProcessDeps is what a Process works with.
type ProcessDeps struct {
	Log        infra.Log
	Instances  infra.Instances
	Weights    infra.Weights // nil: engines get no orders
	Dial       peer.Dialer   // to peers; nil means TCP
	Endpoint   peer.Dialer   // to the endpoint; nil means TCP
	Logger     zerolog.Logger
	Registry   *prometheus.Registry
	Invariants *invariant.Set
	Policy     lane.Policy     // the zero value in production
	BatchLimit lane.BatchLimit // the zero value in production
}

// Process is a sidecar with all that it needs around it, not yet listening.
type Process struct {
	settings *settings.Sidecar
	deps     ProcessDeps
	holder   config.Holder
	viewer   *config.Viewer
	view     *membership.View
	pool     *peer.Pool
	ready    ops.Ready
	sidecar  *Sidecar
	killed   chan struct{}
	killOnce sync.Once
}

// Listeners are the open sockets of a sidecar.
type Listeners struct {
	Entries net.Listener // already secured, if peers authenticate each other
	Ops     net.Listener
}

// maxTurn bounds the number by which sidecars begin at different job owners.
const maxTurn = 1 << 16

// NewProcess composes a sidecar. Nothing runs before Serve.
func NewProcess(s *settings.Sidecar, d ProcessDeps) (*Process, error) {
	if d.Dial == nil {
		d.Dial = peer.DialTCP
	}
	if d.Endpoint == nil {
		d.Endpoint = peer.DialTCP
	}
	p := &Process{
		settings: s,
		deps:     d,
		pool:     peer.NewPool(d.Dial),
		view:     membership.NewView(d.Instances),
		killed:   make(chan struct{}),
	}
	p.pool.Count(peer.NewMetrics(d.Registry))
	p.viewer = config.NewViewer(config.Fleet{
		Self:    infra.Instance{ID: s.ID, Role: infra.RoleSidecar, DataCentre: s.DataCentre, Deployment: s.Deployment},
		Members: p.view,
		Peers:   p.pool,
	}, &p.holder, p.configChanged)
	p.viewer.RegisterMetrics(d.Registry)
	var err error
	p.sidecar, err = New(
		Settings{
			ID:         s.ID,
			Deployment: s.Deployment,
			Endpoint:   s.EndpointURL,
			Policy:     d.Policy,
			BatchLimit: d.BatchLimit,
		},
		Deps{
			Config:     &p.holder,
			Invariants: d.Invariants,
			Logger:     d.Logger,
			Metrics:    d.Registry,
			Batch:      jobs.NewClient(p.view, p.pool, rand.IntN(maxTurn)),
			Members:    p.view,
			Log:        d.Log,
			Weights:    d.Weights,
			Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return d.Endpoint(ctx, addr)
			},
		},
	)
	return p, err
}

// configChanged is called with each new view in force here.
func (p *Process) configChanged(s *config.Snapshot) {
	p.deps.Logger.Info().Uint64("version", s.Version).Str("request", s.ChangeID).Msg("configuration in force")
	p.ready.Set()
}

// Main runs a sidecar by its settings until ctx ends, then drains it.
func Main(ctx context.Context, s *settings.Sidecar, logger zerolog.Logger) error {
	security, err := daemon.Security(s.TLS)
	if err != nil {
		return err
	}
	reg := ops.NewRegistry()
	remote := client.New(s.PlatformURL, client.CountTraffic(nil, reg))
	p, err := NewProcess(s, ProcessDeps{
		Log:        remote,
		Instances:  remote,
		Weights:    remote,
		Logger:     logger,
		Dial:       security.Dialer(peer.DialTCP),
		Registry:   reg,
		Invariants: ops.Invariants(reg, logger),
	})
	if err != nil {
		return err
	}
	listeners, err := daemon.ListenAll(s.HTTPAddr, s.OpsAddr)
	if err != nil {
		return err
	}
	return p.Serve(ctx, Listeners{Entries: security.Listener(listeners[0]), Ops: listeners[1]})
}

// Serve serves on the listeners until ctx ends, then drains; or until Kill.
func (p *Process) Serve(ctx context.Context, l Listeners) error {
	entries := daemon.Serve(l.Entries, p.sidecar)
	operators := daemon.Serve(l.Ops, ops.Handler(p.deps.Registry, &p.ready))
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.viewer.Run(background) })
	wg.Go(func() { p.view.Run(background) })
	wg.Go(func() { p.sidecar.Run(background) })
	p.deps.Logger.Info().Msg("sidecar started")
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.killed:
			entries.Close()
			cancel()
		case <-background.Done():
		}
	}()
	failed := daemon.Wait(waiting, entries, operators)
	p.leave(entries)
	stop()
	operators.Close()
	wg.Wait()
	p.sidecar.Close()
	p.pool.Close()
	return failed
}

// Kill ends the sidecar abruptly. It is for tests of the loss of an instance.
func (p *Process) Kill() { p.killOnce.Do(func() { close(p.killed) }) }

// leave refuses new work, lets streams finish and stops listening.
func (p *Process) leave(entries *daemon.Server) {
	select {
	case <-p.killed:
		return
	default:
	}
	p.deps.Logger.Info().Msg("sidecar is leaving")
	p.ready.Leave()
	timeout := time.Duration(p.settings.DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.sidecar.Drain(ctx); err != nil {
		p.deps.Logger.Warn().Err(err).Msg("drain timeout: requests were cut")
	}
	entries.Shutdown(timeout)
}
