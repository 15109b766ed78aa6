package gossip

import (
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/keyedlog"
	"dandelionrelay/origin"
	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

func sampleMessage() *message {
	return &message{
		Incarnation: 7, Sequence: 9, Name: "one",
		receiverFields: receiverFields{HearsReceiver: true, Echo: echo{Incarnation: 3, Uptime: 1 << 32 * time.Millisecond, Age: 70 * time.Millisecond}},
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
			Config:         Confirmation{Next: 1 << 33, Age: 350 * time.Millisecond},
		},
	}
}

func TestMessageRoundTrip(t *testing.T) {
	g := gomega.NewWithT(t)
	got, err := decode(sampleMessage().append(nil))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(sampleMessage()))
}

// Ramps must not be lost or read as other fields, and bounds out of range are rejected.
func TestMessageRoundTrip_WithRamps(t *testing.T) {
	g := gomega.NewWithT(t)
	m := sampleMessage()
	m.Endpoints.Ramps = map[placement.Key]placement.Ramp{3: {Round: 1 << 31, Base: 2, Grown: 5}, 8: {Round: 1, Base: 1}}
	whole := m.append(nil)
	got, err := decode(whole)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(m))
	for n := range whole {
		_, err := decode(whole[:n])
		g.Expect(err).To(gomega.HaveOccurred(), "%d of %d bytes", n, len(whole))
	}
	m.Endpoints.Ramps[3] = placement.Ramp{Base: maxReportedRamp + 1}
	_, err = decode(m.append(nil))
	g.Expect(errorx.IsOfType(err, Malformed)).To(gomega.BeTrue())
}

func TestDecodeRejectsTruncatedDatagram(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := sampleMessage().append(nil)
	for n := range whole {
		_, err := decode(whole[:n])
		g.Expect(err).To(gomega.HaveOccurred(), "%d of %d bytes", n, len(whole))
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(sampleMessage().append(nil))
	f.Fuzz(func(_ *testing.T, b []byte) { _, _ = decode(b) })
}

// testNode is one node with a clock of its own. It implements Reporter and Listener.
type testNode struct {
	now        time.Duration
	registry   *Registry
	node       *Node
	shares     []Share
	timedOut   []string
	reports    int
	logLostFor time.Duration // of the node itself
	config     Confirmation  // of the node itself
	confirmed  []confirmation
	streams    []streamMessage
}

// confirmation holds the arguments of a call of PeerConfirmed.
type confirmation struct {
	next int64
	at   time.Duration
}

func (tn *testNode) PeerReport(string, uint64, Report) { tn.reports++ }
func (tn *testNode) PeerTimedOut(name string)          { tn.timedOut = append(tn.timedOut, name) }
func (tn *testNode) StreamBegan(id string, o origin.Origin) {
	tn.streams = append(tn.streams, streamMessage{id, o})
}
func (tn *testNode) ShareUpdate(s Share) { tn.shares = append(tn.shares, s) }

func (tn *testNode) CellReport(string, uint64, Report)       {}
func (tn *testNode) OtherCellsReport(string, uint64, Report) {}
func (tn *testNode) SourceEnded(string)                      {}
func (tn *testNode) PeerConfirmed(_ string, next int64, confirmed time.Duration) {
	tn.confirmed = append(tn.confirmed, confirmation{next, confirmed})
}
func (tn *testNode) CellsChanged()                         {}
func (tn *testNode) Report() Report                        { return Report{LogLostFor: tn.logLostFor, Config: tn.config} }
func (tn *testNode) CellCounts() map[quota.Key]quota.Count { return nil }

func newTestNode(members ...string) *testNode {
	tn := &testNode{now: time.Hour}
	clock := func() time.Duration { return tn.now }
	tn.registry = NewRegistry(clock, func(string, error) {}, func() {})
	tn.register(members...)
	self := Member{Name: "self", Incarnation: 1, DataCentre: "a"}
	tn.node = NewNode(self, tn.registry, tn, tn, clock, zerolog.Nop())
	return tn
}

func (tn *testNode) register(members ...string) {
	var records []keyedlog.Record
	for _, name := range append(members, "self") {
		value, err := json.Marshal(Member{Name: name, Incarnation: 1, Address: "127.0.0.1:1"})
		if err != nil {
			panic(err)
		}
		records = append(records, keyedlog.Record{Key: name, Value: value})
	}
	tn.registry.Reset(records)
}

// receiveFrom passes a datagram of another entry to the node.
func (tn *testNode) receiveFrom(name string, sequence uint32, hearsSelf bool, change func(*message)) {
	m := &message{Name: name, Incarnation: 1, Sequence: sequence, receiverFields: receiverFields{HearsReceiver: hearsSelf}}
	if change != nil {
		change(m)
	}
	tn.node.handle(m)
}

func (tn *testNode) latestShare() Share {
	tn.node.updatePeers()
	return tn.shares[len(tn.shares)-1]
}

func TestShareCountsEntriesInMutualContact(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b", "c", "d")
	g.Expect(tn.latestShare().Observed).To(gomega.Equal(0.25))
	tn.receiveFrom("b", 1, true, nil)
	tn.receiveFrom("c", 1, false, nil) // packets are lost in one direction
	s := tn.latestShare()
	g.Expect(s.Observed).To(gomega.Equal(0.5))
	g.Expect(s.Own).To(gomega.Equal(0.25))
	g.Expect(s.ValidUntil).To(gomega.BeNumerically("<=", tn.now+contactTimeout))
	tn.now += contactTimeout
	g.Expect(tn.latestShare().Observed).To(gomega.Equal(0.25), "no datagram within contactTimeout")
}

func TestShareIsNotReportedBeforeRegistryIsLoaded(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode()
	tn.registry.loaded = false
	tn.node.updatePeers()
	g.Expect(tn.shares).To(gomega.BeEmpty())
}

func TestNodeDropsOldDatagrams(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b")
	tn.receiveFrom("b", 5, true, nil)
	tn.receiveFrom("b", 4, true, nil)
	tn.receiveFrom("b", 5, true, nil)
	g.Expect(tn.reports).To(gomega.Equal(1))
	tn.receiveFrom("b", 1, true, func(m *message) { m.Incarnation = 2 })
	g.Expect(tn.reports).To(gomega.Equal(2))
}

func TestNodeAlive(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b")
	g.Expect(tn.node.Alive("self", 1)).To(gomega.BeTrue())
	g.Expect(tn.node.Alive("self", 2)).To(gomega.BeFalse())
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeTrue(), "registered within registrationTimeout")
	g.Expect(tn.node.Alive("b", 3)).To(gomega.BeFalse(), "another incarnation")
	g.Expect(tn.node.Alive("unknown", 1)).To(gomega.BeFalse())

	tn.receiveFrom("b", 1, true, nil)
	tn.now += registrationTimeout
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeFalse(), "neither in contact nor registered")
	tn.receiveFrom("b", 2, true, nil)
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeTrue())
	tn.receiveFrom("b", 3, true, func(m *message) { m.Leaving = true })
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeFalse(), "leaving")
	tn.receiveFrom("b", 4, true, func(m *message) { m.LogLostFor = maxLogOutage })
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeFalse(), "log unreachable for maxLogOutage")
	g.Expect(tn.node.Candidates()).To(gomega.ConsistOf("self"))
}

// An entry that has just started gets a reply before the next round of datagrams.
func TestNodeRepliesAtOnceToStartedEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	listen := func() *net.UDPConn {
		socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return socket
	}
	ours, theirs := listen(), listen()
	defer theirs.Close() //nolint:errcheck // nothing is sent any more
	var receiver sync.WaitGroup
	receiver.Go(func() { newTestNode("b").node.receive(ours) })
	_, err := theirs.WriteTo((&message{Name: "b", Incarnation: 2, Sequence: 1}).append(nil), ours.LocalAddr())
	g.Expect(err).NotTo(gomega.HaveOccurred())

	g.Expect(theirs.SetReadDeadline(time.Now().Add(10 * time.Second))).To(gomega.Succeed())
	reply := make([]byte, maxDatagram)
	size, err := theirs.Read(reply)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	m, err := decode(reply[:size])
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(m.HearsReceiver).To(gomega.BeTrue())
	g.Expect(ours.Close()).To(gomega.Succeed())
	receiver.Wait()
}

// After an outage of the log for all entries, the first entry that reaches it again
// must not report the others, which still report the outage, as not alive.
func TestNodeAliveAfterLogOutageOfAllEntries(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b")
	lost := func(m *message) { m.LogLostFor = 2 * maxLogOutage }
	tn.logLostFor = 2 * maxLogOutage
	tn.node.datagram(true)
	tn.now += time.Second
	tn.logLostFor = 0
	tn.node.datagram(true)
	tn.receiveFrom("b", 1, true, lost)
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeTrue())
	tn.now += maxLogOutage
	tn.receiveFrom("b", 2, true, lost)
	g.Expect(tn.node.Alive("b", 1)).To(gomega.BeFalse(), "this entry has reached the log for maxLogOutage")
}

func TestNodeAnyPeerReachesLog(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b")
	g.Expect(tn.node.AnyPeerReachesLog()).To(gomega.BeFalse())
	tn.receiveFrom("b", 1, true, func(m *message) { m.LogLostFor = time.Second })
	g.Expect(tn.node.AnyPeerReachesLog()).To(gomega.BeFalse())
	tn.receiveFrom("b", 2, true, nil)
	g.Expect(tn.node.AnyPeerReachesLog()).To(gomega.BeTrue())
}

// An entry that starts sends to all others as soon as it has loaded the registrations.
func TestSendSchedulerFirstDatagramsGoToAll(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1, 0)
	s := sendScheduler{localPending: true, remotePending: true}
	local, remote := s.due(now, false)
	g.Expect(local || remote).To(gomega.BeFalse())
	g.Expect(s.nextDue()).To(gomega.BeTemporally(">", now))
	now = now.Add(10 * time.Millisecond)
	s.markPending()
	local, remote = s.due(now, true)
	g.Expect(local && remote).To(gomega.BeTrue())
}

func TestSendSchedulerIntervals(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Unix(1, 0)
	s := sendScheduler{localPending: true, remotePending: true}
	s.due(now, true)
	count := func(changes bool) (locals, remotes int) {
		for end := now.Add(3 * time.Second); now.Before(end); now = now.Add(time.Millisecond) {
			if changes {
				s.markPending()
			}
			if now.Before(s.nextDue()) {
				continue
			}
			local, remote := s.due(now, true)
			if local {
				locals++
			}
			if remote {
				remotes++
			}
		}
		return locals, remotes
	}
	locals, remotes := count(true)
	g.Expect(locals).To(gomega.BeNumerically("<=", 3*time.Second/localInterval+15), "local, with changes all the time")
	g.Expect(remotes).To(gomega.BeNumerically("<=", 3*time.Second/remoteInterval))
	locals, remotes = count(false)
	g.Expect(locals).To(gomega.BeNumerically("~", 3*time.Second/heartbeatInterval, 1))
	g.Expect(remotes).To(gomega.BeNumerically("~", 3*time.Second/heartbeatInterval, 1))
}

func TestNodeReportsTimedOutPeerOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("b")
	tn.receiveFrom("b", 1, true, nil)
	tn.now += peerTimeout
	tn.node.updatePeers()
	tn.node.updatePeers()
	g.Expect(tn.timedOut).To(gomega.Equal([]string{"b"}))
}

// Counts that did not change are only sent every fullCountsInterval.
func TestCountSelectorSendsChangedCounts(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Hour
	selector := newCountSelector()
	all := map[quota.Key]quota.Count{1: 1, 2: 1}
	g.Expect(selector.selectCounts(all, now, true, false).Full).To(gomega.BeTrue(), "starting up")
	counts := selector.selectCounts(all, now, false, true)
	g.Expect(counts.Full).To(gomega.BeTrue())
	g.Expect(counts.ByCustomer).To(gomega.HaveLen(2))
	now += countRepeatPeriod
	all[2]++
	counts = selector.selectCounts(all, now, false, true)
	g.Expect(counts.Full).To(gomega.BeFalse())
	g.Expect(counts.ByCustomer).To(gomega.Equal(map[quota.Key]quota.Count{2: 2}))
	now += fullCountsInterval
	g.Expect(selector.selectCounts(all, now, false, false).Full).To(gomega.BeFalse(), "not to all recipients")
	g.Expect(selector.selectCounts(all, now, false, true).Full).To(gomega.BeTrue())
	selector.scheduleFull()
	g.Expect(selector.selectCounts(all, now, false, true).Full).To(gomega.BeTrue(), "after scheduleFull")
}

// The first datagram of a new entry makes the node send all counts.
func TestNodeSendsAllCountsToNewEntry(t *testing.T) {
	g := gomega.NewWithT(t)
	tn := newTestNode("new")
	tn.node.ownCounts.nextFull = tn.now + time.Hour
	tn.receiveFrom("new", 1, true, nil)
	g.Expect(tn.node.ownCounts.nextFull).To(gomega.BeZero())
}
