package fleet

import (
	"context"
	"net/http"

	"dandelionrelay/config"
	"dandelionrelay/daemon"
	"dandelionrelay/entry"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
	"dandelionrelay/ops"
	"dandelionrelay/settings"
	"dandelionrelay/sidecar"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/plain"
)

// Instance is one running entry or sidecar.
type Instance struct {
	infra.Instance
	OpsAddr    string
	Invariants *invariant.Set

	fleet *Fleet
	leave context.CancelFunc
	kill  func()
	done  chan struct{}
}

// URL returns the base URL of the instance for callers or entries.
func (i *Instance) URL() string { return "http://" + i.HTTPAddr }

// Stop has the instance leave gracefully and waits until it has ended. The
// platform lists it as leaving meanwhile, and then no more.
func (i *Instance) Stop() {
	i.fleet.SetState(i.ID, infra.Leaving, false)
	i.leave()
	<-i.done
	i.fleet.SetState(i.ID, infra.Leaving, true)
}

// Kill ends the instance abruptly. The platform lists it until Unlist.
func (i *Instance) Kill() {
	i.kill()
	<-i.done
}

// Unlist drops the instance from the platform's list.
func (i *Instance) Unlist() { i.fleet.SetState(i.ID, infra.Leaving, true) }

// process is what the roles have in common here.
type process struct {
	serve func(ctx context.Context) error
	kill  func()
}

// start runs p as an instance.
func (f *Fleet) start(i infra.Instance, opsAddr string, checks *invariant.Set, p process) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	instance := &Instance{
		Instance:   i,
		OpsAddr:    opsAddr,
		Invariants: checks,
		fleet:      f,
		leave:      cancel,
		kill:       p.kill,
		done:       make(chan struct{}),
	}
	f.all.Go(func() {
		defer close(instance.done)
		if err := p.serve(ctx); err != nil {
			f.opts.Logger.Error().Err(err).Str("id", i.ID).Msg("instance failed")
		}
	})
	f.onStop(func() {
		p.kill()
		cancel()
		<-instance.done
	})
	f.list(i)
	return instance
}

// AddEntry starts one more entry.
func (f *Fleet) AddEntry() (*Instance, error) {
	listeners, err := f.listen(3)
	if err != nil {
		return nil, err
	}
	i := f.newInstance(infra.RoleEntry, "", listeners[0], listeners[1])
	reg := ops.NewRegistry()
	logger := f.opts.Logger.With().Str("id", i.ID).Logger()
	checks := ops.Invariants(reg, logger, f.opts.OnViolation)
	s := &settings.Entry{
		Process:      f.process(i),
		MaxBodyBytes: settings.DefaultMaxBodyBytes,
		Operators:    f.opts.Operators,
		LogRetention: config.Duration(f.opts.Retention),
		DrainDelay:   config.Duration(f.opts.DrainDelay),
		DrainTimeout: config.Duration(f.opts.DrainTimeout),
	}
	e := entry.New(s, entry.Deps{
		Log: f.logOf(i), Instances: f.listOf(i), Dial: f.dialerOf(i),
		Logger: logger, Registry: reg, Invariants: checks,
	})
	open := entry.Listeners{Callers: listeners[0], Peers: listeners[1], Ops: listeners[2]}
	return f.start(i, listeners[2].Addr().String(), checks, process{
		serve: func(ctx context.Context) error { return e.Serve(ctx, open) },
		kill:  e.Kill,
	}), nil
}

// process returns the settings that both roles share.
func (f *Fleet) process(i infra.Instance) settings.Process {
	return settings.Process{ID: i.ID, DataCentre: i.DataCentre, HTTPAddr: i.HTTPAddr, RPCAddr: i.RPCAddr}
}

// AddSidecar starts a sidecar beside the endpoint at address endpoint.
func (f *Fleet) AddSidecar(deployment, endpoint string) (*Instance, error) {
	listeners, err := f.listen(3)
	if err != nil {
		return nil, err
	}
	i := f.newInstance(infra.RoleSidecar, deployment, listeners[0], listeners[1])
	reg := ops.NewRegistry()
	logger := f.opts.Logger.With().Str("id", i.ID).Logger()
	checks := ops.Invariants(reg, logger, f.opts.OnViolation)
	s := &settings.Sidecar{
		Process:      f.process(i),
		Deployment:   deployment,
		EndpointURL:  "http://" + endpoint,
		DrainTimeout: config.Duration(f.opts.DrainTimeout),
	}
	p, err := sidecar.NewProcess(s, sidecar.ProcessDeps{
		Log: f.logOf(i), Instances: f.listOf(i), DialPeer: f.dialerOf(i), DialEndpoint: f.opts.Network.Dial,
		Logger: logger, Registry: reg, Invariants: checks,
		Policy: f.opts.Policy, BatchLimit: f.opts.BatchLimit,
	})
	if err != nil {
		return nil, err
	}
	open := sidecar.Listeners{Entries: listeners[0], Ops: listeners[2]}
	return f.start(i, listeners[2].Addr().String(), checks, process{
		serve: func(ctx context.Context) error { return p.Serve(ctx, open) },
		kill:  p.Kill,
	}), nil
}

// AddEngine starts a stand-in engine with a sidecar of deployment beside it.
func (f *Fleet) AddEngine(deployment string) (*Instance, *engine.Engine, error) {
	e := engine.New(f.opts.Engine)
	i, err := f.addEndpoint(deployment, e, e.Close)
	return i, e, err
}

// AddPlain starts a stand-in plain service with a sidecar of deployment
// beside it.
func (f *Fleet) AddPlain(deployment string) (*Instance, *plain.Service, error) {
	s := plain.New()
	i, err := f.addEndpoint(deployment, s, func() {})
	return i, s, err
}

func (f *Fleet) addEndpoint(deployment string, handler http.Handler, stop func()) (*Instance, error) {
	listeners, err := f.listen(1)
	if err != nil {
		return nil, err
	}
	server := daemon.Serve(listeners[0], handler)
	f.onStop(func() {
		stop()
		server.Close()
	})
	return f.AddSidecar(deployment, listeners[0].Addr().String())
}
