package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"dandelionrelay/settings"
	"dandelionrelay/sleep"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
	standin "dandelionrelay/standin/platform"
)

// noticed is the time until the platform's list and the balancer drop an
// instance that was killed.
const noticed = time.Second

// endpoint is a stand-in engine with its sidecar.
type endpoint struct {
	*fleet.Instance
	engine *engine.Engine
}

// world is a fleet under load whose instances come and go.
type world struct {
	fleet    *fleet.Fleet
	network  *network
	progress io.Writer

	mu        sync.Mutex
	entries   []*fleet.Instance // by the number of the settings; replaced ones in the place of the old
	balanced  []bool            // entries that the balancer sends callers to
	endpoints []endpoint
}

// urls returns the entries that the balancer sends callers to.
func (w *world) urls() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var all []string
	for n, e := range w.entries {
		if w.balanced[n] {
			all = append(all, e.URL())
		}
	}
	return all
}

func (w *world) entry(n int) *fleet.Instance {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[n]
}

func (w *world) endpoint(n int) endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.endpoints[n]
}

// target returns the instance that a fault hits.
func (w *world) target(x settings.ExperimentFault) *fleet.Instance {
	if x.Target == settings.TargetEntry {
		return w.entry(x.Number - 1)
	}
	return w.endpoint(x.Number - 1).Instance
}

// schedule lets the faults happen until ctx ends, and waits for their end.
func (w *world) schedule(ctx context.Context, faults []settings.ExperimentFault) error {
	var wg sync.WaitGroup
	failed := make(chan error, len(faults))
	for _, x := range faults {
		wg.Go(func() {
			if !sleep.For(ctx, time.Duration(x.At)) {
				return
			}
			fmt.Fprintf(w.progress, "  at %s: %s\n", time.Duration(x.At), describe(x))
			failed <- w.happen(ctx, x)
		})
	}
	wg.Wait()
	close(failed)
	for err := range failed {
		if err != nil {
			return err
		}
	}
	return nil
}

// describe words a fault.
func describe(x settings.ExperimentFault) string {
	if x.Target == "" {
		return fmt.Sprintf("%s for %s", x.Kind, time.Duration(x.For))
	}
	return fmt.Sprintf("%s %s %d for %s", x.Kind, x.Target, x.Number, time.Duration(x.For))
}

// happen lets one fault happen and pass.
func (w *world) happen(ctx context.Context, x settings.ExperimentFault) error {
	switch x.Kind {
	case settings.FaultKill:
		return w.kill(ctx, x)
	case settings.FaultPause:
		e := w.endpoint(x.Number - 1).engine
		e.SetPaused(true)
		defer e.SetPaused(false)
	case settings.FaultCut:
		i := w.target(x)
		w.network.cut(true, i.HTTPAddr, i.RPCAddr)
		defer w.network.cut(false, i.HTTPAddr, i.RPCAddr)
	case settings.FaultLogDown:
		w.fleet.Log.SetFaults(standin.Faults{Down: true})
		defer w.fleet.Log.SetFaults(standin.Faults{})
	case settings.FaultListDown:
		w.fleet.Instances.SetDown(true)
		defer w.fleet.Instances.SetDown(false)
	}
	sleep.For(ctx, time.Duration(x.For))
	return nil
}

// kill ends an instance abruptly, has it dropped from the lists a little later,
// and starts another in its place when the fault is over.
func (w *world) kill(ctx context.Context, x settings.ExperimentFault) error {
	i := w.target(x)
	i.Kill()
	dropped := min(noticed, time.Duration(x.For))
	if !sleep.For(ctx, dropped) {
		return nil
	}
	i.Unlist()
	if x.Target == settings.TargetEntry {
		w.setBalanced(x.Number-1, false)
	}
	if !sleep.For(ctx, time.Duration(x.For)-dropped) {
		return nil
	}
	if x.Target == settings.TargetEndpoint {
		return w.replaceEndpoint(x.Number - 1)
	}
	return w.replaceEntry(ctx, x.Number-1)
}

func (w *world) setBalanced(n int, on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.balanced[n] = on
}

func (w *world) replaceEndpoint(n int) error {
	i, e, err := w.fleet.AddEngine(deployment)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints[n] = endpoint{i, e}
	return nil
}

func (w *world) replaceEntry(ctx context.Context, n int) error {
	i, err := w.fleet.AddEntry()
	if err != nil {
		return err
	}
	if err := ready(ctx, i); err != nil {
		if ctx.Err() != nil {
			return nil // the load ended first
		}
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[n] = i
	w.balanced[n] = true
	return nil
}
