package system

import (
	"time"

	standin "dandelionrelay/standin/platform"
)

// fault is one kind of failure. It goes on until the load ends and leaves the
// system whole again.
type fault struct {
	name string
	run  func(w *world)
	// graceful faults cut no request.
	graceful bool
}

var faults = []fault{
	{name: "entry killed", run: killEntries},
	{name: "entry leaves", run: stopEntries, graceful: true},
	{name: "sidecar killed", run: killSidecars},
	{name: "sidecar leaves", run: stopSidecars, graceful: true},
	{name: "engine crashes", run: crashEngines},
	{name: "connections cut", run: cutConnections},
	{name: "log down", run: logDown, graceful: true},
	{name: "log slow", run: logSlow, graceful: true},
	{name: "append answers lost", run: loseAnswers, graceful: true},
	{name: "instance list down", run: listDown, graceful: true},
	{name: "operators race", run: raceOperators, graceful: true},
	{name: "poison request", run: poisonRequests},
	{name: "rack lost", run: loseRack},
	{name: "data centre lost", run: loseDataCentre},
	{name: "data centre cut off", run: cutOffDataCentre},
	{name: "data centres parted", run: partDataCentres},
}

// repeat calls f every interval until the load ends.
func (w *world) repeat(interval time.Duration, f func()) {
	for time.Since(w.start)+interval < faultsFor {
		time.Sleep(interval)
		f()
	}
}

func killEntries(w *world) {
	w.repeat(9*time.Second, func() {
		e := w.takeEntry()
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Unlist()
		w.addEntry()
		time.Sleep(3 * time.Second)
	})
}

func stopEntries(w *world) {
	w.repeat(8*time.Second, func() {
		w.addEntry()
		time.Sleep(3 * time.Second)
		w.takeEntry().Stop()
	})
}

func killSidecars(w *world) {
	w.repeat(7*time.Second, func() {
		e := w.takeEndpoint()
		e.Kill()
		time.Sleep(2 * time.Second)
		e.Unlist()
		w.addEndpoint()
	})
}

func stopSidecars(w *world) {
	w.repeat(7*time.Second, func() {
		w.addEndpoint()
		time.Sleep(2 * time.Second)
		w.takeEndpoint().Stop()
	})
}

func crashEngines(w *world) {
	w.repeat(6*time.Second, func() {
		e := w.anyEndpoint().engine
		e.Crash()
		time.Sleep(2 * time.Second)
		e.Restart()
	})
}

func cutConnections(w *world) {
	w.repeat(2*time.Second, func() {
		if w.intn(2) == 0 {
			w.net.CloseConnections(w.entry().RPCAddr)
			return
		}
		w.net.CloseConnections(w.anyEndpoint().HTTPAddr)
	})
}

func logDown(w *world) {
	w.repeat(10*time.Second, func() {
		w.fleet.Log.SetFaults(standin.Faults{Down: true})
		time.Sleep(12 * time.Second)
		w.fleet.Log.SetFaults(standin.Faults{})
	})
}

func logSlow(w *world) {
	w.fleet.Log.SetFaults(standin.Faults{Delay: 700 * time.Millisecond})
	time.Sleep(faultsFor)
	w.fleet.Log.SetFaults(standin.Faults{})
}

func loseAnswers(w *world) {
	w.fleet.Log.SetFaults(standin.Faults{LoseAnswer: 0.3, Refuse: 0.2})
	time.Sleep(faultsFor)
	w.fleet.Log.SetFaults(standin.Faults{})
}

func listDown(w *world) {
	w.repeat(10*time.Second, func() {
		w.fleet.Instances.SetDown(true)
		time.Sleep(10 * time.Second)
		w.fleet.Instances.SetDown(false)
	})
}

// raceOperators has two operators change a weight from the same base.
func raceOperators(w *world) {
	w.repeat(5*time.Second, func() {
		for _, weight := range []float64{2, 3} {
			next := desired()
			c := next.Customers["museum"]
			c.Weight = weight
			next.Customers["museum"] = c
			go func() { _ = w.fleet.Apply(w.t.Context(), next) }()
		}
	})
}

func poisonRequests(w *world) {
	w.repeat(10*time.Second, func() {
		w.chat("museum", poison, false)
		time.Sleep(2 * time.Second)
		w.mu.Lock()
		engines := w.engines
		w.mu.Unlock()
		for _, e := range engines {
			e.Restart()
		}
	})
}
