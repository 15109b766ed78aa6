package gossip

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/keyedlog"
	"dandelionrelay/origin"
	"dandelionrelay/quota"
)

// Limits of the customer whose requests the simulated fleet admits.
const (
	testRate  = 60.0
	testBurst = 60.0
	testSlack = 20.0
)

var tolerance = quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: testSlack}

// maxPerWindow is the maximum number of admissions in any window of tolerance.Window.
const maxPerWindow = (testRate*5+testBurst)*1.1 + testSlack

// simEntry is one entry of a simulated fleet. It keeps its limits as a gateway does.
type simEntry struct {
	fleet   *simFleet
	node    *Node
	started time.Duration
	share   Share

	limits           *quota.Table
	cell, otherCells *quota.Tally

	registry   *Registry
	read       int           // number of registrations read from the store
	nextRead   time.Duration // clock of the next read
	registerAt time.Duration // clock of the next registration
}

func (m *simEntry) Report() Report {
	return Report{Counts: Counts{ByCustomer: m.limits.LocalCounts()}, OtherCells: Counts{ByCustomer: m.otherCells.Sum(nil)}}
}
func (m *simEntry) CellCounts() map[quota.Key]quota.Count { return m.cell.Sum(m.limits.LocalCounts()) }
func (m *simEntry) PeerReport(name string, incarnation uint64, r Report) {
	m.cell.Add(m.limits.Observe(m.fleet.now, name, incarnation, r.Counts.ByCustomer, m.report(r, r.Counts)))
}
func (m *simEntry) CellReport(source string, incarnation uint64, r Report) {
	m.otherCells.Add(m.limits.Observe(m.fleet.now, source, incarnation, r.Counts.ByCustomer, m.report(r, r.Counts)))
}
func (m *simEntry) OtherCellsReport(source string, incarnation uint64, r Report) {
	m.limits.Observe(m.fleet.now, source, incarnation, r.OtherCells.ByCustomer, m.report(r, r.OtherCells))
}
func (m *simEntry) SourceEnded(source string)                  { m.limits.Forget(source) }
func (m *simEntry) PeerConfirmed(string, int64, time.Duration) {}
func (m *simEntry) PeerTimedOut(string)                        {}
func (m *simEntry) CellsChanged()                              {}
func (m *simEntry) StreamBegan(string, origin.Origin)          {}

func (m *simEntry) ShareUpdate(s Share) {
	m.share = s
	m.limits.SetShare(quota.Share{Observed: s.Observed, Own: s.Own, ValidUntil: s.ValidUntil})
}
func (m *simEntry) report(r Report, c Counts) quota.Report {
	return quota.Report{Full: c.Full, FromZero: r.Uncounted && r.Uptime < m.fleet.now-m.started+time.Second}
}

// simFleet simulates entries in three data centres. Datagrams arrive without delay.
// Those to entries that are down or on the other side of a network partition are lost.
type simFleet struct {
	now         time.Duration
	registered  []Member
	entries     []*simEntry
	index       map[string]int
	down        map[int]bool
	partitioned map[int]bool // entries on one side of a network partition; entries of both sides run
	storeCut    map[int]bool // entries that can't reach the store
	store       []keyedlog.Record
	admitted    []time.Duration
	sent        int // requests of runWaves
}

func newSimFleet(n int) *simFleet {
	f := &simFleet{now: time.Hour, index: make(map[string]int), down: make(map[int]bool), partitioned: make(map[int]bool), storeCut: make(map[int]bool)}
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		f.registered = append(f.registered, Member{Name: name, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: fmt.Sprint("dc", i%3)})
		f.index[name] = i
		f.entries = append(f.entries, nil)
		f.store = append(f.store, f.record(i))
	}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

// start replaces entry i with a newly started one.
func (f *simFleet) start(i int, incarnation uint64) {
	clock := func() time.Duration { return f.now }
	registry := NewRegistry(clock, func(string, error) {}, func() {})
	newest := make(map[string]keyedlog.Record)
	for _, r := range f.store {
		newest[r.Key] = r
	}
	registry.Reset(slices.Collect(maps.Values(newest)))
	m := &simEntry{fleet: f, started: f.now, registry: registry, read: len(f.store), limits: quota.NewTable(tolerance), cell: quota.NewTally(), otherCells: quota.NewTally()}
	m.limits.SetLimits(f.now, map[string]quota.Limit{"c": {Rate: testRate, Burst: testBurst}})
	f.registered[i].Incarnation = incarnation
	self := f.registered[i]
	m.node = NewNode(self, registry, m, m, clock, zerolog.Nop())
	f.entries[i] = m
}

// record returns the registration of entry i.
func (f *simFleet) record(i int) keyedlog.Record {
	r, err := EncodeMember(f.registered[i])
	if err != nil {
		panic(err)
	}
	return r
}

// useStore makes entry i register and read the registrations, each if it is due.
func (f *simFleet) useStore(i int) {
	const readInterval = 1500 * time.Millisecond
	m := f.entries[i]
	if f.storeCut[i] {
		return
	}
	if f.now >= m.registerAt {
		m.registerAt = f.now + RegistrationInterval
		f.store = append(f.store, f.record(i))
	}
	if f.now >= m.nextRead {
		m.nextRead = f.now + readInterval
		m.registry.Apply(f.store[m.read:])
		m.read = len(f.store)
	}
}

// step makes each entry that is up send a round of datagrams, with remote also to
// other data centres and cells, and update its peers.
func (f *simFleet) step(remote bool) {
	for i, m := range f.entries {
		if f.down[i] {
			continue
		}
		f.useStore(i)
		entries, cellTargets := m.node.recipients(remote)
		d := m.node.datagram(remote)
		for _, to := range entries {
			f.deliver(i, f.index[to.Name], d)
		}
		if len(cellTargets) > 0 {
			d = m.node.cellDatagram()
			for _, to := range cellTargets {
				f.deliver(i, f.index[to.Name], d)
			}
		}
		m.node.updatePeers()
	}
}

func (f *simFleet) deliver(from, to int, d datagram) {
	if f.down[to] || f.partitioned[from] != f.partitioned[to] {
		return
	}
	d.bytes = slices.Clone(d.bytes)
	d.setReceiverFields(f.entries[from].node.receiverFields(f.registered[to].Name, d.measuredAt))
	m, err := decode(d.bytes)
	if err != nil {
		panic(err)
	}
	if receiver := f.entries[to].node; receiver.handle(m) {
		f.deliver(to, from, receiver.reply(m))
	}
}

// run advances the clock by length. Meanwhile a customer sends perSecond requests in
// total, spread over the entries; requests to entries that are down are lost.
func (f *simFleet) run(length time.Duration, perSecond float64) {
	const tick = 100 * time.Millisecond
	pending, n := 0.0, 0
	for end := f.now + length; f.now < end; f.now += tick {
		f.step(f.now%(2*tick) == 0)
		for pending += perSecond * tick.Seconds(); pending >= 1; pending-- {
			n++
			i := n * n % len(f.entries)
			if !f.down[i] && f.entries[i].limits.Admit(f.now, "c").Admitted {
				f.admitted = append(f.admitted, f.now)
			}
		}
	}
}

// maxInWindow returns the maximum number of admissions in any window of
// tolerance.Window.
func (f *simFleet) maxInWindow() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for f.admitted[first] <= at-tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *simFleet) relays() []int {
	var found []int
	for i, m := range f.entries {
		if m.node.relay(f.now) == f.registered[i].Name {
			found = append(found, i)
		}
	}
	return found
}

func TestCellsSmallFleetIsSingleCell(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSimFleet(maxSingleCellEntries)
	f.run(time.Second, 0)
	g.Expect(f.relays()).To(gomega.BeEmpty())
	for _, m := range f.entries {
		g.Expect(m.share.Observed).To(gomega.Equal(1.0))
	}
}

// Each entry of a large fleet learns the admissions of all other entries through the
// relays, although it exchanges datagrams with few of them.
func TestRelaysShareCountsAcrossLargeFleet(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSimFleet(45)
	f.run(3*time.Second, 0)
	cells := f.entries[0].node.cells
	g.Expect(f.relays()).To(gomega.HaveLen(len(cells.members)))
	for i, m := range f.entries {
		g.Expect(m.share.Observed).To(gomega.Equal(1.0), "entry %d", i)
		entries, _ := m.node.recipients(true)
		g.Expect(len(entries)).To(gomega.BeNumerically("<", 3*targetCellSize))
	}
	g.Expect(f.entries[7].limits.Admit(f.now, "c").Admitted).To(gomega.BeTrue())
	before := make(map[int]float64)
	for i, m := range f.entries {
		before[i] = m.limits.Admit(f.now, "c").Level // takes one
	}
	f.run(2*time.Second, 0)
	for i, m := range f.entries {
		g.Expect(m.limits.Admit(f.now, "c").Level).To(gomega.BeNumerically("<", before[i]+2*testRate-100), "entry %d counts the admissions of the others", i)
	}
}

// A customer that sends four times its rate stays within the bound when entries and
// relays stop or restart and when the network is partitioned, and gets its full rate
// again afterwards.
func TestRateBoundHoldsAcrossCells(t *testing.T) {
	for name, disturb := range map[string]func(f *simFleet){
		"no disturbance": func(*simFleet) {},
		"relays stop": func(f *simFleet) {
			for _, i := range f.relays() {
				f.down[i] = true
			}
		},
		"relays restart": func(f *simFleet) {
			for _, i := range f.relays() {
				f.start(i, 2)
			}
		},
		"a third of the entries restarts": func(f *simFleet) {
			for i := 0; i < len(f.entries); i += 3 {
				f.start(i, 2)
			}
		},
		"all entries restart": func(f *simFleet) {
			for i := range f.entries {
				f.start(i, 2)
			}
		},
		"a data centre is partitioned": func(f *simFleet) {
			for i := 0; i < len(f.entries); i += 3 {
				f.partitioned[i] = true
			}
		},
		"half of each cell is partitioned": func(f *simFleet) {
			for i := range f.entries {
				f.partitioned[i] = i%2 == 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newSimFleet(45)
			f.run(3*time.Second, 0)
			f.run(6*time.Second, 4*testRate)
			disturb(f)
			f.run(6*time.Second, 4*testRate)
			clear(f.down)
			clear(f.partitioned)
			for i, m := range f.entries {
				if m.node.self.Incarnation == 1 && name == "relays stop" {
					f.start(i, 2)
				}
			}
			f.run(12*time.Second, 4*testRate)
			g.Expect(f.maxInWindow()).To(gomega.BeNumerically("<=", maxPerWindow))
			last := 0
			for _, at := range f.admitted {
				if at > f.now-tolerance.Window {
					last++
				}
			}
			g.Expect(last).To(gomega.BeNumerically(">=", 0.9*testRate*5), "the full rate is admitted again")
		})
	}
}

// When the relay of another cell has timed out, the other entries of that cell are
// tried in turn.
func TestRelayTriesNextEntryOfTimedOutCell(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newSimFleet(45)
	f.run(3*time.Second, 0)
	self := f.relays()[0]
	node := f.entries[self].node
	for _, i := range f.relays() {
		f.down[i] = i != self
	}
	before, _ := cellTargetNames(node)
	f.now += 2 * peerTimeout
	tried := make(map[string]bool)
	for range 3 * roundsPerCandidate {
		_, names := cellTargetNames(node)
		for _, name := range names {
			tried[name] = true
		}
	}
	g.Expect(len(tried)).To(gomega.BeNumerically(">", before))
}

// cellTargetNames returns the number and the names of the entries to which a relay
// sends its cell's counts now.
func cellTargetNames(n *Node) (count int, names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.cellTargets(n.clock()) {
		names = append(names, m.Name)
	}
	return len(names), names
}
