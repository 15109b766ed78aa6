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
	"dandelionrelay/quota"
)

// Figures of the customer whose rate the fleet keeps.
const (
	rate  = 60.0
	burst = 60.0
	slack = 20.0
)

var tolerance = quota.Tolerance{Window: 5 * time.Second, Excess: 0.1, Slack: slack}

// most is what may be admitted in any window.
const most = (rate*5+burst)*1.1 + slack

// member is one entry of a fleet, with its limits as a gateway keeps them.
type member struct {
	fleet *fleet
	node  *Node
	began time.Duration
	share Share

	limits        *quota.Table
	mates, others *quota.Tally
}

func (m *member) Report() Report {
	return Report{Counts: Counts{ByCustomer: m.limits.LocalCounts()}, OtherCells: Counts{ByCustomer: m.others.Sum(nil)}}
}
func (m *member) CellCounts() map[quota.Key]quota.Count { return m.mates.Sum(m.limits.LocalCounts()) }
func (m *member) PeerReport(name string, incarnation uint64, r Report) {
	m.mates.Add(m.limits.Observe(m.fleet.now, name, incarnation, r.Counts.ByCustomer, m.report(r, r.Counts)))
}
func (m *member) CellReport(source string, incarnation uint64, r Report) {
	m.others.Add(m.limits.Observe(m.fleet.now, source, incarnation, r.Counts.ByCustomer, m.report(r, r.Counts)))
}
func (m *member) OtherCellsReport(source string, incarnation uint64, r Report) {
	m.limits.Observe(m.fleet.now, source, incarnation, r.OtherCells.ByCustomer, m.report(r, r.OtherCells))
}
func (m *member) SourceGone(source string) { m.limits.Forget(source) }
func (m *member) PeerSilent(string)        {}
func (m *member) CellsChanged()            {}
func (m *member) ShareUpdate(s Share) {
	m.share = s
	m.limits.SetShare(quota.Share{Observed: s.Fraction, Own: s.SoloFraction, Until: s.ValidUntil})
}
func (m *member) report(r Report, c Counts) quota.Report {
	return quota.Report{Complete: c.Full, FromZero: r.Uptime < m.fleet.now-m.began+time.Second}
}

// fleet is many entries in three data centres whose datagrams arrive at once, but
// for those from and to entries that are down or cut off.
type fleet struct {
	now      time.Duration
	list     []Member
	members  []*member
	index    map[string]int
	down     map[int]bool
	parted   map[int]bool // entries on one side of a cut; both sides work
	admitted []time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Hour, index: make(map[string]int), down: make(map[int]bool), parted: make(map[int]bool)}
	for i := range n {
		name := fmt.Sprintf("entry-%03d", i)
		f.list = append(f.list, Member{Name: name, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: fmt.Sprint("dc", i%3)})
		f.index[name] = i
		f.members = append(f.members, nil)
	}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

// start starts entry i anew.
func (f *fleet) start(i int, incarnation uint64) {
	clock := func() time.Duration { return f.now }
	registry := NewRegistry(clock, func(string, error) {}, func() {})
	var records []keyedlog.Record
	for _, m := range f.list {
		record, err := EncodeMember(m)
		if err != nil {
			panic(err)
		}
		records = append(records, record)
	}
	registry.Reset(records)
	m := &member{fleet: f, began: f.now, limits: quota.NewTable(tolerance), mates: quota.NewTally(), others: quota.NewTally()}
	m.limits.SetLimits(f.now, map[string]quota.Limit{"c": {Rate: rate, Burst: burst}})
	self := f.list[i]
	self.Incarnation = incarnation
	m.node = NewNode(self, registry, m, m, clock, zerolog.Nop())
	f.members[i] = m
}

// step lets time pass; entries send at each step, and far at each second one.
func (f *fleet) step(far bool) {
	for i, m := range f.members {
		if f.down[i] {
			continue
		}
		// Registrations go on at the store.
		for name, r := range m.node.registry.members {
			r.seen = f.now
			m.node.registry.members[name] = r
		}
		near, relays := m.node.receivers(far)
		datagram := m.node.datagram(far)
		for _, to := range near {
			f.deliver(i, f.index[to.Name], datagram)
		}
		if len(relays) > 0 {
			datagram = m.node.cellDatagram()
			for _, to := range relays {
				f.deliver(i, f.index[to.Name], datagram)
			}
		}
		m.node.review()
	}
}

func (f *fleet) deliver(from, to int, datagram []byte) {
	if f.down[to] || f.parted[from] != f.parted[to] {
		return
	}
	datagram = slices.Clone(datagram)
	datagram[len(datagram)-1] = flag(f.members[from].node.hears(f.list[to].Name))
	m, err := decode(datagram)
	if err != nil {
		panic(err)
	}
	if receiver := f.members[to].node; receiver.take(m) {
		f.deliver(to, from, receiver.reply(m))
	}
}

// run lets a time pass in which a customer asks all entries that are up, perSecond
// times in all.
func (f *fleet) run(length time.Duration, perSecond float64) {
	const tick = 100 * time.Millisecond
	owed, n := 0.0, 0
	for end := f.now + length; f.now < end; f.now += tick {
		f.step(f.now%(2*tick) == 0)
		for owed += perSecond * tick.Seconds(); owed >= 1; owed-- {
			n++
			i := n * n % len(f.members)
			if !f.down[i] && f.members[i].limits.Admit(f.now, "c").Admitted {
				f.admitted = append(f.admitted, f.now)
			}
		}
	}
}

// busiest returns the most admissions in any window.
func (f *fleet) busiest() int {
	most, first := 0, 0
	for i, at := range f.admitted {
		for f.admitted[first] <= at-tolerance.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

func (f *fleet) relays() []int {
	var found []int
	for i, m := range f.members {
		if m.node.relay(f.now) == f.list[i].Name {
			found = append(found, i)
		}
	}
	return found
}

func TestSmallFleetsFormOneCell(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(smallFleet)
	f.run(time.Second, 0)
	g.Expect(f.relays()).To(gomega.BeEmpty())
	for _, m := range f.members {
		g.Expect(m.share.Fraction).To(gomega.Equal(1.0))
	}
}

// Each entry of a large fleet comes to know what all others admit, though it
// hears few of them.
func TestLargeFleetsShareRatesThroughRelays(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(45)
	f.run(3*time.Second, 0)
	cells := f.members[0].node.cells
	g.Expect(f.relays()).To(gomega.HaveLen(len(cells.members)))
	for i, m := range f.members {
		g.Expect(m.share.Fraction).To(gomega.Equal(1.0), "entry %d", i)
		near, _ := m.node.receivers(true)
		g.Expect(len(near)).To(gomega.BeNumerically("<", 3*cellSize))
	}
	g.Expect(f.members[7].limits.Admit(f.now, "c").Admitted).To(gomega.BeTrue())
	before := make(map[int]float64)
	for i, m := range f.members {
		before[i] = m.limits.Admit(f.now, "c").Level // takes one
	}
	f.run(2*time.Second, 0)
	for i, m := range f.members {
		g.Expect(m.limits.Admit(f.now, "c").Level).To(gomega.BeNumerically("<", before[i]+2*rate-100), "entry %d has heard of the others", i)
	}
}

// Whatever befalls relays and the ways between entries, a customer that sends
// many times its rate is held to it.
func TestTheBoundHoldsOverCells(t *testing.T) {
	for name, disturb := range map[string]func(f *fleet){
		"calm": func(*fleet) {},
		"relays die": func(f *fleet) {
			for _, i := range f.relays() {
				f.down[i] = true
			}
		},
		"relays start again": func(f *fleet) {
			for _, i := range f.relays() {
				f.start(i, 2)
			}
		},
		"a third starts again": func(f *fleet) {
			for i := 0; i < len(f.members); i += 3 {
				f.start(i, 2)
			}
		},
		"all start again": func(f *fleet) {
			for i := range f.members {
				f.start(i, 2)
			}
		},
		"a data centre is cut off": func(f *fleet) {
			for i := 0; i < len(f.members); i += 3 {
				f.parted[i] = true
			}
		},
		"half of each cell is cut off": func(f *fleet) {
			for i := range f.members {
				f.parted[i] = i%2 == 0
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := gomega.NewWithT(t)
			f := newFleet(45)
			f.run(3*time.Second, 0)
			f.run(6*time.Second, 4*rate)
			disturb(f)
			f.run(6*time.Second, 4*rate)
			clear(f.down)
			clear(f.parted)
			for i, m := range f.members {
				if m.node.self.Incarnation == 1 && name == "relays die" {
					f.start(i, 2)
				}
			}
			f.run(12*time.Second, 4*rate)
			g.Expect(f.busiest()).To(gomega.BeNumerically("<=", most))
			last := 0
			for _, at := range f.admitted {
				if at > f.now-tolerance.Window {
					last++
				}
			}
			g.Expect(last).To(gomega.BeNumerically(">=", 0.9*rate*5), "the rate is used again")
		})
	}
}

// A relay that is not heard any more is not sent to for ever: the next entries of
// its cell are tried.
func TestAnotherRelayIsLookedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	f := newFleet(45)
	f.run(3*time.Second, 0)
	self := f.relays()[0]
	node := f.members[self].node
	for _, i := range f.relays() {
		f.down[i] = i != self
	}
	before, _ := targetsOf(node)
	f.now += 2 * silentPeer
	tried := make(map[string]bool)
	for range 3 * roundsPerTry {
		_, names := targetsOf(node)
		for _, name := range names {
			tried[name] = true
		}
	}
	g.Expect(len(tried)).To(gomega.BeNumerically(">", before))
}

// targetsOf returns to whom a relay sends its cell's counts now.
func targetsOf(n *Node) (count int, names []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.cellTargets(n.clock()) {
		names = append(names, m.Name)
	}
	return len(names), names
}

// Endpoints of a data centre are shared out among its cells, and stay where they
// are when others come.
func TestEndpointsAreSharedOutAmongCells(t *testing.T) {
	g := gomega.NewWithT(t)
	c := newCells(newFleet(45).list)
	count := make(map[cellID]int)
	for i := range 600 {
		id := c.serving(fmt.Sprint("endpoint-", i), "dc1")
		g.Expect(id.dataCentre).To(gomega.Equal("dc1"))
		count[id]++
	}
	g.Expect(count).To(gomega.HaveLen(len(c.byPlace["dc1"])))
	for id, n := range count {
		g.Expect(n).To(gomega.BeNumerically("~", 600/len(count), 60), id.String())
	}
	g.Expect(c.serving("x", "without entries")).To(gomega.BeElementOf(slices.Collect(maps.Keys(c.members))))
}
