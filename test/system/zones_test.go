package system

import (
	"fmt"
	"slices"
	"time"

	"dandelionrelay/standin/fleet"
)

// dataCentres is the number of data centres of a simulation.
const dataCentres = 3

// dataCentreName returns the name of the data centre with index n modulo their
// number.
func dataCentreName(n int) string { return fmt.Sprintf("dc-%d", n%dataCentres+1) }

// loseRack kills an entry and an endpoint at the same time and replaces them 2 s
// later.
func loseRack(sim *simulation) {
	sim.repeat(12*time.Second, func() {
		entry, endpoint := sim.removeEntry(), sim.removeEndpoint()
		entry.Kill()
		endpoint.kill()
		time.Sleep(2 * time.Second)
		entry.Unlist()
		endpoint.Unlist()
		sim.addEntry()
		sim.addEndpoint()
		time.Sleep(3 * time.Second)
	})
}

// loseDataCentre kills all entries and endpoints of a data centre, except for the
// plain services, and replaces them 2 s later.
func loseDataCentre(sim *simulation) {
	sim.repeat(15*time.Second, func() {
		entries, endpoints := sim.removeDataCentre(dataCentreName(sim.intn(dataCentres)))
		for _, e := range entries {
			e.Kill()
		}
		for _, e := range endpoints {
			e.kill()
		}
		time.Sleep(2 * time.Second)
		for _, e := range entries {
			e.Unlist()
			sim.addEntry()
		}
		for _, e := range endpoints {
			e.Unlist()
			sim.addEndpoint()
		}
	})
}

// isolateDataCentre disconnects a data centre from the others and from the
// platform for 15 s. With probability 1/2, the platform omits its instances from
// the list meanwhile.
func isolateDataCentre(sim *simulation) {
	sim.repeat(8*time.Second, func() {
		index := sim.intn(dataCentres)
		omitted := sim.intn(2) == 0
		sim.fleet.IsolateFromPlatform(dataCentreName(index), true)
		sim.setPartitioned(index, true)
		sim.fleet.OmitFromList(dataCentreName(index), omitted)
		time.Sleep(15 * time.Second)
		sim.fleet.OmitFromList(dataCentreName(index), false)
		sim.setPartitioned(index, false)
		sim.fleet.IsolateFromPlatform(dataCentreName(index), false)
	})
}

// partitionDataCentres disconnects one data centre from the others for 12 s, while
// all reach the platform.
func partitionDataCentres(sim *simulation) {
	sim.repeat(6*time.Second, func() {
		index := sim.intn(dataCentres)
		sim.setPartitioned(index, true)
		time.Sleep(12 * time.Second)
		sim.setPartitioned(index, false)
	})
}

// setPartitioned disconnects a data centre from the others, or reconnects it.
func (sim *simulation) setPartitioned(index int, on bool) {
	for n := 1; n < dataCentres; n++ {
		sim.network.SetPartitioned(dataCentreName(index), dataCentreName(index+n), on)
	}
}

// removeDataCentre removes the entries and endpoints of a data centre from the
// simulation and returns them; it keeps at least one entry and one endpoint.
func (sim *simulation) removeDataCentre(dataCentre string) (entries []*fleet.Instance, endpoints []endpoint) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.entries = slices.DeleteFunc(sim.entries, func(e *fleet.Instance) bool {
		remove := e.DataCentre == dataCentre && len(entries)+1 < len(sim.entries)
		if remove {
			entries = append(entries, e)
		}
		return remove
	})
	sim.endpoints = slices.DeleteFunc(sim.endpoints, func(e endpoint) bool {
		remove := e.DataCentre == dataCentre && len(endpoints)+1 < len(sim.endpoints)
		if remove {
			endpoints = append(endpoints, e)
		}
		return remove
	})
	return entries, endpoints
}

// kill kills an endpoint's sidecar and crashes its engine.
func (e endpoint) kill() {
	e.Kill()
	e.engine.Crash()
}
