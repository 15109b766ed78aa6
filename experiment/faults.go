package experiment

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/settings"
	"dandelionrelay/sleep"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
	standin "dandelionrelay/standin/platform"
)

// detectionDelay is the time until a killed instance is removed from the platform's
// list and the load balancer.
const detectionDelay = time.Second

// endpoint is a stand-in engine and its sidecar.
type endpoint struct {
	*fleet.Instance
	engine *engine.Engine
}

// testbed is a fleet under load into which faults are injected.
type testbed struct {
	fleet    *fleet.Fleet
	network  *network
	progress io.Writer

	mu         sync.Mutex
	entries    []*fleet.Instance // by the number in the settings, less 1; a replacement takes the index of the killed one
	inRotation []bool            // whether the load balancer uses the entry, by the index in entries
	endpoints  []endpoint        // as entries
}

// newTestbed returns a testbed without instances. Faults that start at the same time
// write to progress one after the other.
func newTestbed(progress io.Writer) *testbed {
	return &testbed{network: newNetwork(), progress: zerolog.SyncWriter(progress)}
}

// urls returns the base URLs of the entries that the load balancer uses.
func (tb *testbed) urls() []string {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	var all []string
	for n, e := range tb.entries {
		if tb.inRotation[n] {
			all = append(all, e.URL())
		}
	}
	return all
}

func (tb *testbed) entry(n int) *fleet.Instance {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.entries[n]
}

func (tb *testbed) endpoint(n int) endpoint {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.endpoints[n]
}

// target returns the instance that a fault is injected into.
func (tb *testbed) target(fault settings.ExperimentFault) *fleet.Instance {
	if fault.Target == settings.TargetEntry {
		return tb.entry(fault.Number - 1)
	}
	return tb.endpoint(fault.Number - 1).Instance
}

// runFaults injects the faults at their times until ctx ends and waits until all of
// them are over. It returns the first error.
func (tb *testbed) runFaults(ctx context.Context, faults []settings.ExperimentFault) error {
	var wg sync.WaitGroup
	errs := make(chan error, len(faults))
	for _, fault := range faults {
		wg.Go(func() {
			if !sleep.For(ctx, time.Duration(fault.At)) {
				return
			}
			fmt.Fprintf(tb.progress, "  at %s: %s\n", time.Duration(fault.At), describeFault(fault))
			errs <- tb.inject(ctx, fault)
		})
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// describeFault returns the description of a fault for the progress output.
func describeFault(fault settings.ExperimentFault) string {
	if fault.Target == "" {
		return fmt.Sprintf("%s for %s", fault.Kind, time.Duration(fault.For))
	}
	return fmt.Sprintf("%s %s %d for %s", fault.Kind, fault.Target, fault.Number, time.Duration(fault.For))
}

// inject injects one fault and ends it after its duration or when ctx ends.
func (tb *testbed) inject(ctx context.Context, fault settings.ExperimentFault) error {
	switch fault.Kind {
	case settings.FaultKill:
		return tb.kill(ctx, fault)
	case settings.FaultPause:
		e := tb.endpoint(fault.Number - 1).engine
		e.SetPaused(true)
		defer e.SetPaused(false)
	case settings.FaultCold:
		e := tb.endpoint(fault.Number - 1).engine
		e.Crash()
		defer e.Restart()
	case settings.FaultCut:
		i := tb.target(fault)
		tb.network.setUnreachable(true, i.HTTPAddr, i.RPCAddr)
		defer tb.network.setUnreachable(false, i.HTTPAddr, i.RPCAddr)
	case settings.FaultLogDown:
		tb.fleet.Log.SetFaults(standin.Faults{Down: true})
		defer tb.fleet.Log.SetFaults(standin.Faults{})
	case settings.FaultListDown:
		tb.fleet.Instances.SetDown(true)
		defer tb.fleet.Instances.SetDown(false)
	}
	sleep.For(ctx, time.Duration(fault.For))
	return nil
}

// kill kills an instance, removes it from the platform's list and the load balancer
// after detectionDelay, and starts a replacement when the fault is over.
func (tb *testbed) kill(ctx context.Context, fault settings.ExperimentFault) error {
	i := tb.target(fault)
	i.Kill()
	delay := min(detectionDelay, time.Duration(fault.For))
	if !sleep.For(ctx, delay) {
		return nil
	}
	i.Unlist()
	if fault.Target == settings.TargetEntry {
		tb.setInRotation(fault.Number-1, false)
	}
	if !sleep.For(ctx, time.Duration(fault.For)-delay) {
		return nil
	}
	if fault.Target == settings.TargetEndpoint {
		return tb.replaceEndpoint(fault.Number - 1)
	}
	return tb.replaceEntry(ctx, fault.Number-1)
}

// coldPeak returns the most requests that arrived at one of the engines within a second
// while it was cold.
func (tb *testbed) coldPeak() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	peak := 0
	for _, e := range tb.endpoints {
		peak = max(peak, e.engine.Stats().ColdPeak)
	}
	return peak
}

func (tb *testbed) setInRotation(n int, on bool) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.inRotation[n] = on
}

func (tb *testbed) replaceEndpoint(n int) error {
	i, e, err := tb.fleet.AddEngine(deployment)
	if err != nil {
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.endpoints[n] = endpoint{i, e}
	return nil
}

func (tb *testbed) replaceEntry(ctx context.Context, n int) error {
	i, err := tb.fleet.AddEntry()
	if err != nil {
		return err
	}
	if err := awaitReady(ctx, i); err != nil {
		if ctx.Err() != nil {
			return nil // the load ended before the entry was ready
		}
		return err
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.entries[n] = i
	tb.inRotation[n] = true
	return nil
}
