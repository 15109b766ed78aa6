package batch

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/placement"
)

// orderOf returns the customers and due times of items in their order.
func orderOf(list []runnableItem) []string {
	var out []string
	for _, it := range list {
		out = append(out, fmt.Sprint(it.job.Customer, " ", it.times.UntilDue))
	}
	return out
}

func waitingItem(customer string, untilDue, remaining time.Duration) runnableItem {
	return runnableItem{
		progress: &progress{}, job: view{Job: Job{Customer: customer}}, late: untilDue < remaining,
		times: placement.ItemTimes{Remaining: remaining, Due: true, UntilDue: untilDue},
	}
}

// A customer with many items held up those of the others, which were submitted later; and
// items that could not be in time any more were started before those that could.
func TestSortRunnable_UrgentThenFairThenLate(t *testing.T) {
	g := gomega.NewWithT(t)
	list := []runnableItem{
		waitingItem("many", 11*time.Second, 5*time.Second),
		waitingItem("few", 15*time.Second, 5*time.Second),
		waitingItem("many", 4*time.Second, 5*time.Second),
		waitingItem("many", 12*time.Second, 5*time.Second),
		waitingItem("few", 7*time.Second, 5*time.Second),
		waitingItem("many", 13*time.Second, 5*time.Second),
		waitingItem("few", 16*time.Second, 5*time.Second),
	}
	sortRunnable(list, nil)
	g.Expect(orderOf(list)).To(gomega.Equal([]string{"few 7s", "many 11s", "few 15s", "many 12s", "few 16s", "many 13s", "many 4s"}))
	sortRunnable(list, map[string]int{"many": 2})
	g.Expect(orderOf(list)[:4]).To(gomega.Equal([]string{"few 7s", "few 15s", "few 16s", "many 11s"}))
}

// The time left of an item was not known, so that items were started right before a peak.
func TestEstimator_LearnsFromCompletedItems(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newEstimator()
	g.Expect(e.remaining("r", 1600, 0)).To(gomega.BeZero())
	e.observe("r", 1600, 176, 0) // a run of a few events has no interval
	g.Expect(e.remaining("r", 1600, 0)).To(gomega.BeZero())
	for range 20 {
		e.observe("r", 1600, 176, 28*time.Millisecond)
	}
	g.Expect(e.remaining("r", 1600, 0)).To(gomega.BeNumerically("~", 176*28*time.Millisecond, time.Millisecond))
	g.Expect(e.remaining("r", 800, 44)).To(gomega.BeNumerically("~", 44*28*time.Millisecond, time.Millisecond))
	g.Expect(e.remaining("r", 800, 200)).To(gomega.BeNumerically("~", 28*time.Millisecond, time.Millisecond), "it is past its estimate")
	g.Expect(e.remaining("other", 800, 0)).To(gomega.BeZero())
}
