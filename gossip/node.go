package gossip

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/boottime"
	"dandelionrelay/origin"
	"dandelionrelay/quota"
)

// Intervals of datagrams and timeouts of peers.
const (
	// localInterval is the minimum time between two datagrams to an entry of the
	// same data centre, equal to a few decoding steps of an engine.
	localInterval = 30 * time.Millisecond
	// remoteInterval is the minimum time between two datagrams to an entry of another
	// data centre. It is longer, as traffic between data centres is expensive.
	remoteInterval = 200 * time.Millisecond
	// heartbeatInterval is the maximum time between two datagrams to an entry.
	heartbeatInterval = 250 * time.Millisecond
	// contactTimeout is the time after a datagram for which its sender counts as in
	// contact. It allows for two datagrams lost in a row.
	contactTimeout = 3*heartbeatInterval - 50*time.Millisecond
	// startupPeriod is the time after its start in which an entry sends all counts, as
	// other entries may have started at the same time and have received none yet.
	startupPeriod = 5 * time.Second
	// peerTimeout is the time without datagrams after which a peer has timed out and
	// the load that it reported is dropped.
	peerTimeout = 1500 * time.Millisecond
	// maxLogOutage is the time for which an entry may fail to reach the log, while
	// others reach it, before they take over what it owns. A takeover restarts the
	// entry's running items elsewhere, and most items end within this time.
	maxLogOutage = 6 * time.Second
)

// Reporter provides the reports that a Node sends. Its methods are called without the
// Node's lock.
type Reporter interface {
	// Report returns the report of this entry, with the counts of all customers in
	// Counts and OtherCells.
	Report() Report
	// CellCounts returns the total admissions of this entry's cell by customer.
	CellCounts() map[quota.Key]quota.Count
}

// Listener receives the reports of other entries and is notified when entries time out,
// the cells change or this entry's share of the limits is computed.
type Listener interface {
	// PeerReport is called with each report of another entry of the cell that is newer
	// than those before.
	PeerReport(name string, incarnation uint64, r Report)
	// CellReport is called with the counts of another cell, if this entry is the
	// relay of its own cell. source identifies the series of counts: counts of
	// different sources can't be compared.
	CellReport(source string, incarnation uint64, r Report)
	// OtherCellsReport is called with the counts of all other cells that the relay of
	// this cell forwards. source is as in CellReport.
	OtherCellsReport(source string, incarnation uint64, r Report)
	// PeerConfirmed is called if a report of another entry says that the records of
	// the configuration before offset next are all that were appended before confirmed,
	// a time of this entry's clock.
	PeerConfirmed(name string, next int64, confirmed time.Duration)
	// SourceEnded is called when a source of CellReport or OtherCellsReport is no longer
	// used.
	SourceEnded(source string)
	// CellsChanged is called, in its own goroutine, when the assignment of entries to
	// cells has changed.
	CellsChanged()
	// PeerTimedOut is called once when no datagram of a peer has arrived for peerTimeout.
	PeerTimedOut(name string)
	// StreamBegan is called when another entry tells this one where the stream of an attempt
	// begins.
	StreamBegan(id string, o origin.Origin)
	// ShareUpdate is called several times a second with this entry's current share of
	// the fleet's limits.
	ShareUpdate(s Share)
}

// Share is the fraction, 0 to 1, of the fleet's limits that an entry may use.
type Share struct {
	Observed   float64       // of all entries in contact with this one in both directions, directly or through relays, itself included
	Own        float64       // of this entry alone
	ValidUntil time.Duration // clock of this entry after which only Own may be used
}

// peer is what a Node knows of another entry from its datagrams.
type peer struct {
	incarnation    uint64
	sequence       uint32
	lastContact    time.Duration // clock at the receipt of the newest datagram
	hearsSelf      bool          // message.HearsReceiver of the newest datagram
	leaving        bool
	uptime         time.Duration // Report.Uptime of the newest datagram
	logLostFor     time.Duration
	coveredEntries int  // Report.CoveredEntries of the newest datagram
	timedOut       bool // no datagram arrived for peerTimeout
}

// update records what a datagram says about its sender. fresh reports whether the
// datagram is newer than those before, and appeared whether the sender has started
// or is in contact again after a timeout.
func (p *peer) update(m *message, now time.Duration) (fresh, appeared bool) {
	if p.incarnation == m.Incarnation && int32(m.Sequence-p.sequence) <= 0 {
		return false, false
	}
	appeared = p.timedOut || p.incarnation != m.Incarnation
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	p.lastContact = now
	p.uptime = m.Uptime
	p.timedOut = false
	p.leaving = m.Leaving
	p.logLostFor = m.LogLostFor
	p.hearsSelf = m.HearsReceiver
	p.coveredEntries = m.CoveredEntries
	return true, appeared
}

// Node sends and receives the datagrams of one entry. Its methods are safe for
// concurrent use.
type Node struct {
	self     Member
	registry *Registry
	reporter Reporter
	listener Listener
	clock    boottime.Clock
	log      zerolog.Logger
	changed  chan struct{}               // signals send that the report has changed
	started  time.Duration               // clock at the call of NewNode
	socket   atomic.Pointer[net.UDPConn] // nil before Run

	mu        sync.Mutex
	sequence  uint32
	peers     map[string]*peer
	share     float64
	leaving   bool
	logLostAt time.Duration  // clock at the newest report in which this entry fails to reach the log
	ownCounts *countSelector // selects the counts of this entry

	cells           *cellMap // nil before the first refreshCells
	memberCount     int      // number of registered members at the last refreshCells
	generation      int      // Registry.Generation at the last refreshCells
	otherCells      map[cellID]*otherCell
	otherCellCounts *countSelector  // selects the counts of other cells for this cell
	cellCounts      *countSelector  // selects the counts of this cell for other cells
	currentRelay    string          // name of the relay of this cell; empty if there is one cell
	relaySeries     int             // series number of the counts that currentRelay forwards
	lastSeries      int             // newest series number that nextSeries returned
	countedOthers   bool            // counts of other cells that a relay forwards were passed on
	countedCells    map[cellID]bool // cells whose relays' counts were passed on
	endedSources    []string        // sources to report to Listener.SourceEnded
}

// startingUp reports whether this entry started less than startupPeriod before now.
func (n *Node) startingUp(now time.Duration) bool { return now-n.started < startupPeriod }

// NewNode returns a Node of the entry self. reporter is called for each round of
// datagrams and for each reply.
func NewNode(self Member, registry *Registry, reporter Reporter, l Listener, clock boottime.Clock, log zerolog.Logger) *Node {
	return &Node{
		self:       self,
		registry:   registry,
		reporter:   reporter,
		listener:   l,
		clock:      clock,
		log:        log,
		changed:    make(chan struct{}, 1),
		started:    clock(),
		peers:      make(map[string]*peer),
		logLostAt:  -maxLogOutage,
		otherCells: make(map[cellID]*otherCell),

		countedCells: make(map[cellID]bool),

		ownCounts:       newCountSelector(),
		otherCellCounts: newCountSelector(),
		cellCounts:      newCountSelector(),
	}
}

// NotifyChange makes the Node send its report as soon as the minimum intervals
// allow. It never blocks.
func (n *Node) NotifyChange() {
	select {
	case n.changed <- struct{}{}:
	default:
	}
}

// Run exchanges datagrams over socket until ctx is done, then closes the socket.
func (n *Node) Run(ctx context.Context, socket *net.UDPConn) {
	n.socket.Store(socket)
	var wg sync.WaitGroup
	wg.Go(func() { n.receive(socket) })
	n.send(ctx, socket)
	_ = socket.Close()
	wg.Wait()
}
