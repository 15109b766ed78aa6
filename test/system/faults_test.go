package system

import (
	"time"

	standin "dandelionrelay/standin/platform"
)

// fault is one kind of failure. run injects it until the load ends, and then
// restores the system.
type fault struct {
	name string
	run  func(sim *simulation)
	// graceful faults must not cause an incomplete response or an unknown outcome.
	graceful bool
}

var faults = []fault{
	{name: "entry killed", run: killEntries},
	{name: "entry stops", run: stopEntries, graceful: true},
	{name: "sidecar killed", run: killSidecars},
	{name: "sidecar stops", run: stopSidecars, graceful: true},
	{name: "engine crashes", run: crashEngines},
	{name: "connections closed", run: closeConnections},
	{name: "log down", run: logDown, graceful: true},
	{name: "log slow", run: logSlow, graceful: true},
	{name: "append responses lost", run: loseAppendResponses, graceful: true},
	{name: "instance list down", run: listDown, graceful: true},
	{name: "concurrent operators", run: applyConcurrently, graceful: true},
	{name: "crashing requests", run: sendCrashingRequests},
	{name: "rack lost", run: loseRack},
	{name: "data centre lost", run: loseDataCentre},
	{name: "data centre isolated", run: isolateDataCentre},
	{name: "data centres partitioned", run: partitionDataCentres},
}

// repeat calls f until the load ends, with a pause of interval before each call.
func (sim *simulation) repeat(interval time.Duration, f func()) {
	for time.Since(sim.start)+interval < faultDuration {
		time.Sleep(interval)
		f()
	}
}

func killEntries(sim *simulation) {
	sim.repeat(9*time.Second, func() {
		e := sim.removeEntry()
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Unlist()
		sim.addEntry()
		time.Sleep(3 * time.Second)
	})
}

func stopEntries(sim *simulation) {
	sim.repeat(8*time.Second, func() {
		sim.addEntry()
		time.Sleep(3 * time.Second)
		sim.removeEntry().Stop()
	})
}

func killSidecars(sim *simulation) {
	sim.repeat(7*time.Second, func() {
		e := sim.removeEndpoint()
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Unlist()
		sim.addEndpoint()
	})
}

func stopSidecars(sim *simulation) {
	sim.repeat(7*time.Second, func() {
		sim.addEndpoint()
		time.Sleep(2 * time.Second)
		sim.removeEndpoint().Stop()
	})
}

func crashEngines(sim *simulation) {
	sim.repeat(6*time.Second, func() {
		e := sim.randomEndpoint().engine
		e.Crash()
		time.Sleep(2 * time.Second)
		e.Restart()
	})
}

// closeConnections closes the connections of a random entry or endpoint.
func closeConnections(sim *simulation) {
	sim.repeat(2*time.Second, func() {
		if sim.intn(2) == 0 {
			sim.network.CloseConnections(sim.randomEntry().RPCAddr)
			return
		}
		sim.network.CloseConnections(sim.randomEndpoint().HTTPAddr)
	})
}

func logDown(sim *simulation) {
	sim.repeat(10*time.Second, func() {
		sim.fleet.Log.SetFaults(standin.Faults{Down: true})
		time.Sleep(12 * time.Second)
		sim.fleet.Log.SetFaults(standin.Faults{})
	})
}

func logSlow(sim *simulation) {
	sim.fleet.Log.SetFaults(standin.Faults{Delay: 700 * time.Millisecond})
	time.Sleep(faultDuration)
	sim.fleet.Log.SetFaults(standin.Faults{})
}

// loseAppendResponses makes the log lose the responses to 30 % of the appends, and
// refuse 20 %.
func loseAppendResponses(sim *simulation) {
	sim.fleet.Log.SetFaults(standin.Faults{LoseAnswer: 0.3, Refuse: 0.2})
	time.Sleep(faultDuration)
	sim.fleet.Log.SetFaults(standin.Faults{})
}

func listDown(sim *simulation) {
	sim.repeat(10*time.Second, func() {
		sim.fleet.Instances.SetDown(true)
		time.Sleep(10 * time.Second)
		sim.fleet.Instances.SetDown(false)
	})
}

// applyConcurrently makes two operators change a customer's weight from the same
// base version at the same time.
func applyConcurrently(sim *simulation) {
	sim.repeat(5*time.Second, func() {
		for _, weight := range []float64{2, 3} {
			next := desiredState()
			c := next.Customers["museum"]
			c.Weight = weight
			next.Customers["museum"] = c
			go func() { _ = sim.fleet.Apply(sim.t.Context(), next) }()
		}
	})
}

// sendCrashingRequests sends requests that crash engines, and restarts the engines
// 2 s after each response.
func sendCrashingRequests(sim *simulation) {
	sim.repeat(10*time.Second, func() {
		sim.sendChat("museum", crashMarker, false)
		time.Sleep(2 * time.Second)
		sim.mu.Lock()
		engines := sim.engines
		sim.mu.Unlock()
		for _, e := range engines {
			e.Restart()
		}
	})
}
