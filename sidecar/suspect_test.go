package sidecar

import (
	"context"
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
)

func TestOneSuspectAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	first, second := newSuspect("a"), newSuspect("b")
	g.Expect(gate.queue(first)).To(gomega.BeNil())
	g.Expect(first.turn).To(gomega.BeClosed())
	g.Expect(gate.queue(second)).To(gomega.BeNil())
	g.Expect(second.turn).NotTo(gomega.BeClosed())
	g.Expect(gate.enter("other", true)).To(gomega.BeFalse(), "nothing runs beside a suspect")
	gate.dequeue(first)
	g.Expect(second.turn).To(gomega.BeClosed())
	gate.dequeue(second)
	g.Expect(gate.enter("other", true)).To(gomega.BeTrue())
}

func TestSuspectsInLineAreBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	for range maxSuspectsOfCustomer {
		g.Expect(gate.queue(newSuspect("a"))).To(gomega.BeNil())
	}
	e := gate.queue(newSuspect("a"))
	g.Expect(e.Outcome).To(gomega.Equal(api.NotRun))
	g.Expect(e.RetryAfter).To(gomega.BeNumerically(">", 0))
	for i := range maxSuspects - maxSuspectsOfCustomer {
		g.Expect(gate.queue(newSuspect(fmt.Sprint(i)))).To(gomega.BeNil())
	}
	g.Expect(gate.queue(newSuspect("z"))).NotTo(gomega.BeNil())
}

func TestSuspectItemMakesWayForOnlineRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	cut := make(chan struct{})
	item := newSuspect("a")
	item.batch, item.cut = true, func() { close(cut) }
	g.Expect(gate.queue(item)).To(gomega.BeNil())
	g.Expect(gate.enter("batch", false)).To(gomega.BeFalse())
	g.Expect(gate.enter("online", true)).To(gomega.BeTrue())
	g.Eventually(cut).Should(gomega.BeClosed())
}

func TestCrashTellsWhatRan(t *testing.T) {
	g := gomega.NewWithT(t)
	gate := newGate()
	gate.enter("a", true)
	gate.enter("b", false)
	gate.enter("cut", true)
	gate.leave("cut", true)
	gate.lost("a")
	gate.leave("a", false)
	gate.lost("b")
	gate.leave("b", false)
	g.Expect(gate.crashOf("a")).To(gomega.Equal(api.CrashBeside))
	g.Expect(gate.crashOf("b")).To(gomega.Equal(api.CrashBeside), "it was not alone when the endpoint crashed")
	g.Expect(gate.crashOf("cut")).To(gomega.Equal(api.NoCrash))
	alone := newGate()
	g.Expect(alone.enterAlone(context.Background(), "a")).To(gomega.BeTrue())
	alone.lost("a")
	g.Expect(alone.crashOf("a")).To(gomega.Equal(api.CrashAlone))
}
