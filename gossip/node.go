package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/quota"
)

// Intervals of datagrams.
const (
	// nearPace is the least time between two datagrams to an entry of the same
	// data centre: a few steps of an engine.
	nearPace = 30 * time.Millisecond
	// farPace is the same for other data centres, between which bytes are dear.
	farPace = 200 * time.Millisecond
	// idlePace is the longest time without a datagram.
	idlePace = 250 * time.Millisecond
	// heardFor is for how long an entry counts as heard after a datagram: two
	// may be lost in a row.
	heardFor = 3*idlePace - 50*time.Millisecond
	// youngFor is for how long after its start an entry sends all counts: others
	// may have started with it and know nothing yet.
	youngFor = 5 * time.Second
	// silentPeer is when the load that an entry reported is forgotten.
	silentPeer = 1500 * time.Millisecond
	// maxLogLost is for how long an entry may be without the log before others
	// take over what it owns.
	maxLogLost = 2500 * time.Millisecond
)

// Source tells what an entry reports.
type Source interface {
	// Report returns the report of this entry; of Counts and Outside all
	// customers.
	Report() Report
	// CellCounts returns the admissions of this entry's cell by customer.
	CellCounts() map[quota.Key]quota.Count
}

// Listener takes what other entries report.
type Listener interface {
	// PeerReport is called with each newer report of another entry of the cell.
	PeerReport(name string, incarnation uint64, r Report)
	// CellReport is called with the counts of another cell, if this entry is its
	// cell's relay. source names them: counts of two sources can't be compared.
	CellReport(source string, incarnation uint64, r Report)
	// OutsideReport is called with the counts of all other cells that the relay of
	// this cell passes on.
	OutsideReport(source string, incarnation uint64, r Report)
	// SourceGone is called when a source of either kind is not used any more.
	SourceGone(source string)
	// CellsChanged is called when other entries belong to the cells, or other
	// cells exist.
	CellsChanged()
	// PeerSilent is called when an entry has not been heard for long.
	PeerSilent(name string)
	// Share is called several times a second with this entry's part of the
	// fleet.
	Share(s Share)
}

// Share is the part of the fleet's limits that an entry may count on.
type Share struct {
	Part  float64       // of the entries that it hears and is heard by, itself included
	Alone float64       // of itself alone
	Until time.Duration // clock after which only Alone is certain
}

// peer is what a Node knows of another entry.
type peer struct {
	incarnation uint64
	sequence    uint32
	last        time.Duration // clock at its newest datagram
	hearsUs     bool
	leaving     bool
	logLost     time.Duration
	covers      int // entries of other cells that it knows, as a relay
	silent      bool
}

// note takes what a datagram says of its sender. It reports whether it is newer
// than those before, and whether the sender has started or is back.
func (p *peer) note(m *message, now time.Duration) (fresh, back bool) {
	if p.incarnation == m.Incarnation && int32(m.Sequence-p.sequence) <= 0 {
		return false, false
	}
	back = p.silent || p.incarnation != m.Incarnation
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	p.last = now
	p.silent = false
	p.leaving = m.Leaving
	p.logLost = m.LogLost
	p.hearsUs = m.HearsYou
	p.covers = m.Covers
	return true, back
}

// Node sends and receives datagrams of one entry.
type Node struct {
	self     Member
	registry *Registry
	source   Source
	listener Listener
	clock    boottime.Clock
	log      zerolog.Logger
	changed  chan struct{}
	started  time.Duration

	mu       sync.Mutex
	sequence uint32
	peers    map[string]*peer
	share    float64
	leaving  bool
	counts   *countLog // of this entry

	cells       *cells // nil before the first look
	members     int    // of which cells was made
	changes     int    // of the registry, then
	others      map[cellID]*otherCell
	outside     *countLog // of other cells, for this one
	cellCounts  *countLog // of this cell, for others
	following   string    // the relay of this cell
	followEpoch int       // since when
	epoch       int       // counts changes of relays
	ended       []string  // sources to forget
}

// young reports whether this entry has started of late.
func (n *Node) young(now time.Duration) bool { return now-n.started < youngFor }

// NewNode returns a Node of the entry self. source is asked for each datagram.
func NewNode(self Member, registry *Registry, source Source, l Listener, clock boottime.Clock, log zerolog.Logger) *Node {
	return &Node{
		self:     self,
		registry: registry,
		source:   source,
		listener: l,
		clock:    clock,
		log:      log,
		changed:  make(chan struct{}, 1),
		started:  clock(),
		peers:    make(map[string]*peer),
		others:   make(map[cellID]*otherCell),

		counts:     newCountLog(),
		outside:    newCountLog(),
		cellCounts: newCountLog(),
	}
}

// Changed has the next datagrams sent soon. It never blocks.
func (n *Node) Changed() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run exchanges datagrams over socket until ctx ends, then closes it.
func (n *Node) Run(ctx context.Context, socket *net.UDPConn) {
	var wg sync.WaitGroup
	wg.Go(func() { n.receive(socket) })
	n.send(ctx, socket)
	_ = socket.Close()
	wg.Wait()
}

// send sends datagrams when the report has changed, and now and then.
func (n *Node) send(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var near, far time.Time // of the newest datagrams
	nearDue, farDue := true, true
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
			nearDue, farDue = true, true
		case <-timer.C:
		}
		now := time.Now()
		nearNow := nearDue && now.Sub(near) >= nearPace || now.Sub(near) >= idlePace
		farNow := farDue && now.Sub(far) >= farPace || now.Sub(far) >= idlePace
		if nearNow || farNow {
			n.broadcast(socket, farNow)
			n.review()
			near, nearDue = now, false
		}
		if farNow {
			far, farDue = now, false
		}
		timer.Reset(time.Until(nextSend(near, far, nearDue, farDue)))
	}
}

// nextSend returns when the next datagram is due without a further change.
func nextSend(near, far time.Time, nearDue, farDue bool) time.Time {
	next := near.Add(idlePace)
	if nearDue {
		next = near.Add(nearPace)
	}
	other := far.Add(idlePace)
	if farDue {
		other = far.Add(farPace)
	}
	if other.Before(next) {
		return other
	}
	return next
}

// broadcast sends the present report to the entries of this cell in this data
// centre, and with far to those in others and to other cells.
func (n *Node) broadcast(socket *net.UDPConn, far bool) {
	near, cellTargets := n.receivers(far)
	datagram := n.datagram(far)
	for _, m := range near {
		n.sendTo(socket, datagram, m.Name, n.address(m))
	}
	if len(cellTargets) == 0 {
		return
	}
	datagram = n.cellDatagram()
	for _, m := range cellTargets {
		n.sendTo(socket, datagram, m.Name, n.address(m))
	}
}

// receivers returns to whom this entry's report goes, and to whom that of its
// cell.
func (n *Node) receivers(far bool) (entries, relays []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refreshCells()
	for _, m := range n.mates() {
		if m.Name != n.self.Name && (m.DataCentre == n.self.DataCentre || far) {
			entries = append(entries, m)
		}
	}
	if far {
		relays = n.cellTargets(n.clock())
	}
	return entries, relays
}

// refreshCells takes the present members into account. The caller holds the lock.
func (n *Node) refreshCells() {
	members := n.registry.Members()
	changes := n.registry.Changes()
	if n.cells != nil && len(members) == n.members && changes == n.changes {
		return
	}
	n.members, n.changes = len(members), changes
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == n.self.Name }) {
		members = append(members, n.self)
	}
	next := newCells(members)
	if next.equal(n.cells) {
		n.cells.members = next.members // addresses may have changed
		return
	}
	n.cells = next
	n.ended = append(n.ended, n.dropOthers()...)
	go n.listener.CellsChanged()
}

// Serves reports whether this entry's cell uses an endpoint of a data centre.
func (n *Node) Serves(endpoint, dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cells == nil || n.cells.single() {
		return true
	}
	return n.cells.serving(endpoint, dataCentre) == n.cells.of[n.self.Name]
}

// address returns where a member takes datagrams; not valid if that can't be
// read.
func (n *Node) address(m Member) netip.AddrPort {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		n.log.Warn().Err(err).Str("peer", m.Name).Msg("registered address can't be read")
	}
	return addr
}

// message returns a new message without what it reports. The caller holds the
// lock.
func (n *Node) message() *message {
	n.sequence++
	m := &message{Incarnation: n.self.Incarnation, Name: n.self.Name, Sequence: n.sequence}
	m.Uptime = n.clock() - n.started
	return m
}

// datagram encodes the present report, to be sent to all entries of the cell or
// only to some.
func (n *Node) datagram(toAll bool) []byte {
	report := n.source.Report()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.leaving = report.Leaving
	m := n.message()
	report.Uptime = m.Uptime
	report.Counts = n.counts.pick(report.Counts.ByCustomer, now, n.young(now), toAll)
	if n.relay(now) == n.self.Name {
		report.Outside = n.outside.pick(report.Outside.ByCustomer, now, n.young(now), toAll)
		report.Covers = n.outsideKnown(now)
	} else {
		report.Outside = Counts{}
	}
	m.Report = report
	return m.append(make([]byte, 0, 512))
}

// sendTo sends a datagram to another entry, after noting in it whether that
// entry is heard.
func (n *Node) sendTo(socket *net.UDPConn, datagram []byte, name string, to netip.AddrPort) {
	if !to.IsValid() {
		return
	}
	datagram[len(datagram)-1] = flag(n.hears(name))
	if _, err := socket.WriteToUDPAddrPort(datagram, to); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Debug().Err(err).Str("peer", name).Msg("datagram not sent")
	}
}

// hears reports whether another entry was heard of late.
func (n *Node) hears(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	if p == nil && n.cells != nil {
		if o := n.others[n.cells.of[name]]; o != nil {
			p = o.relays[name]
		}
	}
	return p != nil && n.clock()-p.last < heardFor
}

// receive reads datagrams until the socket is closed.
func (n *Node) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Debug().Err(err).Msg("datagram not received")
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil {
			n.log.Warn().Err(err).Int("bytes", size).Msg("datagram dropped")
			continue
		}
		if n.take(m) {
			// It learns at once that it is heard, so that both soon count on
			// each other.
			n.sendTo(socket, n.reply(m), m.Name, from)
			n.Changed()
		}
	}
}

// reply encodes a report of the kind of m.
func (n *Node) reply(m *message) []byte {
	if m.Cell {
		return n.cellDatagram()
	}
	return n.datagram(false)
}

// take notes a datagram, unless a newer one came before. It reports whether the
// sender has started or is back.
func (n *Node) take(m *message) bool {
	if m.Name == n.self.Name {
		return false
	}
	if m.Cell {
		return n.takeCellReport(m)
	}
	n.mu.Lock()
	p := n.peers[m.Name]
	if p == nil {
		p = &peer{}
		n.peers[m.Name] = p
	}
	fresh, back := p.note(m, n.clock())
	if back {
		n.counts.sendWhole()
		n.outside.sendWhole()
	}
	gone := n.followRelay(n.clock())
	source := ""
	if n.following == m.Name {
		source = n.outsideSource()
	}
	n.mu.Unlock()
	n.forget(gone)
	if !fresh {
		return false
	}
	if back {
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Msg("entry heard")
	}
	n.listener.PeerReport(m.Name, m.Incarnation, m.Report)
	if source != "" {
		n.listener.OutsideReport(source, m.Incarnation, m.Report)
	}
	return back
}

func (n *Node) takeCellReport(m *message) bool {
	n.mu.Lock()
	source, gone, back := n.takeCell(m)
	n.mu.Unlock()
	if gone != "" {
		n.listener.SourceGone(gone)
	}
	if back {
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Int("covers", m.Covers).Msg("relay of another cell heard")
	}
	if source != "" {
		n.listener.CellReport(source, m.Incarnation, m.Report)
	}
	return back
}

func (n *Node) forget(sources []string) {
	for _, s := range sources {
		n.listener.SourceGone(s)
	}
}

// review notes who has fallen silent and works out this entry's share, once it
// knows how many entries there are.
func (n *Node) review() {
	if !n.registry.Loaded() {
		return
	}
	members := n.registry.Members()
	var silent []string
	n.mu.Lock()
	n.refreshCells()
	now := n.clock()
	gone := append(n.ended, n.followRelay(now)...)
	n.ended = nil
	mutual := n.mutualMates(now) + n.outsideKnown(now)
	for name, p := range n.peers {
		if now-p.last >= silentPeer && !p.silent {
			p.silent = true
			silent = append(silent, name)
		}
	}
	known := max(mutual, len(members))
	share := float64(mutual) / float64(known)
	changed := share != n.share
	n.share = share
	relay := n.following
	n.mu.Unlock()
	n.forget(gone)
	n.listener.Share(Share{Part: share, Alone: 1 / float64(known), Until: now + heardFor})
	for _, name := range silent {
		n.log.Warn().Str("peer", name).Msg("entry not heard any more")
		n.listener.PeerSilent(name)
	}
	if changed {
		n.log.Info().Float64("share", share).Int("heard", mutual).Int("known", known).Str("relay", relay).Msg("share of limits changed")
	}
}

// Alive reports whether the incarnation of an entry still does its duties, as
// far as this entry can tell.
func (n *Node) Alive(name string, incarnation uint64) bool {
	if name == n.self.Name {
		return incarnation == n.self.Incarnation
	}
	member, silence, ok := n.registry.find(name)
	if ok && member.Incarnation != incarnation {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	if p != nil && p.incarnation != incarnation && n.clock()-p.last < silentPeer {
		return false
	}
	if p != nil && p.incarnation == incarnation && n.clock()-p.last < silentPeer {
		return !p.leaving && p.logLost < maxLogLost
	}
	if !n.mate(name) {
		return ok && silence < 2*silentFor // its own cell sees to it first
	}
	return ok && silence < silentFor
}

// mate reports whether another entry belongs to this one's cell. The caller holds
// the lock.
func (n *Node) mate(name string) bool {
	return n.cells == nil || n.cells.single() || n.cells.of[name] == n.cells.of[n.self.Name]
}

// Candidates returns the entries that can take over duties, this one included.
func (n *Node) Candidates() []string {
	names := []string{n.self.Name}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	for name, p := range n.peers {
		if now-p.last < heardFor && !p.leaving && p.logLost == 0 {
			names = append(names, name)
		}
	}
	return names
}
