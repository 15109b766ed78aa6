package batch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"dandelionrelay/config"
	"dandelionrelay/locality"
	"dandelionrelay/placement"
)

// placeIn lists the endpoints of the fleet at all entries, each in a data centre of its own.
func (f *testFleet) placeIn(dataCentres ...string) {
	var list []placement.Endpoint
	for i, ep := range f.endpoints {
		list = append(list, placement.Endpoint{ID: ep.ID, Address: ep.ID + ":1", Deployment: testModel, DataCentre: dataCentres[i], Version: "v1", Slots: ep.Slots})
	}
	for _, e := range f.entries {
		e.Table.SetEndpoints(list)
	}
}

// Guards against items that stay in an evacuated data centre, that begin again elsewhere, or
// of which anything is lost, and against items that start there.
func TestRunner_ItemsMoveOutOfEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, newEndpoint("left", 100, 16), newEndpoint("kept", 100, 16))
		f.placeIn("a", "b")
		e, left, kept := f.entries[0], f.endpoints[0], f.endpoints[1]
		f.Expect(e.Submit(f.ctx, submission("j", 12, 10))).To(gomega.Succeed())
		time.Sleep(600 * time.Millisecond)
		moved := e.Table.SetPolicy(locality.NewPolicy(nil, map[string]bool{"a": true}))
		f.Expect(moved).To(gomega.BeNumerically(">", 3))
		before := left.Received()

		for _, result := range f.awaitResults(e, "j", 18*time.Second).Results {
			f.Expect(result.State).To(gomega.Equal(Completed))
			f.Expect(string(result.Output)).To(gomega.Equal(kept.Output(result.Item)))
		}
		f.Expect(left.Received()).To(gomega.Equal(before), "nothing more is sent there")
		resumed := 0
		for _, run := range kept.Runs() {
			if run.FirstEvent > 1 {
				resumed++
			}
		}
		f.Expect(resumed).To(gomega.Equal(moved), "each goes on at its last event")
	})
}

// Guards against items that run outside the homes of their route or customer, and against
// items of other customers that these hold up.
func TestRunner_ItemsStayInTheirHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, newEndpoint("home", 20, 4), newEndpoint("abroad", 20, 4))
		f.placeIn("a", "b")
		f.setHomes("eu")
		e := f.entries[0]
		e.Table.SetPolicy(locality.NewPolicy(locality.Regions{"a": "eu", "b": "us"}, nil))
		f.Expect(e.Submit(f.ctx, submission("j", 12, 10))).To(gomega.Succeed())
		other := submission("other", 4, 10)
		other.Customer = "other"
		f.Expect(e.Submit(f.ctx, other)).To(gomega.Succeed())
		f.awaitResults(e, "j", 18*time.Second)
		time.Sleep(5 * time.Second)
		for _, run := range f.endpoints[1].Runs() {
			f.Expect(run.ID).To(gomega.HavePrefix("other-"))
		}
		p, err := e.Results(f.ctx, "other", "other", 0, 0, 1<<20)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(p.Results).To(gomega.HaveLen(4))
	})
}

// Guards against items without a home that is left, which keep those of other customers from
// starting.
func TestRunner_ItemsOutsideTheirHomesHoldUpNoOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 1, newEndpoint("w", 20, 4))
		f.setHomes("mars")
		e := f.entries[0]
		f.Expect(e.Submit(f.ctx, submission("j", 4, 10))).To(gomega.Succeed())
		time.Sleep(time.Second)
		other := submission("other", 4, 10)
		other.Customer = "other"
		f.Expect(e.Submit(f.ctx, other)).To(gomega.Succeed())
		time.Sleep(5 * time.Second)
		p, err := e.Results(f.ctx, "other", "other", 0, 0, 1<<20)
		f.Expect(err).NotTo(gomega.HaveOccurred())
		f.Expect(p.Results).To(gomega.HaveLen(4))
		f.Expect(f.results(e, "j").Results).To(gomega.BeEmpty())
	})
}

// setHomes gives the test customer homes.
func (f *testFleet) setHomes(homes ...string) {
	state := *f.config.Current().State
	state.Customers = map[string]config.Customer{testCustomer: {Homes: homes}}
	f.config.Set(config.NewSnapshot(f.config.Current().Version+1, &state))
}

// Guards against bodies of items that an entry outside their homes reads when it takes over
// their job.
func TestTakeOver_OnlyWithinHomes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0, newEndpoint("w", 50, 8))
		f.setHomes("eu")
		f.mayTakeOver = func(entry string, homes []locality.Homes) bool { return entry == "entry-3" && len(homes) == 1 }
		for range 4 {
			e := f.startEntry()
			e.Table.SetPolicy(locality.NewPolicy(locality.Regions{"a": "eu"}, nil))
		}
		for _, id := range []string{"j1", "j2", "j3", "j4"} { // of which three would go to others
			f.Expect(f.entries[0].Submit(f.ctx, submission(id, 2, 10))).To(gomega.Succeed())
		}
		time.Sleep(300 * time.Millisecond)
		f.kill(f.entries[0])
		for _, id := range []string{"j1", "j2", "j3", "j4"} {
			f.awaitResults(f.entries[1], id, 10*time.Second)
			v, _ := f.entries[1].Index.state.view(id)
			f.Expect(v.owner.Entry).To(gomega.Equal("entry-3"))
		}
	})
}

// Guards against an item that is sent although the process was suspended while the body of
// the item was read.
func TestRunner_SendsNothingOnceEvacuationsAreUnconfirmed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0, newEndpoint("w", 20, 8))
		var calls atomic.Int32
		var confirmed atomic.Bool
		f.mayStart = func() bool { return calls.Add(1) == 1 || confirmed.Load() } // the first call is that of plan
		e := f.startEntry()
		f.Expect(e.Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		time.Sleep(3 * time.Second)
		f.Expect(f.endpoints[0].Received()).To(gomega.BeZero())
		confirmed.Store(true)
		f.awaitResults(e, "j", 5*time.Second)
	})
}

// Guards against an item that is sent although the evacuations became unconfirmed while a
// connection was opened, and against an endpoint that is suspended for it.
func TestRunner_SendsNothingOnceUnconfirmedWhileConnecting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0, newEndpoint("w", 20, 8))
		var confirmed atomic.Bool
		confirmed.Store(true)
		f.mayStart = confirmed.Load
		f.onDial = func() { confirmed.Store(false) }
		e := f.startEntry()
		f.Expect(e.Submit(f.ctx, submission("j", 1, 10))).To(gomega.Succeed())
		time.Sleep(3 * time.Second)
		f.Expect(f.endpoints[0].Received()).To(gomega.BeZero())
		f.Expect(confirmed.Load()).To(gomega.BeFalse(), "a connection was opened")
		f.Expect(e.Table.HasFreeSlot(e.Clock(), placement.Request{Deployment: testModel})).To(gomega.BeTrue())
		confirmed.Store(true)
		f.awaitResults(e, "j", 5*time.Second)
	})
}

// Guards against an entry that has just started and takes over a job whose homes it does not
// know yet.
func TestTakeOver_NotBeforeTheConfigurationIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 2, newEndpoint("w", 50, 8))
		known := f.config.Current()
		f.Expect(f.entries[0].Submit(f.ctx, submission("j", 2, 10))).To(gomega.Succeed())
		f.config.Set(config.NewSnapshot(0, &config.State{}))
		f.kill(f.entries[0])
		time.Sleep(3 * time.Second)
		v, _ := f.entries[1].Index.state.view("j")
		f.Expect(v.owner.Entry).To(gomega.Equal("entry-0"))
		f.config.Set(known)
		f.awaitResults(f.entries[1], "j", 10*time.Second)
	})
}

// Guards against items that an entry sends before it has read the evacuations that it missed
// while it was suspended.
func TestRunner_StartsNothingWithoutConfirmedEvacuations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0, newEndpoint("w", 20, 8))
		var confirmed atomic.Bool
		f.mayStart = confirmed.Load
		e := f.startEntry()
		f.Expect(e.Submit(f.ctx, submission("j", 2, 10))).To(gomega.Succeed())
		time.Sleep(3 * time.Second)
		f.Expect(f.endpoints[0].Received()).To(gomega.BeZero())
		f.Expect(testutil.ToFloat64(e.Metrics.runs.WithLabelValues(string(runNotExecuted)))).To(gomega.BeZero(), "items wait, and take no slots")
		confirmed.Store(true)
		f.awaitResults(e, "j", 5*time.Second)
	})
}

// Guards against a plan that searches all endpoints again for each waiting item with homes,
// and against items that keep those with other homes from starting.
func TestRunner_FullHomesAreSearchedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, 0, newEndpoint("w", 20, 8))
		f.setHomes("mars")
		f.mayStart = func() bool { return false } // only the test starts items
		e := f.startEntry()
		e.Table.SetPolicy(locality.NewPolicy(locality.Regions{"a": "eu"}, nil))
		f.Expect(e.Submit(f.ctx, submission("j", 50, 10))).To(gomega.Succeed())
		other := submission("other", 1, 10)
		other.Customer = "other"
		f.Expect(e.Submit(f.ctx, other)).To(gomega.Succeed())
		time.Sleep(time.Second)
		snapshot, full, started := f.config.Current(), make(map[slotKey]bool), 0
		for _, it := range e.runner.runnableItems(snapshot) {
			ok := e.runner.startItem(f.ctx, snapshot, it, full)
			if ok {
				started++
				f.Expect(it.job.ID).To(gomega.Equal("other"))
			} else {
				f.Expect(full).To(gomega.Equal(map[slotKey]bool{newSlotKey(testModel, []locality.Homes{{"mars"}}): true}), "the other items are not placed")
			}
		}
		f.Expect(started).To(gomega.Equal(1))
	})
}

// Guards against homes that share a slotKey.
func TestSlotKey_TellsHomesApart(t *testing.T) {
	g := gomega.NewWithT(t)
	keys := make(map[slotKey]bool)
	for _, homes := range [][]locality.Homes{nil, {{"a"}}, {{"a", "b"}}, {{"a"}, {"b"}}, {{"a b"}}, {{`a" "b`}}, {{"b", "a"}}} {
		keys[newSlotKey("d", homes)] = true
	}
	g.Expect(keys).To(gomega.HaveLen(7))
	g.Expect(newSlotKey("d", []locality.Homes{{"a"}})).To(gomega.Equal(newSlotKey("d", []locality.Homes{{"a"}})))
}
