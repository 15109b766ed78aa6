package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	standin "dandelionrelay/standin/platform"
)

// faultKind is a kind of fault that a randomised run injects.
type faultKind string

var faultKinds = []faultKind{"log unavailable", "log slow", "lost responses", "refused appends", "log unreachable from one entry", "responses of one entry paused", "entry replaced", "short retention"}

// faultRun is a fleet with injected faults and concurrent operators.
type faultRun struct {
	*fleet
	g             *gomega.WithT
	rnd           *rand.Rand
	kinds         []faultKind
	retention     time.Duration
	mu            sync.Mutex
	reported      map[string]config.AuditEntry // verdicts returned to operators, by ID of the change
	indeterminate int
}

func newFaultRun(t *testing.T, g *gomega.WithT, seed uint64, kinds []faultKind) *faultRun {
	r := &faultRun{
		g:        g,
		rnd:      rand.New(rand.NewPCG(seed, 3)),
		kinds:    kinds,
		reported: make(map[string]config.AuditEntry),
	}
	for _, k := range kinds {
		if k == "short retention" {
			r.retention = 40 * time.Second
		}
	}
	r.fleet = newFleet(t, r.retention)
	return r
}

// inject starts or ends one random fault.
func (r *faultRun) inject() {
	n := r.rnd.IntN(len(r.nodes))
	on := r.rnd.IntN(2) == 0
	switch r.kinds[r.rnd.IntN(len(r.kinds))] {
	case "log unavailable":
		r.log.SetFaults(standin.Faults{Down: on})
	case "log slow":
		r.log.SetFaults(standin.Faults{Delay: time.Duration(r.rnd.IntN(3000)) * time.Millisecond})
	case "lost responses":
		r.log.SetFaults(standin.Faults{LoseAnswer: 0.7})
	case "refused appends":
		r.log.SetFaults(standin.Faults{Refuse: 0.7})
	case "log unreachable from one entry":
		r.nodes[n].log.down.Store(on)
	case "responses of one entry paused":
		r.paused[r.nodes[n].self.ID].Store(on)
	case "entry replaced":
		r.nodes[n].stop()
		r.nodes[n] = r.start(r.nodes[n].self, r.retention)
	}
}

// heal ends all faults.
func (r *faultRun) heal() {
	r.log.SetFaults(standin.Faults{})
	for _, n := range r.nodes {
		n.log.down.Store(false)
		r.paused[n.self.ID].Store(false)
	}
}

// propose lets an operator change the version that an entry has in force.
func (r *faultRun) propose(ctx context.Context, n *node, operator string, slots int) {
	state := withCustomers(3, 1)
	state.Deployments = map[string]config.Deployment{"m": {Kind: config.KindModel, Model: "bean", Slots: slots}}
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	entry, err := n.follower.Propose(ctx, n.holder.Current().Version, state, operator)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.indeterminate++
		return
	}
	r.reported[entry.ID] = entry
}

// run lets operators make concurrent changes for about a minute while faults are
// injected, then ends all faults and waits 30 s for the fleet to converge.
func (r *faultRun) run() {
	ctx := r.t.Context()
	var operators sync.WaitGroup
	versions := make(map[*node]uint64)
	for step := range 60 {
		if r.rnd.IntN(3) == 0 {
			r.inject()
		}
		for _, name := range []string{"ann", "bo"} {
			n := r.nodes[r.rnd.IntN(len(r.nodes))]
			if r.rnd.IntN(2) == 0 {
				operators.Go(func() { r.propose(ctx, n, name, 1+step) })
			}
		}
		time.Sleep(time.Duration(r.rnd.IntN(2000)) * time.Millisecond)
		for _, n := range r.nodes {
			v := n.holder.Current().Version
			r.g.Expect(v).To(gomega.BeNumerically(">=", versions[n]), "%s reverted", n.self.ID)
			versions[n] = v
		}
	}
	operators.Wait()
	r.heal()
	time.Sleep(30 * time.Second)
}

// check expects all entries to agree, and the verdicts that were returned to
// operators to be in the audit trail.
func (r *faultRun) check() (accepted, conflicts int) {
	first := r.nodes[0].follower.Status(time.Now())
	verdicts := make(map[string]config.AuditEntry)
	for _, e := range r.nodes[0].follower.Audit() {
		verdicts[e.ID] = e
	}
	for _, n := range r.nodes {
		s := n.follower.Status(time.Now())
		r.g.Expect(s.Known).To(gomega.BeTrue(), n.self.ID)
		r.g.Expect(s.Version).To(gomega.Equal(first.Version), n.self.ID)
		r.g.Expect(s.Hash).To(gomega.Equal(first.Hash), n.self.ID)
		r.g.Expect(verdictsOf(n)).To(gomega.Equal(verdictsOf(r.nodes[0])), n.self.ID)
		r.g.Expect(n.holder.Current().Version).To(gomega.Equal(s.Version), n.self.ID)
	}
	for id, e := range r.reported {
		r.g.Expect(summaryOf(verdicts[id])).To(gomega.Equal(summaryOf(e)), "verdict returned to the operator of change %s", id)
		switch e.Verdict {
		case config.Accepted:
			accepted++
		case config.Conflict:
			conflicts++
		}
	}
	return accepted, conflicts
}

// verdictsOf returns a summary of each entry of the audit trail of n.
func verdictsOf(n *node) []string {
	var all []string
	for _, e := range n.follower.Audit() {
		all = append(all, summaryOf(e))
	}
	return all
}

func summaryOf(e config.AuditEntry) string {
	return fmt.Sprintf("%d %s %s %d->%d %s, in force %d, winner %s", e.Offset, e.ID, e.Operator, e.Base, e.Version, e.Verdict, e.InForce, e.Winner)
}

// TestFollower_FleetConvergesAfterFaults injects each kind of fault alone and each
// pair of kinds.
func TestFollower_FleetConvergesAfterFaults(t *testing.T) {
	var accepted, conflicts, indeterminate int
	for n := range max(1, *seeds/25) {
		for i, a := range faultKinds {
			for _, b := range faultKinds[i:] {
				t.Run(fmt.Sprintf("%s and %s/%d", a, b, n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						r := newFaultRun(t, gomega.NewWithT(t), n, []faultKind{a, b})
						time.Sleep(10 * time.Second)
						r.run()
						acceptedInRun, conflictsInRun := r.check()
						accepted += acceptedInRun
						conflicts += conflictsInRun
						indeterminate += r.indeterminate
					})
				})
			}
		}
	}
	t.Logf("%d changes accepted, %d conflicts, %d indeterminate or refused", accepted, conflicts, indeterminate)
	g := gomega.NewWithT(t)
	g.Expect(accepted).To(gomega.BeNumerically(">", 0))
	g.Expect(conflicts).To(gomega.BeNumerically(">", 0))
}
