package sidecar

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
)

func TestGate_RunsOneSuspectAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	first, second := newSuspect("a"), newSuspect("b")
	g.Expect(gate.enqueue(first)).To(gomega.BeNil())
	g.Expect(first.granted).To(gomega.BeClosed())
	g.Expect(gate.enqueue(second)).To(gomega.BeNil())
	g.Expect(second.granted).NotTo(gomega.BeClosed())
	g.Expect(gate.begin("other", true)).To(gomega.BeFalse(), "no other attempt may start while a suspect holds the endpoint")
	gate.release(first)
	g.Expect(second.granted).To(gomega.BeClosed())
	gate.release(second)
	g.Expect(gate.begin("other", true)).To(gomega.BeTrue())
}

func TestGate_BoundsWaitingSuspects(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	for range maxSuspectsPerCustomer {
		g.Expect(gate.enqueue(newSuspect("a"))).To(gomega.BeNil())
	}
	e := gate.enqueue(newSuspect("a"))
	g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
	g.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))
	for i := range maxSuspects - maxSuspectsPerCustomer {
		g.Expect(gate.enqueue(newSuspect(fmt.Sprint(i)))).To(gomega.BeNil())
	}
	g.Expect(gate.enqueue(newSuspect("z"))).NotTo(gomega.BeNil())
}

func TestGate_PreemptsSuspectItemForOnlineRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	preempted := make(chan struct{})
	item := newSuspect("a")
	item.batch, item.preempt = true, func() { close(preempted) }
	g.Expect(gate.enqueue(item)).To(gomega.BeNil())
	g.Expect(gate.begin("batch", false)).To(gomega.BeFalse())
	g.Expect(gate.begin("online", true)).To(gomega.BeTrue())
	g.Eventually(preempted).Should(gomega.BeClosed())
}

func TestGate_RecordsWhetherAttemptRanAloneAtCrash(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	gate.begin("a", true)
	gate.begin("b", false)
	gate.begin("cancelled", true)
	gate.end("cancelled", true)
	gate.recordCrash("a")
	gate.end("a", false)
	gate.recordCrash("b")
	gate.end("b", false)
	g.Expect(gate.crashOf("a")).To(gomega.Equal(api.CrashWithOthers))
	g.Expect(gate.crashOf("b")).To(gomega.Equal(api.CrashWithOthers), "a was in flight too when the endpoint crashed")
	g.Expect(gate.crashOf("cancelled")).To(gomega.Equal(api.NoCrash))
	alone := newGate()
	g.Expect(alone.beginExclusive(context.Background(), "a")).To(gomega.BeTrue())
	alone.recordCrash("a")
	g.Expect(alone.crashOf("a")).To(gomega.Equal(api.CrashAlone))
}
