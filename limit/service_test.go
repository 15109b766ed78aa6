package limit

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/pipeline"
	standin "dandelionrelay/standin/platform"
)

var oneCustomer = map[string]config.Customer{"x": {Rate: 10, Burst: 12}}

// burst sends n requests through an entry and returns how many were admitted.
func (f *fleet) burst(id string, n int) int {
	admitted := 0
	for range n {
		if ok, _ := f.admit(id, "x"); ok {
			admitted++
		}
	}
	return admitted
}

// sendAtRate sends requests at the given multiple of the rate through the entries
// in turn for d and returns the number of refusals.
func (f *fleet) sendAtRate(factor float64, d time.Duration, ids ...string) int {
	refused := 0
	for i := range int(d.Seconds() * oneCustomer["x"].Rate * factor) {
		time.Sleep(time.Duration(float64(time.Second) / (oneCustomer["x"].Rate * factor)))
		if ok, _ := f.admit(ids[i%len(ids)], "x"); !ok {
			refused++
		}
	}
	return refused
}

func TestKilledEntry_SharesAreTakenOver(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		f.burst("a", 12)
		f.kill("b")
		f.list()
		f.sendAtRate(2, 10*time.Second, "a", "c")
		time.Sleep(5 * time.Second)
		g.Expect(f.burst("a", 100)).To(gomega.Equal(12))
	})
}

func TestRate_IsAdmittedWhileLogIsDown(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		f.log.SetFaults(standin.Faults{Down: true})
		g.Expect(f.sendAtRate(1, time.Minute, "a", "b", "c")).To(gomega.BeZero())
		time.Sleep(time.Second)
		g.Expect(f.burst("a", 100)).To(gomega.Equal(12))
	})
}

func TestDrainingEntry_HandsOverShares(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		g.Expect(f.entries["a"].table.HeldCount()).NotTo(gomega.BeZero())
		left := make(chan int)
		go func() {
			ctx, cancel := context.WithTimeout(f.t.Context(), 10*time.Second)
			defer cancel()
			f.entries["a"].HandOver(ctx)
			left <- f.entries["a"].table.HeldCount()
		}()
		time.Sleep(time.Millisecond)
		f.list()
		g.Expect(f.sendAtRate(1, 5*time.Second, "a", "b", "c")).To(gomega.BeZero())
		g.Expect(<-left).To(gomega.BeZero())
		f.kill("a")
		f.list()
		g.Expect(f.sendAtRate(1, 20*time.Second, "b", "c")).To(gomega.BeZero())
	})
}

func TestUnreachableHolder_CostsOnlyItsShares(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		f.unreachable["a c"] = true
		f.unreachable["b c"] = true
		f.entries["a"].Pool.Close()
		f.entries["b"].Pool.Close()
		f.sendAtRate(1, 10*time.Second, "a", "b")
		g.Expect(f.sendAtRate(0.6, time.Minute, "a", "b")).To(gomega.BeZero())
	})
}

func TestFilter_RefusesWithoutWaiting(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		passed := 0
		h := Filter(f.entries["a"].Service)(func(context.Context, *pipeline.Call) *api.Error {
			passed++
			return nil
		})
		call := func(customer string) *api.Error {
			return h(f.t.Context(), &pipeline.Call{Customer: customer, Snapshot: f.config.Current()})
		}
		for range 12 {
			g.Expect(call("x")).To(gomega.BeNil())
		}
		err := call("x")
		g.Expect(err).NotTo(gomega.BeNil())
		g.Expect(err.Status).To(gomega.Equal(http.StatusTooManyRequests))
		g.Expect(err.Code).To(gomega.Equal(api.CodeRateLimited))
		g.Expect(err.Outcome).To(gomega.Equal(api.NotRun))
		g.Expect(err.RetryAfter).To(gomega.And(gomega.BeNumerically(">", 0), gomega.BeNumerically("<=", 100*time.Millisecond)))
		g.Expect(call("")).To(gomega.BeNil(), "route without a customer")
		g.Expect(call("nobody").Code).To(gomega.Equal(api.CodeForbidden))
		g.Expect(passed).To(gomega.Equal(13))
	})
}

func TestNewLimits_AddNoTokens(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		set := func(version uint64, c config.Customer) {
			f.config.Set(config.NewSnapshot(version, &config.State{Customers: map[string]config.Customer{"x": c}}))
		}
		g.Expect(f.burst("a", 100)).To(gomega.Equal(12))
		set(2, config.Customer{Rate: 0.001, Burst: 30})
		g.Expect(f.burst("a", 100)).To(gomega.BeZero(), "a larger bucket keeps the old level")
		set(3, config.Customer{Rate: 10, Burst: 2})
		time.Sleep(time.Second)
		g.Expect(f.burst("a", 100)).To(gomega.Equal(2))
		set(4, config.Customer{Rate: 0.001, Burst: 3})
		g.Expect(f.burst("a", 100)).To(gomega.BeZero(), "an added share starts empty")
	})
}

func TestUnlistedEntry_KeepsSharesWhileItReplies(t *testing.T) {
	withFleet(t, oneCustomer, func(f *fleet) {
		g := gomega.NewWithT(f.t)
		held := f.entries["c"].table.HeldCount()
		g.Expect(held).NotTo(gomega.BeZero())
		f.instances.Set([]infra.Instance{f.instance("a", infra.Live), f.instance("b", infra.Live)})
		time.Sleep(minListedTime / 2) // before the entry would hand them over itself
		g.Expect(f.entries["c"].table.HeldCount()).To(gomega.Equal(held))
	})
}
