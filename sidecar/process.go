package sidecar

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/daemon"
	"dandelionrelay/infra"
	"dandelionrelay/infra/client"
	"dandelionrelay/ingress"
	"dandelionrelay/invariant"
	"dandelionrelay/jobs"
	"dandelionrelay/lane"
	"dandelionrelay/membership"
	"dandelionrelay/ops"
	"dandelionrelay/peer"
	"dandelionrelay/reload"
	"dandelionrelay/settings"
)

// ProcessDeps holds the dependencies of a Process.
type ProcessDeps struct {
	Log          infra.Log
	Instances    infra.Instances
	Weights      infra.Weights // nil: no orders are sent to the engine
	DialPeer     peer.Dialer   // to peers; nil means TCP
	DialEndpoint peer.Dialer   // to the endpoint; nil means TCP
	Logger       zerolog.Logger
	Registry     *prometheus.Registry
	Invariants   *invariant.Set
	Policy       lane.Policy     // the zero value in production
	BatchLimit   lane.BatchLimit // the zero value in production
}

// Process runs a sidecar with its configuration viewer, membership view and
// peer connections.
type Process struct {
	settings atomic.Pointer[settings.Sidecar]
	deps     ProcessDeps
	holder   config.Holder
	viewer   *config.Viewer
	view     *membership.View
	pool     *peer.Pool
	ready    ops.Readiness
	sidecar  *Sidecar
	killed   chan struct{}
	killOnce sync.Once
}

// Listeners holds the open listeners of a sidecar.
type Listeners struct {
	Entries net.Listener // with TLS, if peers authenticate each other
	Ops     net.Listener
}

// maxFirstOwner bounds the random index of the job owner from which a sidecar
// pulls first, so that sidecars do not all begin at the same one.
const maxFirstOwner = 1 << 16

// NewProcess returns a Process. It starts nothing; call Serve to run it.
func NewProcess(s *settings.Sidecar, d ProcessDeps) (*Process, error) {
	if d.DialPeer == nil {
		d.DialPeer = peer.DialTCP
	}
	if d.DialEndpoint == nil {
		d.DialEndpoint = peer.DialTCP
	}
	p := &Process{
		deps:   d,
		pool:   peer.NewPool(d.DialPeer),
		view:   membership.NewView(d.Instances),
		killed: make(chan struct{}),
	}
	p.settings.Store(s)
	p.pool.SetMetrics(peer.NewMetrics(d.Registry))
	p.viewer = config.NewViewer(config.Fleet{
		Self:    infra.Instance{ID: s.ID, Role: infra.RoleSidecar, DataCentre: s.DataCentre, Deployment: s.Deployment},
		Members: p.view,
		Peers:   p.pool,
	}, &p.holder, p.configChanged)
	p.viewer.RegisterMetrics(d.Registry)
	var err error
	p.sidecar, err = New(
		Settings{
			ID:          s.ID,
			DataCentre:  s.DataCentre,
			Deployment:  s.Deployment,
			EndpointURL: s.EndpointURL,

			EndpointVersion: s.EndpointVersion,
			Policy:          d.Policy,
			BatchLimit:      d.BatchLimit,
		},
		Deps{
			Config:     &p.holder,
			Invariants: d.Invariants,
			Logger:     d.Logger,
			Metrics:    d.Registry,
			Batch:      jobs.NewClient(p.view, p.pool, rand.IntN(maxFirstOwner)),
			Members:    p.view,
			Log:        d.Log,
			Weights:    d.Weights,
			Dial: func(ctx context.Context, _, addr string) (net.Conn, error) {
				return d.DialEndpoint(ctx, addr)
			},
		},
	)
	return p, err
}

// ApplySettings puts changed settings into force. Fields that can't change in a running
// process must have the values that NewProcess got.
func (p *Process) ApplySettings(s *settings.Sidecar) { p.settings.Store(s) }

// configChanged is called with each configuration that comes into force. The
// first one makes the sidecar ready.
func (p *Process) configChanged(s *config.Snapshot) {
	p.deps.Logger.Info().Uint64("version", s.Version).Str("request", s.ChangeID).Msg("configuration in force")
	p.ready.MarkReady()
}

// Main runs a sidecar with the settings s, which were loaded from the file at path, until
// ctx ends, and then drains it.
func Main(ctx context.Context, path string, s *settings.Sidecar, logger zerolog.Logger) error {
	hangups := reload.Hangups()
	daemon.LimitMemory(s.Machine)
	security, err := daemon.LoadSecurity(s.TLS)
	if err != nil {
		return err
	}
	reg := ops.NewRegistry()
	platformClient := client.New(s.PlatformURL, client.InstrumentTransport(nil, reg))
	p, err := NewProcess(s, ProcessDeps{
		Log:        platformClient,
		Instances:  platformClient,
		Weights:    platformClient,
		Logger:     logger,
		DialPeer:   security.Dialer(peer.DialTCP),
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
	reloader := reload.New(s, reload.Options[settings.Sidecar]{
		Path: path,
		Load: settings.LoadSidecar,
		Apply: func(s *settings.Sidecar) {
			daemon.SetLogLevel(s.LogLevel)
			platformClient.SetBaseURL(s.PlatformURL)
			p.ApplySettings(s)
		},
		Log:     logger,
		Metrics: reg,
	})
	go reloader.Run(ctx, hangups)
	bounds := ingress.NewProcess(daemon.Machine(s.Machine), logger, reg)
	return p.Serve(ctx, Listeners{
		Entries: security.Listener(bounds.Callers(listeners[0], api.WriteError, ingress.AnyHead)),
		Ops:     bounds.Operators("operators", listeners[1]),
	})
}

// Serve serves on the listeners until ctx ends, and then drains the sidecar. It
// returns without draining after Kill, and returns the error of a server that
// fails.
func (p *Process) Serve(ctx context.Context, l Listeners) error {
	entryServer := daemon.Serve(l.Entries, p.sidecar)
	opsServer := daemon.Serve(l.Ops, ops.Handler(p.deps.Registry, &p.ready))
	background, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { p.viewer.Run(background) })
	wg.Go(func() { p.view.Run(background) })
	wg.Go(func() { p.sidecar.Run(background) })
	p.deps.Logger.Info().Msg("sidecar started")
	serveCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-p.killed:
			entryServer.Close()
			cancel()
		case <-background.Done():
		}
	}()
	err := daemon.Wait(serveCtx, entryServer, opsServer)
	p.drain(entryServer)
	stop()
	opsServer.Close()
	wg.Wait()
	p.sidecar.Close()
	p.pool.Close()
	return err
}

// Kill stops the sidecar without draining. Tests use it to simulate the loss of
// an instance.
func (p *Process) Kill() { p.killOnce.Do(func() { close(p.killed) }) }

// drain refuses new work, waits up to the drain timeout for work in flight and
// unreported results, and then up to the same time again for entryServer, which
// serves entries, to shut down. It does nothing after Kill.
func (p *Process) drain(entryServer *daemon.Server) {
	select {
	case <-p.killed:
		return
	default:
	}
	p.deps.Logger.Info().Msg("sidecar draining")
	p.ready.MarkDraining()
	timeout := time.Duration(p.settings.Load().DrainTimeout)
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	if err := p.sidecar.Drain(ctx); err != nil {
		p.deps.Logger.Warn().Err(err).Msgf("sidecar drain did not complete within %s; work is in flight or results are not reported", timeout)
	}
	entryServer.Shutdown(timeout)
}
