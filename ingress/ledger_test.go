package ingress

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// testStart is the time at which the tests of the ledger begin.
var testStart = time.Unix(1_800_000_000, 0)

// at returns the time n seconds after testStart.
func at(n int) time.Time { return testStart.Add(time.Duration(n) * time.Second) }

// addHolders adds n holders a second apart, the first at at(0).
func addHolders(g *gomega.WithT, l *ledger, n int) []*holder {
	holders := make([]*holder, n)
	for i := range holders {
		holders[i] = new(holder)
		g.Expect(l.add(holders[i], at(i))).To(gomega.BeNil())
	}
	return holders
}

// Guards against new connections that are turned away while silent ones stay.
func TestLedger_LongestSilentGivesWay(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(Limits{Conns: 4})
	h := addHolders(g, l, 4)
	l.enter(h[0], phaseReceiving, at(10))
	l.enter(h[1], phaseServing, at(11))
	l.enter(h[2], phaseReceiving, at(12))
	l.enter(h[2], phaseReceiving, at(20)) // more of the request

	g.Expect(l.add(new(holder), at(21))).To(gomega.BeIdenticalTo(h[3]), "idle since second 3")
	g.Expect(l.add(new(holder), at(22))).To(gomega.BeIdenticalTo(h[0]), "in the middle of a request since second 10")
	l.enter(h[2], phaseClosing, at(23))
	g.Expect(l.add(new(holder), at(24))).To(gomega.BeIdenticalTo(h[2]), "refused already")
	g.Expect(l.conns).To(gomega.Equal(4))
}

// Guards against requests that are served and cut for a new connection.
func TestLedger_ServedRequestsStay(t *testing.T) {
	g := gomega.NewWithT(t)
	l := newLedger(Limits{Conns: 2})
	h := addHolders(g, l, 2)
	l.enter(h[0], phaseServing, at(3))
	l.enter(h[1], phaseServing, at(4))
	late := new(holder)
	g.Expect(l.add(late, at(5))).To(gomega.BeIdenticalTo(late))
	g.Expect(l.remove(late)).To(gomega.BeFalse())
	l.enter(h[1], phaseIdle, at(6))
	g.Expect(l.add(late, at(7))).To(gomega.BeIdenticalTo(h[1]))
	g.Expect(l.remove(h[1])).To(gomega.BeFalse(), "closed already")
	g.Expect(l.remove(late)).To(gomega.BeTrue())
	g.Expect(l.conns).To(gomega.Equal(1))
}

// receive adds a holder that is receiving a request of n bytes since at(since).
func receive(g *gomega.WithT, l *ledger, since int, n int64) *holder {
	h := new(holder)
	g.Expect(l.add(h, at(since))).To(gomega.BeNil())
	l.enter(h, phaseReceiving, at(since))
	evicted, ok := l.reserve(h, n, at(4))
	g.Expect(evicted).To(gomega.BeEmpty())
	g.Expect(ok).To(gomega.BeTrue())
	return h
}

// Guards against requests that hold more memory than is granted, and against ordinary callers
// that are refused while others hold memory with requests that they do not end.
func TestLedger_UnfinishedRequestsGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	const unit = 100 << 10
	l := newLedger(Limits{Conns: 10, RequestBytes: 8 * unit}) // 6 of them for large requests
	small := receive(g, l, 0, 1000)
	first := receive(g, l, 1, 2*unit)
	second := receive(g, l, 2, 2*unit)
	l.enter(first, phaseReceiving, at(3)) // more of the request

	third := new(holder)
	l.add(third, at(4))
	evicted, ok := l.reserve(third, 3*unit, at(4))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(evicted).To(gomega.Equal([]*holder{second}), "a large request whose caller is silent for longest")
	g.Expect(second.admitted()).To(gomega.BeFalse())
	g.Expect(l.bytes).To(gomega.BeEquivalentTo(1000 + 5*unit))

	l.enter(first, phaseServing, at(5))
	l.enter(third, phaseServing, at(5))
	evicted, ok = l.reserve(receive(g, l, 6, 100), 2*unit, at(4))
	g.Expect(ok).To(gomega.BeFalse(), "what is served stays, and small requests are not enough")
	g.Expect(evicted).To(gomega.BeEmpty())
	g.Expect(small.admitted()).To(gomega.BeTrue())
	receive(g, l, 7, smallRequestBytes) // there is room left for small requests

	l.enter(first, phaseIdle, at(8))
	g.Expect(l.bytes).To(gomega.BeEquivalentTo(1000 + 100 + smallRequestBytes + 3*unit))
	l.remove(third)
	g.Expect(l.bytes).To(gomega.BeEquivalentTo(1000 + 100 + smallRequestBytes))
}

// Guards against callers that do not read responses and so keep others out: their connections
// and the memory of their requests.
func TestLedger_StalledCallersGiveWay(t *testing.T) {
	g := gomega.NewWithT(t)
	const unit = 100 << 10
	l := newLedger(Limits{Conns: 3, RequestBytes: 8 * unit})
	stalled, slow := receive(g, l, 0, 3*unit), receive(g, l, 0, 3*unit)
	l.enter(stalled, phaseServing, at(1))
	l.enter(stalled, phaseWriting, at(2))
	l.enter(slow, phaseWriting, at(3)) // takes the response, though slowly

	next := new(holder)
	g.Expect(l.add(next, at(3))).To(gomega.BeNil())
	evicted, ok := l.reserve(next, 2*unit, at(3))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(evicted).To(gomega.Equal([]*holder{stalled}))
	g.Expect(stalled.phase).To(gomega.Equal(phaseNone))
	g.Expect(l.bytes).To(gomega.BeEquivalentTo(5 * unit))

	l.enter(next, phaseServing, at(3))
	g.Expect(l.add(new(holder), at(3))).To(gomega.BeNil())
	l.enter(l.queues[phaseIdle].Front().Value.(*holder), phaseServing, at(3))
	late := new(holder)
	g.Expect(l.add(late, at(3))).To(gomega.BeIdenticalTo(late), "all others are served")
	g.Expect(l.add(late, at(4))).To(gomega.BeIdenticalTo(slow), "has taken nothing for a second")
}
