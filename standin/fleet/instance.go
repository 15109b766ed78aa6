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
	drain context.CancelFunc
	kill  func()
	done  chan struct{}
}

// URL returns the base URL at which callers reach an entry, or entries a sidecar.
func (i *Instance) URL() string { return "http://" + i.HTTPAddr }

// Stop shuts the instance down gracefully and waits until it has ended. The platform
// lists it as leaving meanwhile and then removes it from the list.
func (i *Instance) Stop() {
	i.fleet.SetState(i.ID, infra.Leaving, false)
	i.drain()
	<-i.done
	i.fleet.SetState(i.ID, infra.Leaving, true)
}

// Kill ends the instance without draining it. The platform lists it until Unlist.
func (i *Instance) Kill() {
	i.kill()
	<-i.done
}

// Unlist removes the instance from the platform's list.
func (i *Instance) Unlist() { i.fleet.SetState(i.ID, infra.Leaving, true) }

// process is the running process of an entry or a sidecar.
type process struct {
	serve func(ctx context.Context) error
	kill  func()
}

// start runs p as the instance i and adds it to the platform's list.
func (f *Fleet) start(i infra.Instance, opsAddr string, invariants *invariant.Set, p process) *Instance {
	ctx, cancel := context.WithCancel(context.Background())
	instance := &Instance{
		Instance:   i,
		OpsAddr:    opsAddr,
		Invariants: invariants,
		fleet:      f,
		drain:      cancel,
		kill:       p.kill,
		done:       make(chan struct{}),
	}
	f.processes.Go(func() {
		defer close(instance.done)
		if err := p.serve(ctx); err != nil {
			f.opts.Logger.Error().Err(err).Str("id", i.ID).Msg("instance failed")
		}
	})
	f.onClose(func() {
		p.kill()
		cancel()
		<-instance.done
	})
	f.addToList(i)
	return instance
}

// AddEntry starts an entry.
func (f *Fleet) AddEntry() (*Instance, error) {
	listeners, err := f.listen(3)
	if err != nil {
		return nil, err
	}
	i := f.newInstance(infra.RoleEntry, "", listeners[0], listeners[1])
	reg := ops.NewRegistry()
	logger := f.opts.Logger.With().Str("id", i.ID).Logger()
	invariants := ops.Invariants(reg, logger, f.opts.OnViolation)
	s := &settings.Entry{
		Process:      f.process(i),
		MaxBodyBytes: settings.DefaultMaxBodyBytes,
		Operators:    f.opts.Operators,
		Regions:      f.opts.Regions,
		LogRetention: config.Duration(f.opts.Retention),
		DrainDelay:   config.Duration(f.opts.DrainDelay),
		DrainTimeout: config.Duration(f.opts.DrainTimeout),
	}
	e := entry.New(s, entry.Deps{
		Log: f.logFor(i), Instances: f.instancesFor(i), Dial: f.dialerFor(i),
		Logger: logger, Registry: reg, Invariants: invariants,
	})
	open := entry.Listeners{Callers: listeners[0], Peers: listeners[1], Ops: listeners[2]}
	return f.start(i, listeners[2].Addr().String(), invariants, process{
		serve: func(ctx context.Context) error { return e.Serve(ctx, open) },
		kill:  e.Kill,
	}), nil
}

// process returns the settings that are common to entries and sidecars.
func (f *Fleet) process(i infra.Instance) settings.Process {
	return settings.Process{ID: i.ID, DataCentre: i.DataCentre, HTTPAddr: i.HTTPAddr, RPCAddr: i.RPCAddr}
}

// AddSidecar starts a sidecar for the endpoint with the address endpoint.
func (f *Fleet) AddSidecar(deployment, endpoint string) (*Instance, error) {
	listeners, err := f.listen(3)
	if err != nil {
		return nil, err
	}
	i := f.newInstance(infra.RoleSidecar, deployment, listeners[0], listeners[1])
	reg := ops.NewRegistry()
	logger := f.opts.Logger.With().Str("id", i.ID).Logger()
	invariants := ops.Invariants(reg, logger, f.opts.OnViolation)
	s := &settings.Sidecar{
		Process:      f.process(i),
		Deployment:   deployment,
		EndpointURL:  "http://" + endpoint,
		DrainTimeout: config.Duration(f.opts.DrainTimeout),
	}
	p, err := sidecar.NewProcess(s, sidecar.ProcessDeps{
		Log: f.logFor(i), Instances: f.instancesFor(i), DialPeer: f.dialerFor(i), DialEndpoint: f.opts.Network.Dial,
		Logger: logger, Registry: reg, Invariants: invariants,
		Policy: f.opts.Policy, BatchLimit: f.opts.BatchLimit,
	})
	if err != nil {
		return nil, err
	}
	open := sidecar.Listeners{Entries: listeners[0], Ops: listeners[2]}
	return f.start(i, listeners[2].Addr().String(), invariants, process{
		serve: func(ctx context.Context) error { return p.Serve(ctx, open) },
		kill:  p.Kill,
	}), nil
}

// AddEngine starts a stand-in engine and a sidecar of deployment for it.
func (f *Fleet) AddEngine(deployment string) (*Instance, *engine.Engine, error) {
	e := engine.New(f.opts.Engine)
	i, err := f.addEndpoint(deployment, e, e.Close)
	return i, e, err
}

// AddPlain starts a stand-in plain service and a sidecar of deployment for it.
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
	f.onClose(func() {
		stop()
		server.Close()
	})
	return f.AddSidecar(deployment, listeners[0].Addr().String())
}
