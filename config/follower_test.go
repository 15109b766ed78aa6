package config_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/invariant"
	standin "dandelionrelay/standin/platform"
)

// newInvariants returns a set of invariants whose violations fail t.
func newInvariants(t *testing.T) *invariant.Set {
	return invariant.New(func(v invariant.Violation) { t.Error(v) })
}

// withCustomers returns a state with n customers of the given burst.
func withCustomers(n int, burst float64) *config.State {
	s := &config.State{Customers: make(map[string]config.Customer)}
	for i := range n {
		s.Customers[fmt.Sprintf("c%d", i)] = config.Customer{Rate: 1, Burst: burst}
	}
	return s
}

// TestFollower_ConcurrentProposalsHaveOneWinner lets two operators change the
// same version through two processes concurrently: one change must be accepted,
// and the other must be a conflict that names the winner.
func TestFollower_ConcurrentProposalsHaveOneWinner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		var holders [3]config.Holder
		var followers [3]*config.Follower
		for i := range followers {
			followers[i] = config.NewFollower(log, &holders[i], newInvariants(t), nil)
			go followers[i].Run(t.Context())
		}
		synctest.Wait()

		verdicts := make(chan config.AuditEntry, 2)
		for i, name := range []string{"ann", "bo"} {
			go func() {
				entry, err := followers[i].Propose(t.Context(), 0, withCustomers(1, float64(i+1)), name)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				verdicts <- entry
			}()
		}
		a, b := <-verdicts, <-verdicts
		if a.Verdict != config.Accepted {
			a, b = b, a
		}
		g.Expect(a.Verdict).To(gomega.Equal(config.Accepted))
		g.Expect(b.Verdict).To(gomega.Equal(config.Conflict))
		g.Expect(b.Winner).To(gomega.Equal(a.Operator))
		synctest.Wait()
		for i := range holders {
			g.Expect(holders[i].Current().Version).To(gomega.Equal(uint64(1)))
			g.Expect(followers[i].Audit()).To(gomega.Equal(followers[0].Audit()))
		}
	})
}

// TestFollower_ProposeReadsVerdictAfterLostResponse loses the response of every
// append: Propose must find the verdict by reading the log.
func TestFollower_ProposeReadsVerdictAfterLostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := standin.NewLog(0, 1)
		log.SetFaults(standin.Faults{LoseAnswer: 1})
		var holder config.Holder
		f := config.NewFollower(log, &holder, newInvariants(t), nil)
		go f.Run(t.Context())

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		entry, err := f.Propose(ctx, 0, withCustomers(1, 1), "ann")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(entry.Verdict).To(gomega.Equal(config.Accepted))
		g.Expect(holder.Current().Version).To(gomega.Equal(uint64(1)))
	})
}
