package gossip

import (
	"fmt"
	"slices"
	"time"
)

// The first by name of a cell's entries that hear one another is its relay. It
// tells the relays of the other cells what its cell admits, and its own cell what
// the others admit.

// otherCell is what the relay of a cell knows of another cell.
type otherCell struct {
	relays   map[string]*peer // that sent reports of late, by name
	accepted string           // whose counts are taken; empty: nobody's
	epoch    int              // of the acceptance
	tried    int              // rounds without an answer
}

// source names the counts of the accepted relay for as long as it is accepted.
func (o *otherCell) source() string { return fmt.Sprintf("cell of %s, %d", o.accepted, o.epoch) }

// choose accepts the first relay by name that is heard at now, as the epoch if
// that is another one than before. It returns the source that ends with the
// change, if any.
func (o *otherCell) choose(now time.Duration, epoch int) (gone string) {
	best := ""
	for name, p := range o.relays {
		if now-p.last >= silentPeer {
			delete(o.relays, name)
			continue
		}
		if now-p.last < heardFor && (best == "" || name < best) {
			best = name
		}
	}
	if best == o.accepted {
		return ""
	}
	if o.accepted != "" {
		gone = o.source()
	}
	o.accepted = best
	o.epoch = epoch
	return gone
}

// covers returns how many entries of the cell are known and know of this one.
func (o *otherCell) covers(now time.Duration) int {
	p := o.relays[o.accepted]
	if p == nil || now-p.last >= heardFor || !p.hearsUs {
		return 0
	}
	return p.covers
}

// relay returns the name of this cell's relay; empty in a small fleet. The caller
// holds the lock.
func (n *Node) relay(now time.Duration) string {
	if n.cells == nil || n.cells.single() {
		return ""
	}
	for _, m := range n.mates() {
		if m.Name == n.self.Name {
			if n.leaving {
				continue
			}
			return m.Name
		}
		p := n.peers[m.Name]
		if p != nil && now-p.last < heardFor && p.hearsUs && !p.leaving {
			return m.Name
		}
	}
	return n.self.Name
}

// mates returns the members of this entry's cell, itself included. The caller
// holds the lock.
func (n *Node) mates() []Member { return n.cells.members[n.cells.of[n.self.Name]] }

// mutualMates returns how many entries of its cell this entry hears and is heard
// by, itself included. The caller holds the lock.
func (n *Node) mutualMates(now time.Duration) int {
	mutual := 1
	for name, p := range n.peers {
		if now-p.last < heardFor && p.hearsUs && n.cells.of[name] == n.cells.of[n.self.Name] {
			mutual++
		}
	}
	return mutual
}

// outsideKnown returns how many entries of other cells are known and know of
// this one. The caller holds the lock.
func (n *Node) outsideKnown(now time.Duration) int {
	relay := n.relay(now)
	if relay == "" {
		return 0
	}
	if relay != n.self.Name {
		return n.peers[relay].covers
	}
	sum := 0
	for _, o := range n.others {
		sum += o.covers(now)
	}
	return sum
}

// followRelay notes which relay's counts of other cells are taken. It returns
// sources of counts that end. The caller holds the lock.
func (n *Node) followRelay(now time.Duration) (gone []string) {
	relay := n.relay(now)
	if relay != n.following {
		if n.following != "" && n.following != n.self.Name {
			gone = append(gone, n.outsideSource())
		}
		n.following = relay
		n.followEpoch = n.nextEpoch()
	}
	if relay == n.self.Name {
		return gone
	}
	return append(gone, n.dropOthers()...)
}

// nextEpoch returns a number for the counts of a relay from now on. The caller
// holds the lock.
func (n *Node) nextEpoch() int {
	n.epoch++
	return n.epoch
}

// dropOthers forgets what is known of other cells. It returns the sources that
// end. The caller holds the lock.
func (n *Node) dropOthers() (gone []string) {
	for _, o := range n.others {
		if o.accepted != "" {
			gone = append(gone, o.source())
		}
	}
	clear(n.others)
	return gone
}

// outsideSource names what the relay of this cell passes on. The caller holds the
// lock.
func (n *Node) outsideSource() string {
	return fmt.Sprintf("outside by %s, %d", n.following, n.followEpoch)
}

// takeCell notes a report of another cell's relay. It returns the source of its
// counts, empty if they are not taken, and whether the relay is new here. The
// caller holds the lock.
func (n *Node) takeCell(m *message) (source string, gone string, back bool) {
	now := n.clock()
	if n.cells == nil || n.relay(now) != n.self.Name {
		return "", "", false
	}
	id, known := n.cells.of[m.Name]
	if !known || id == n.cells.of[n.self.Name] {
		return "", "", false
	}
	o := n.other(id)
	p := o.relays[m.Name]
	if p == nil {
		p = &peer{}
		o.relays[m.Name] = p
	}
	fresh, back := p.note(m, now)
	if !fresh {
		return "", "", false
	}
	if back {
		n.cellCounts.sendWhole()
	}
	gone = o.choose(now, n.nextEpoch())
	if o.accepted != m.Name {
		return "", gone, back
	}
	return o.source(), gone, back
}

// other returns what is known of another cell. The caller holds the lock.
func (n *Node) other(id cellID) *otherCell {
	o := n.others[id]
	if o == nil {
		o = &otherCell{relays: make(map[string]*peer)}
		n.others[id] = o
	}
	return o
}

// roundsPerTry is for how many rounds an entry of a cell whose relay is not heard
// is tried before the next one.
const roundsPerTry = 4

// cellTargets returns the entries to which a relay sends its cell's counts: the
// relays of the other cells as far as they are heard, else one entry after the
// other. The caller holds the lock.
func (n *Node) cellTargets(now time.Duration) []Member {
	if n.relay(now) != n.self.Name {
		return nil
	}
	var targets []Member
	for id, members := range n.cells.members {
		if id == n.cells.of[n.self.Name] {
			continue
		}
		o := n.other(id)
		if gone := o.choose(now, n.nextEpoch()); gone != "" {
			n.ended = append(n.ended, gone)
		}
		targets = append(targets, o.target(members))
	}
	return targets
}

// target returns the member of the cell to send to.
func (o *otherCell) target(members []Member) Member {
	for _, m := range members {
		if m.Name == o.accepted {
			o.tried = 0
			return m
		}
	}
	m := members[o.tried/roundsPerTry%len(members)]
	o.tried++
	return m
}

// cellDatagram encodes what this entry's cell admits.
func (n *Node) cellDatagram() []byte {
	counts := n.source.CellCounts()
	n.mu.Lock()
	defer n.mu.Unlock()
	m := n.message()
	m.CellTotals = true
	m.CoveredEntries = n.mutualMates(n.clock())
	m.Counts = n.cellCounts.pick(counts, n.clock(), n.young(n.clock()), true)
	return m.append(make([]byte, 0, 512))
}

// refreshCells takes the present members into account. The caller holds the lock.
func (n *Node) refreshCells() {
	members := n.registry.Members()
	changes := n.registry.Generation()
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

// UsesEndpoint reports whether this entry's cell uses an endpoint of a data centre.
func (n *Node) UsesEndpoint(endpoint, dataCentre string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cells == nil || n.cells.single() {
		return true
	}
	return n.cells.serving(endpoint, dataCentre) == n.cells.of[n.self.Name]
}
