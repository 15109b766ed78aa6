package gossip

import (
	"context"
	"net"
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
	// maxLogLost is for how long an entry may be without the log, while others
	// reach it, before they take over what it owns: what it runs would begin
	// again elsewhere, and most items end within this time.
	maxLogLost = 6 * time.Second
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
	// OtherCellsReport is called with the counts of all other cells that the relay of
	// this cell passes on.
	OtherCellsReport(source string, incarnation uint64, r Report)
	// SourceGone is called when a source of either kind is not used any more.
	SourceGone(source string)
	// CellsChanged is called when other entries belong to the cells, or other
	// cells exist.
	CellsChanged()
	// PeerSilent is called when an entry has not been heard for long.
	PeerSilent(name string)
	// ShareUpdate is called several times a second with this entry's part of the
	// fleet.
	ShareUpdate(s Share)
}

// Share is the part of the fleet's limits that an entry may count on.
type Share struct {
	Fraction     float64       // of the entries that it hears and is heard by, itself included
	SoloFraction float64       // of itself alone
	ValidUntil   time.Duration // clock after which only Alone is certain
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
	p.logLost = m.LogLostFor
	p.hearsUs = m.HearsYou
	p.covers = m.CoveredEntries
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
	logAway  time.Duration // clock at which this entry last reported that it does not reach the log
	counts   *countLog     // of this entry

	cells       *cells // nil before the first look
	members     int    // registered at the last look
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
		logAway:  -maxLogLost,
		others:   make(map[cellID]*otherCell),

		counts:     newCountLog(),
		outside:    newCountLog(),
		cellCounts: newCountLog(),
	}
}

// NotifyChange has the next datagrams sent soon. It never blocks.
func (n *Node) NotifyChange() {
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
