package gossip

import (
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/keyedlog"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

func sample() *message {
	return &message{
		Incarnation: 7, Sequence: 9, Name: "one", HearsYou: true,
		Report: Report{
			Endpoints: placement.Report{
				Loads:   map[placement.Key]placement.Load{3: {Online: 2, Batch: 300}, 4: {Batch: 1}},
				Failing: []placement.Key{8, 9},
			},
			Counts:         Counts{ByCustomer: map[quota.Key]quota.Count{5: 6, 7: 1 << 31}, Full: true},
			OtherCells:     Counts{ByCustomer: map[quota.Key]quota.Count{5: 9}},
			CoveredEntries: 3,
			CellTotals:     true,
			LogLostFor:     1500 * time.Millisecond,
			Leaving:        true,
			Uptime:         3 * time.Second,
		},
	}
}

func TestDatagramsAreReadAsTheyWereWritten(t *testing.T) {
	g := gomega.NewWithT(t)
	got, err := decode(sample().append(nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(sample()))
}

func TestDatagramsThatAreCutAreRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := sample().append(nil)
	for n := range whole {
		_, err := decode(whole[:n])
		g.Expect(err).To(gomega.HaveOccurred(), "%d of %d bytes", n, len(whole))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sample().append(nil))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decode(b) })
}

// world is one node with a clock of its own.
type world struct {
	now      time.Duration
	registry *Registry
	node     *Node
	shares   []Share
	silent   []string
	reports  int
	logLost  time.Duration // of the node itself
}

func (w *world) PeerReport(string, uint64, Report) { w.reports++ }
func (w *world) PeerSilent(name string)            { w.silent = append(w.silent, name) }
func (w *world) ShareUpdate(s Share)               { w.shares = append(w.shares, s) }

func (w *world) CellReport(string, uint64, Report)       {}
func (w *world) OtherCellsReport(string, uint64, Report) {}
func (w *world) SourceGone(string)                       {}
func (w *world) CellsChanged()                           {}
func (w *world) Report() Report                          { return Report{LogLostFor: w.logLost} }
func (w *world) CellCounts() map[quota.Key]quota.Count   { return nil }

func newWorld(members ...string) *world {
	w := &world{now: time.Hour}
	clock := func() time.Duration { return w.now }
	w.registry = NewRegistry(clock, func(string, error) {}, func() {})
	w.register(members...)
	self := Member{Name: "self", Incarnation: 1, DataCentre: "a"}
	w.node = NewNode(self, w.registry, w, w, clock, zerolog.Nop())
	return w
}

func (w *world) register(members ...string) {
	var records []keyedlog.Record
	for _, name := range append(members, "self") {
		value, err := json.Marshal(Member{Name: name, Incarnation: 1, Address: "127.0.0.1:1"})
		if err != nil {
			panic(err)
		}
		records = append(records, keyedlog.Record{Key: name, Value: value})
	}
	w.registry.Reset(records)
}

// hear takes a datagram of another entry.
func (w *world) hear(name string, sequence uint32, hearsUs bool, change func(*message)) {
	m := &message{Name: name, Incarnation: 1, Sequence: sequence, HearsYou: hearsUs}
	if change != nil {
		change(m)
	}
	w.node.take(m)
}

func (w *world) share() Share {
	w.node.review()
	return w.shares[len(w.shares)-1]
}

func TestTheShareCountsWhomWeHearAndWhoHearsUs(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b", "c", "d")
	g.Expect(w.share().Fraction).To(gomega.Equal(0.25))
	w.hear("b", 1, true, nil)
	w.hear("c", 1, false, nil) // a cut in one direction
	s := w.share()
	g.Expect(s.Fraction).To(gomega.Equal(0.5))
	g.Expect(s.SoloFraction).To(gomega.Equal(0.25))
	g.Expect(s.ValidUntil).To(gomega.BeNumerically("<=", w.now+heardFor))
	w.now += heardFor
	g.Expect(w.share().Fraction).To(gomega.Equal(0.25), "nothing was heard of late")
}

func TestNoShareBeforeTheOthersAreKnown(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld()
	w.registry.loaded = false
	w.node.review()
	g.Expect(w.shares).To(gomega.BeEmpty())
}

func TestOldDatagramsAreDropped(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b")
	w.hear("b", 5, true, nil)
	w.hear("b", 4, true, nil)
	w.hear("b", 5, true, nil)
	g.Expect(w.reports).To(gomega.Equal(1))
	w.hear("b", 1, true, func(m *message) { m.Incarnation = 2 })
	g.Expect(w.reports).To(gomega.Equal(2))
}

func TestWhoIsAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b")
	g.Expect(w.node.Alive("self", 1)).To(gomega.BeTrue())
	g.Expect(w.node.Alive("self", 2)).To(gomega.BeFalse())
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeTrue(), "registered of late")
	g.Expect(w.node.Alive("b", 3)).To(gomega.BeFalse(), "started again since")
	g.Expect(w.node.Alive("unknown", 1)).To(gomega.BeFalse())

	w.hear("b", 1, true, nil)
	w.now += silentFor
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeFalse(), "neither heard nor registered")
	w.hear("b", 2, true, nil)
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeTrue())
	w.hear("b", 3, true, func(m *message) { m.Leaving = true })
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeFalse(), "it leaves")
	w.hear("b", 4, true, func(m *message) { m.LogLostFor = maxLogLost })
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeFalse(), "it does not reach the log")
	g.Expect(w.node.Candidates()).To(gomega.ConsistOf("self"))
}

// An entry that has started is answered before the next round of datagrams.
func TestAnEntryThatHasStartedIsAnsweredAtOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return socket
	}
	ours, theirs := listen(), listen()
	defer theirs.Close() //nolint:errcheck // nothing is sent any more
	var received sync.WaitGroup
	received.Go(func() { newWorld("b").node.receive(ours) })
	_, err := theirs.WriteTo((&message{Name: "b", Incarnation: 2, Sequence: 1}).append(nil), ours.LocalAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())

	g.Expect(theirs.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	answer := make([]byte, maxDatagram)
	size, err := theirs.Read(answer)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m, err := decode(answer[:size])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.HearsYou).To(gomega.BeTrue())
	g.Expect(ours.Close()).To(gomega.Succeed())
	received.Wait()
}

// The log was away for all: the first entry that reaches it again does not take the
// others, which still report the loss, for gone.
func TestEntriesAreAliveWhenTheLogWasAwayForAll(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b")
	lost := func(m *message) { m.LogLostFor = 2 * maxLogLost }
	w.logLost = 2 * maxLogLost
	w.node.datagram(true)
	w.now += time.Second
	w.logLost = 0
	w.node.datagram(true)
	w.hear("b", 1, true, lost)
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeTrue())
	w.now += maxLogLost
	w.hear("b", 2, true, lost)
	g.Expect(w.node.Alive("b", 1)).To(gomega.BeFalse(), "this entry has reached it for long")
}

func TestWhetherOthersReachTheLog(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b")
	g.Expect(w.node.AnyPeerReachesLog()).To(gomega.BeFalse())
	w.hear("b", 1, true, func(m *message) { m.LogLostFor = time.Second })
	g.Expect(w.node.AnyPeerReachesLog()).To(gomega.BeFalse())
	w.hear("b", 2, true, nil)
	g.Expect(w.node.AnyPeerReachesLog()).To(gomega.BeTrue())
}

// An entry that starts sends to all as soon as it knows them.
func TestTheFirstDatagramsGoToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1, 0)
	p := pacer{nearDue: true, farDue: true}
	near, far := p.due(now, false)
	g.Expect(near || far).To(gomega.BeFalse())
	g.Expect(p.next()).To(gomega.BeTemporally(">", now))
	now = now.Add(10 * time.Millisecond)
	p.changed()
	near, far = p.due(now, true)
	g.Expect(near && far).To(gomega.BeTrue())
}

func TestThePaceOfDatagrams(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1, 0)
	p := pacer{nearDue: true, farDue: true}
	p.due(now, true)
	count := func(news bool) (nears, fars int) {
		for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
			if news {
				p.changed()
			}
			if now.Before(p.next()) {
				continue
			}
			near, far := p.due(now, true)
			if near {
				nears++
			}
			if far {
				fars++
			}
		}
		return nears, fars
	}
	nears, fars := count(true)
	g.Expect(nears).To(gomega.BeNumerically("<=", 3*time.Second/nearPace+15), "near, with news all the time")
	g.Expect(fars).To(gomega.BeNumerically("<=", 3*time.Second/farPace))
	nears, fars = count(false)
	g.Expect(nears).To(gomega.BeNumerically("~", 3*time.Second/idlePace, 1))
	g.Expect(fars).To(gomega.BeNumerically("~", 3*time.Second/idlePace, 1))
}

func TestSilenceIsToldOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("b")
	w.hear("b", 1, true, nil)
	w.now += silentPeer
	w.node.review()
	w.node.review()
	g.Expect(w.silent).To(gomega.Equal([]string{"b"}))
}

// Counts that did not change are sent now and then only.
func TestCountsAreSentWhenTheyChange(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Hour
	l := newCountLog()
	all := map[quota.Key]quota.Count{1: 1, 2: 1}
	g.Expect(l.pick(all, now, true, false).Full).To(gomega.BeTrue(), "it has just started")
	counts := l.pick(all, now, false, true)
	g.Expect(counts.Full).To(gomega.BeTrue())
	g.Expect(counts.ByCustomer).To(gomega.HaveLen(2))
	now += countedFor
	all[2]++
	counts = l.pick(all, now, false, true)
	g.Expect(counts.Full).To(gomega.BeFalse())
	g.Expect(counts.ByCustomer).To(gomega.Equal(map[quota.Key]quota.Count{2: 2}))
	now += wholePace
	g.Expect(l.pick(all, now, false, false).Full).To(gomega.BeFalse(), "not to all")
	g.Expect(l.pick(all, now, false, true).Full).To(gomega.BeTrue())
	l.sendWhole()
	g.Expect(l.pick(all, now, false, true).Full).To(gomega.BeTrue(), "to an entry that is new")
}

// An entry that is new has all counts sent.
func TestAnEntryThatIsNewGetsAllCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWorld("new")
	w.node.counts.whole = w.now + time.Hour
	w.hear("new", 1, true, nil)
	g.Expect(w.node.counts.whole).To(gomega.BeZero())
}
