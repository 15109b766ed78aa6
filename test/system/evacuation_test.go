package system

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/admin"
	"dandelionrelay/authn"
	"dandelionrelay/locality"
	"dandelionrelay/settings"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

const (
	// evacuationBound is the time from the acknowledgement of an evacuation after which
	// no request reaches an endpoint of the data centre.
	evacuationBound = 5 * time.Second
)

// Data centres of an evacuation: homeless is the one outside the homes of the museum.
const (
	evacuatedDataCentre = "dc-2"
	homelessDataCentre  = "dc-3"
)

// TestEvacuation_MovesLoadWithoutLoss evacuates a data centre under online load and batch
// jobs and ends that under the same load, while one customer has homes. It guards against
// requests and items that reach an endpoint of the evacuated data centre later than the
// bound, against requests that are refused or broken off and items that are lost or run
// outside their homes meanwhile, and against a data centre that stays unused afterwards.
func TestEvacuation_MovesLoadWithoutLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(t, 1, func(o *fleet.Options) {
			o.Operators = []settings.Operator{{Name: "ann", Digest: authn.Digest(operatorToken)}}
			o.Regions = map[string]string{"dc-1": "north", "dc-2": "north", "dc-3": "south"}
			museum := o.State.Customers["museum"]
			museum.Homes = locality.Homes{"north"}
			o.State.Customers["museum"] = museum
		})
		defer sim.fleet.Close()
		var wg sync.WaitGroup
		for _, c := range customers {
			wg.Go(func() { sim.sendChats(c) })
		}
		jobs := make(map[string]job)
		wg.Go(func() {
			jobs["station-ledger"] = sim.submitJob("station", "station-ledger", 2000)
			jobs["museum-ledger"] = sim.submitJob("museum", "museum-ledger", 500)
		})
		time.Sleep(10 * time.Second)
		sim.evacuate(evacuatedDataCentre, false)
		time.Sleep(evacuationBound)
		before := sim.requestsIn(evacuatedDataCentre)
		if before == 0 {
			t.Error("no request ran in the data centre before its evacuation")
		}
		time.Sleep(25 * time.Second)
		if n := sim.requestsIn(evacuatedDataCentre) - before; n > 0 {
			t.Errorf("%d requests reached the evacuated data centre after the bound", n)
		}
		sim.evacuate(evacuatedDataCentre, true)
		wg.Wait()
		if sim.requestsIn(evacuatedDataCentre) == before {
			t.Error("no request reached the data centre after its evacuation")
		}
		for name, j := range jobs {
			sim.awaitJob(j, "completed")
			sim.checkResults(j, name)
		}
		sim.checkCalls(nil)
		if sim.stats.refused > 0 {
			t.Errorf("%d requests were refused", sim.stats.refused)
		}
		for _, e := range sim.enginesIn(homelessDataCentre) {
			if e.Received("museum") {
				t.Errorf("a request of the museum reached %s, which is not in its homes", homelessDataCentre)
			}
		}
		sim.logStats()
	})
}

// evacuate starts or ends the evacuation of a data centre through a random entry.
func (sim *simulation) evacuate(dataCentre string, end bool) {
	client := &admin.Client{URL: "http://" + sim.randomEntry().OpsAddr, Token: operatorToken, HTTPClient: sim.fleet.Client()}
	reply, err := client.Evacuate(sim.t.Context(), admin.EvacuateRequest{ID: uuid.NewString(), DataCentre: dataCentre, End: end})
	sim.must(err)
	if reply.Offset == 0 || reply.Evacuated == end || reply.Instances == 0 {
		sim.t.Errorf("evacuation of %s, end %t: %+v", dataCentre, end, reply)
	}
}

func (sim *simulation) enginesIn(dataCentre string) []*engine.Engine {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var engines []*engine.Engine
	for _, e := range sim.endpoints {
		if e.DataCentre == dataCentre {
			engines = append(engines, e.engine)
		}
	}
	return engines
}

// requestsIn returns the number of requests and items that engines of a data centre have
// received.
func (sim *simulation) requestsIn(dataCentre string) int {
	n := 0
	for _, e := range sim.enginesIn(dataCentre) {
		n += len(e.Requests())
	}
	return n
}
