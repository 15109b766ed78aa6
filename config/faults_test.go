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

// faultKind is one kind of failure of a randomised run.
type faultKind string

var faultKinds = []faultKind{"log down", "log slow", "lost answers", "refused appends", "cut off", "paused", "replaced", "retention"}

// faultRun is a fleet under some kinds of failures, with racing operators.
type faultRun struct {
	*fleet
	g         *gomega.WithT
	rnd       *rand.Rand
	kinds     []faultKind
	retention time.Duration
	mu        sync.Mutex
	told      map[string]config.AuditEntry // verdicts that operators were told, by change
	undecided int
}

func newFaultRun(t *testing.T, g *gomega.WithT, seed uint64, kinds []faultKind) *faultRun {
	r := &faultRun{
		g:     g,
		rnd:   rand.New(rand.NewPCG(seed, 3)),
		kinds: kinds,
		told:  make(map[string]config.AuditEntry),
	}
	for _, k := range kinds {
		if k == "retention" {
			r.retention = 40 * time.Second
		}
	}
	r.fleet = newFleet(t, r.retention)
	return r
}

// inject starts or ends one failure.
func (r *faultRun) inject() {
	n := r.rnd.IntN(len(r.nodes))
	on := r.rnd.IntN(2) == 0
	switch r.kinds[r.rnd.IntN(len(r.kinds))] {
	case "log down":
		r.log.SetFaults(standin.Faults{Down: on})
	case "log slow":
		r.log.SetFaults(standin.Faults{Delay: time.Duration(r.rnd.IntN(3000)) * time.Millisecond})
	case "lost answers":
		r.log.SetFaults(standin.Faults{LoseAnswer: 0.7})
	case "refused appends":
		r.log.SetFaults(standin.Faults{Refuse: 0.7})
	case "cut off":
		r.nodes[n].log.down.Store(on)
	case "paused":
		r.paused[r.nodes[n].self.ID].Store(on)
	case "replaced":
		r.nodes[n].stop()
		r.nodes[n] = r.start(r.nodes[n].self, r.retention)
	}
}

// heal ends all failures.
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
		r.undecided++
		return
	}
	r.told[entry.ID] = entry
}

// run lets operators race for a minute while failures come and go.
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

// check wants all entries to agree, and what operators were told to be true.
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
	for id, e := range r.told {
		r.g.Expect(brief(verdicts[id])).To(gomega.Equal(brief(e)), "what the operator of change %s was told", id)
		switch e.Verdict {
		case config.Accepted:
			accepted++
		case config.Conflict:
			conflicts++
		}
	}
	return accepted, conflicts
}

// verdictsOf returns the audit trail of an entry in short.
func verdictsOf(n *node) []string {
	var all []string
	for _, e := range n.follower.Audit() {
		all = append(all, brief(e))
	}
	return all
}

func brief(e config.AuditEntry) string {
	return fmt.Sprintf("%d %s %s %d->%d %s, in force %d, first %s", e.Offset, e.ID, e.Operator, e.Base, e.Version, e.Verdict, e.InForce, e.Winner)
}

// TestFleetUnderFaults runs each kind of failure alone and each pair.
func TestFleetUnderFaults(t *testing.T) {
	var accepted, conflicts, undecided int
	for n := range max(1, *seeds/25) {
		for i, a := range faultKinds {
			for _, b := range faultKinds[i:] {
				t.Run(fmt.Sprintf("%s and %s/%d", a, b, n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						r := newFaultRun(t, gomega.NewWithT(t), n, []faultKind{a, b})
						time.Sleep(10 * time.Second)
						r.run()
						x, y := r.check()
						accepted += x
						conflicts += y
						undecided += r.undecided
					})
				})
			}
		}
	}
	t.Logf("%d changes accepted, %d conflicts, %d undecided or refused", accepted, conflicts, undecided)
	g := gomega.NewWithT(t)
	g.Expect(accepted).To(gomega.BeNumerically(">", 0))
	g.Expect(conflicts).To(gomega.BeNumerically(">", 0))
}
