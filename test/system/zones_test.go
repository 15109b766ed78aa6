package system

import (
	"fmt"
	"slices"
	"time"

	"dandelionrelay/standin/fleet"
)

// dataCentres is the number of data centres of a world.
const dataCentres = 3

// place names a data centre.
func place(n int) string { return fmt.Sprintf("dc-%d", n%dataCentres+1) }

// loseRack loses an entry and an endpoint at once.
func loseRack(w *world) {
	w.repeat(12*time.Second, func() {
		e, p := w.takeEntry(), w.takeEndpoint()
		e.Kill()
		p.lose()
		time.Sleep(2 * time.Second)
		e.Unlist()
		p.Unlist()
		w.addEntry()
		w.addEndpoint()
		time.Sleep(3 * time.Second)
	})
}

// loseDataCentre loses all that runs in a data centre but the plain services,
// and replaces it later.
func loseDataCentre(w *world) {
	w.repeat(15*time.Second, func() {
		entries, endpoints := w.takeAll(place(w.intn(dataCentres)))
		for _, e := range entries {
			e.Kill()
		}
		for _, e := range endpoints {
			e.lose()
		}
		time.Sleep(2 * time.Second)
		for _, e := range entries {
			e.Unlist()
			w.addEntry()
		}
		for _, e := range endpoints {
			e.Unlist()
			w.addEndpoint()
		}
	})
}

// cutOffDataCentre cuts a data centre off from the others and the platform,
// which sometimes takes its instances off the list meanwhile.
func cutOffDataCentre(w *world) {
	w.repeat(8*time.Second, func() {
		lost := w.intn(dataCentres)
		hidden := w.intn(2) == 0
		w.fleet.IsolateFromPlatform(place(lost), true)
		w.partFromAll(lost, true)
		w.fleet.OmitFromList(place(lost), hidden)
		time.Sleep(15 * time.Second)
		w.fleet.OmitFromList(place(lost), false)
		w.partFromAll(lost, false)
		w.fleet.IsolateFromPlatform(place(lost), false)
	})
}

// partDataCentres has one data centre lose the others, while all reach the
// platform.
func partDataCentres(w *world) {
	w.repeat(6*time.Second, func() {
		lost := w.intn(dataCentres)
		w.partFromAll(lost, true)
		time.Sleep(12 * time.Second)
		w.partFromAll(lost, false)
	})
}

// partFromAll parts a data centre from the others, or joins them again.
func (w *world) partFromAll(lost int, on bool) {
	for n := 1; n < dataCentres; n++ {
		w.net.SetPartitioned(place(lost), place(lost+n), on)
	}
}

// takeAll takes the entries and endpoints of a data centre out of the world,
// but for the last of each.
func (w *world) takeAll(dataCentre string) (entries []*fleet.Instance, endpoints []endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries = slices.DeleteFunc(w.entries, func(e *fleet.Instance) bool {
		taken := e.DataCentre == dataCentre && len(entries)+1 < len(w.entries)
		if taken {
			entries = append(entries, e)
		}
		return taken
	})
	w.endpoints = slices.DeleteFunc(w.endpoints, func(e endpoint) bool {
		taken := e.DataCentre == dataCentre && len(endpoints)+1 < len(w.endpoints)
		if taken {
			endpoints = append(endpoints, e)
		}
		return taken
	})
	return entries, endpoints
}

// lose ends an endpoint's sidecar and engine at once.
func (e endpoint) lose() {
	e.Kill()
	e.engine.Crash()
}
