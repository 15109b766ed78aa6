package gossip

import (
	"fmt"
	"slices"
	"time"
)

// The relay of a cell is the first by name of its entries that are in contact with one
// another and not leaving. It sends the total admissions of its cell to the relays of
// the other cells, and those of the other cells to the entries of its own.

// otherCell is what the relay of a cell knows of another cell.
type otherCell struct {
	relays        map[string]*peer // entries that sent a report within peerTimeout, by name
	acceptedRelay string           // name of the entry whose counts are used; empty: none
	series        int              // series number of the counts of acceptedRelay
	attempts      int              // consecutive rounds without an accepted relay
}

// source returns the source name of the accepted relay's counts. A relay that is
// accepted again gets another name.
func (o *otherCell) source() string { return fmt.Sprintf("cell of %s, %d", o.acceptedRelay, o.series) }

// selectRelay accepts the first relay by name that is in contact with this entry. If
// that changes the accepted relay, series becomes part of the new source name, and the
// source that ended is returned; it is empty otherwise.
func (o *otherCell) selectRelay(now time.Duration, series int) (endedSource string) {
	first := ""
	for name, p := range o.relays {
		if now-p.lastContact >= peerTimeout {
			delete(o.relays, name)
			continue
		}
		if now-p.lastContact < contactTimeout && (first == "" || name < first) {
			first = name
		}
	}
	if first == o.acceptedRelay {
		return ""
	}
	if o.acceptedRelay != "" {
		endedSource = o.source()
	}
	o.acceptedRelay = first
	o.series = series
	return endedSource
}

// coveredEntries returns the number of the cell's entries whose admissions are known,
// or 0 if the accepted relay is not in contact with this entry in both directions.
func (o *otherCell) coveredEntries(now time.Duration) int {
	p := o.relays[o.acceptedRelay]
	if p == nil || now-p.lastContact >= contactTimeout || !p.hearsSelf {
		return 0
	}
	return p.coveredEntries
}

// relay returns the name of this cell's relay, judged by the peers in contact with this
// entry in both directions; empty if there is one cell. The caller holds n.mu.
func (n *Node) relay(now time.Duration) string {
	if n.cells == nil || n.cells.single() {
		return ""
	}
	for _, m := range n.cellMembers() {
		if m.Name == n.self.Name {
			if n.leaving {
				continue
			}
			return m.Name
		}
		p := n.peers[m.Name]
		if p != nil && now-p.lastContact < contactTimeout && p.hearsSelf && !p.leaving {
			return m.Name
		}
	}
	return n.self.Name
}

// cellMembers returns the members of this entry's cell, this entry included. The
// caller holds n.mu.
func (n *Node) cellMembers() []Member { return n.cells.members[n.cells.byMember[n.self.Name]] }

// mutualCellMembers returns the number of entries of this cell that are in contact
// with this entry in both directions, this entry included. The caller holds n.mu.
func (n *Node) mutualCellMembers(now time.Duration) int {
	count := 1
	for name, p := range n.peers {
		if now-p.lastContact < contactTimeout && p.hearsSelf && n.cells.byMember[name] == n.cells.byMember[n.self.Name] {
			count++
		}
	}
	return count
}

// otherCellEntries returns the number of entries of other cells whose admissions are
// known, directly or through this cell's relay, and whose relay is in contact in both
// directions. The caller holds n.mu.
func (n *Node) otherCellEntries(now time.Duration) int {
	relay := n.relay(now)
	if relay == "" {
		return 0
	}
	if relay != n.self.Name {
		return n.peers[relay].coveredEntries
	}
	sum := 0
	for _, o := range n.otherCells {
		sum += o.coveredEntries(now)
	}
	return sum
}

// updateRelay determines this cell's relay, whose counts of other cells are used. Unless
// this entry is the relay, it drops the state of other cells. It returns the sources that
// are no longer used. The caller holds n.mu.
func (n *Node) updateRelay(now time.Duration) (endedSources []string) {
	relay := n.relay(now)
	if relay != n.currentRelay {
		if n.currentRelay != "" && n.currentRelay != n.self.Name {
			endedSources = append(endedSources, n.otherCellsSource())
		}
		n.currentRelay = relay
		n.relaySeries = n.nextSeries()
	}
	if relay == n.self.Name {
		return endedSources
	}
	return append(endedSources, n.clearOtherCells()...)
}

// nextSeries returns a new series number, which tells the counts of a newly accepted
// relay from earlier ones. A number may go unused, so the numbers in use have gaps. The
// caller holds n.mu.
func (n *Node) nextSeries() int {
	n.lastSeries++
	return n.lastSeries
}

// clearOtherCells drops the state of all other cells. It returns the sources that are
// no longer used. The caller holds n.mu.
func (n *Node) clearOtherCells() (endedSources []string) {
	for _, o := range n.otherCells {
		if o.acceptedRelay != "" {
			endedSources = append(endedSources, o.source())
		}
	}
	clear(n.otherCells)
	return endedSources
}

// otherCellsSource returns the source name of the counts that this cell's relay
// forwards. The caller holds n.mu.
func (n *Node) otherCellsSource() string {
	return fmt.Sprintf("other cells by %s, %d", n.currentRelay, n.relaySeries)
}

// recordCellReport records a report of another cell's relay. It returns the source of
// its counts, empty if they are not used; the source that ended because another
// relay was accepted, if any; and whether the relay has started or is in contact
// again after a timeout. The caller holds n.mu.
func (n *Node) recordCellReport(m *message) (source string, endedSource string, appeared bool) {
	now := n.clock()
	if n.cells == nil || n.relay(now) != n.self.Name {
		return "", "", false
	}
	id, known := n.cells.byMember[m.Name]
	if !known || id == n.cells.byMember[n.self.Name] {
		return "", "", false
	}
	o := n.otherCell(id)
	p := o.relays[m.Name]
	if p == nil {
		p = &peer{}
		o.relays[m.Name] = p
	}
	fresh, appeared := p.update(m, now)
	if !fresh {
		return "", "", false
	}
	if appeared {
		n.cellCounts.scheduleFull()
	}
	endedSource = o.selectRelay(now, n.nextSeries())
	if o.acceptedRelay != m.Name {
		return "", endedSource, appeared
	}
	m.Uncounted = n.startingUp(now) && !n.countedOthers && !n.countedCells[id]
	n.countedCells[id] = true
	return o.source(), endedSource, appeared
}

// otherCell returns the state of another cell, which it creates if there is none. The
// caller holds n.mu.
func (n *Node) otherCell(id cellID) *otherCell {
	o := n.otherCells[id]
	if o == nil {
		o = &otherCell{relays: make(map[string]*peer)}
		n.otherCells[id] = o
	}
	return o
}

// roundsPerCandidate is the number of rounds in which one entry of a cell without an
// accepted relay is sent to before the next entry is tried.
const roundsPerCandidate = 4

// cellTargets returns the entries to which a relay sends its cell's counts: of each
// other cell the accepted relay or, if there is none, its members in turn. It returns
// nil if this entry is not a relay. The caller holds n.mu.
func (n *Node) cellTargets(now time.Duration) []Member {
	if n.relay(now) != n.self.Name {
		return nil
	}
	var targets []Member
	for id, members := range n.cells.members {
		if id == n.cells.byMember[n.self.Name] {
			continue
		}
		o := n.otherCell(id)
		if ended := o.selectRelay(now, n.nextSeries()); ended != "" {
			n.endedSources = append(n.endedSources, ended)
		}
		targets = append(targets, o.target(members))
	}
	return targets
}

// target returns the member of the cell to send to in this round.
func (o *otherCell) target(members []Member) Member {
	for _, m := range members {
		if m.Name == o.acceptedRelay {
			o.attempts = 0
			return m
		}
	}
	m := members[o.attempts/roundsPerCandidate%len(members)]
	o.attempts++
	return m
}

// cellDatagram encodes the total admissions of this entry's cell.
func (n *Node) cellDatagram() datagram {
	measuredAt := n.clock()
	counts := n.reporter.CellCounts()
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.message()
	m.CellTotals = true
	m.CoveredEntries = n.mutualCellMembers(n.clock())
	m.Counts = n.cellCounts.selectCounts(counts, n.clock(), n.startingUp(n.clock()), true)
	return datagram{bytes: m.append(make([]byte, 0, 512)), measuredAt: measuredAt}
}

// refreshCells updates the assignment of cells if the registered members have
// changed. The caller holds n.mu.
func (n *Node) refreshCells() {
	members := n.registry.Members()
	generation := n.registry.Generation()
	if n.cells != nil && len(members) == n.memberCount && generation == n.generation {
		return
	}
	n.memberCount, n.generation = len(members), generation
	if !slices.ContainsFunc(members, func(m Member) bool { return m.Name == n.self.Name }) {
		members = append(members, n.self)
	}
	next := newCellMap(members)
	if next.equal(n.cells) {
		n.cells.members = next.members // addresses may have changed
		return
	}
	n.cells = next
	n.endedSources = append(n.endedSources, n.clearOtherCells()...)
	for name := range n.peers {
		if !n.sameCell(name) {
			n.endedSources = append(n.endedSources, name) // its admissions are now in its cell's counts
		}
	}
	go n.listener.CellsChanged()
}
