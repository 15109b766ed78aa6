package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// send sends datagrams when the report has changed, and at least every
// heartbeatInterval, until ctx is done.
func (n *Node) send(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	s := sendScheduler{localPending: true, remotePending: true}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
			s.markPending()
		case <-timer.C:
		}
		now := time.Now()
		if local, remote := s.due(now, n.registry.Loaded()); local || remote {
			n.broadcast(socket, remote)
			n.updatePeers()
		}
		timer.Reset(time.Until(s.nextDue()))
	}
}

// sendScheduler decides when to send datagrams to the entries of this data centre
// (local) and to those of other data centres and cells (remote).
type sendScheduler struct {
	lastLocal, lastRemote       time.Time // times of the newest datagrams
	localPending, remotePending bool      // the report has changed since the newest datagram
}

// markPending records that the report has changed.
func (s *sendScheduler) markPending() { s.localPending, s.remotePending = true, true }

// due reports whether datagrams to local and to remote entries are to be sent at now,
// and if so records them as sent. With loaded false the other entries are not known
// yet: nothing is sent, pending changes stay pending, and the next check is due an
// interval later.
func (s *sendScheduler) due(now time.Time, loaded bool) (local, remote bool) {
	remote = s.remotePending && now.Sub(s.lastRemote) >= remoteInterval || now.Sub(s.lastRemote) >= heartbeatInterval
	local = remote || s.localPending && now.Sub(s.lastLocal) >= localInterval || now.Sub(s.lastLocal) >= heartbeatInterval
	if !loaded {
		s.lastLocal = now
		return false, false
	}
	if local {
		s.lastLocal, s.localPending = now, false
	}
	if remote {
		s.lastRemote, s.remotePending = now, false
	}
	return local, remote
}

// nextDue returns the time at which the next datagram is due if the report does not
// change before.
func (s *sendScheduler) nextDue() time.Time {
	local := s.lastLocal.Add(heartbeatInterval)
	if s.localPending {
		local = s.lastLocal.Add(localInterval)
	}
	remote := s.lastRemote.Add(heartbeatInterval)
	if s.remotePending {
		remote = s.lastRemote.Add(remoteInterval)
	}
	if remote.Before(local) && !s.lastRemote.IsZero() {
		return remote
	}
	return local
}

// broadcast sends the current report to the entries of this cell in this data centre
// and, with remote, to its entries in other data centres. With remote, a relay also
// sends its cell's totals to the other cells.
func (n *Node) broadcast(socket *net.UDPConn, remote bool) {
	entries, cellTargets := n.recipients(remote)
	d := n.datagram(remote)
	for _, m := range entries {
		n.sendTo(socket, d, m.Name, n.address(m))
	}
	if len(cellTargets) == 0 {
		return
	}
	d = n.cellDatagram()
	for _, m := range cellTargets {
		n.sendTo(socket, d, m.Name, n.address(m))
	}
}

// recipients returns the entries to which this entry's report is sent, and those to
// which the totals of its cell are sent. With remote false it returns only entries of
// this data centre.
func (n *Node) recipients(remote bool) (entries, cellTargets []Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.refreshCells()
	for _, m := range n.cellMembers() {
		if m.Name != n.self.Name && (m.DataCentre == n.self.DataCentre || remote) {
			entries = append(entries, m)
		}
	}
	if remote {
		cellTargets = n.cellTargets(n.clock())
	}
	return entries, cellTargets
}

// address returns the address to which a member's datagrams are sent. It is not valid
// if the registered address can't be parsed.
func (n *Node) address(m Member) netip.AddrPort {
	addr, err := netip.ParseAddrPort(m.Address)
	if err != nil {
		n.log.Warn().Err(err).Str("peer", m.Name).Msg("registered gossip address is not ip:port")
	}
	return addr
}

// message returns a new message with the next sequence number, whose report holds only
// the uptime. The caller holds n.mu.
func (n *Node) message() *message {
	n.sequence++
	m := &message{Incarnation: n.self.Incarnation, Name: n.self.Name, Sequence: n.sequence}
	m.Uptime = n.clock() - n.started
	return m
}

// datagram encodes the current report of this entry, and records whether the entry is
// leaving and whether it fails to reach the log. toAll says that the datagram is sent to
// all entries of the cell.
func (n *Node) datagram(toAll bool) datagram {
	measuredAt := n.clock()
	report := n.reporter.Report()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	n.leaving = report.Leaving
	if report.LogLostFor > 0 {
		n.logLostAt = now
	}
	m := n.message()
	report.Uptime = m.Uptime
	report.Counts = n.ownCounts.selectCounts(report.Counts.ByCustomer, now, n.startingUp(now), toAll)
	if n.relay(now) == n.self.Name {
		report.OtherCells = n.otherCellCounts.selectCounts(report.OtherCells.ByCustomer, now, n.startingUp(now), toAll)
		report.CoveredEntries = n.otherCellEntries(now)
	} else {
		report.OtherCells = Counts{}
	}
	m.Report = report
	return datagram{bytes: m.append(make([]byte, 0, 512)), measuredAt: measuredAt}
}

// sendTo sends a datagram to another entry, with the receiverFields for that entry.
func (n *Node) sendTo(socket *net.UDPConn, d datagram, name string, to netip.AddrPort) {
	d.setReceiverFields(n.receiverFields(name, d.measuredAt))
	n.write(socket, d.bytes, name, to)
}

// write sends an encoded datagram to another entry, unless its address is not valid.
func (n *Node) write(socket *net.UDPConn, b []byte, name string, to netip.AddrPort) {
	if !to.IsValid() {
		return
	}
	if _, err := socket.WriteToUDPAddrPort(b, to); err != nil && !errors.Is(err, net.ErrClosed) {
		n.log.Debug().Err(err).Str("peer", name).Msg("gossip datagram could not be sent")
	}
}

// receiverFields returns the fields of a datagram to another entry that are for it alone.
// measuredAt is that of the datagram.
func (n *Node) receiverFields(name string, measuredAt time.Duration) receiverFields {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peers[name]
	if p == nil && n.cells != nil {
		if o := n.otherCells[n.cells.byMember[name]]; o != nil {
			p = o.relays[name]
		}
	}
	if p == nil {
		return receiverFields{}
	}
	f := receiverFields{HearsReceiver: n.clock()-p.lastContact < contactTimeout}
	if age := measuredAt - p.lastContact; age >= 0 {
		f.Echo = echo{Incarnation: uint32(p.incarnation), Uptime: p.uptime, Age: age}
	}
	return f
}
