package gossip

import (
	"errors"
	"net"
	"time"
)

// receive reads datagrams until the socket is closed.
func (n *Node) receive(socket *net.UDPConn) {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			n.log.Debug().Err(err).Msg("gossip datagram could not be received")
			continue
		}
		if size > 0 && buffer[0] == streamFormat {
			n.handleStream(buffer[:size], net.UDPAddrFromAddrPort(from))
			continue
		}
		m, err := decode(buffer[:size])
		if err != nil {
			n.log.Warn().Err(err).Int("bytes", size).Msg("malformed gossip datagram dropped")
			continue
		}
		if n.handle(m) {
			// The reply tells the sender that its datagrams arrive, so that both
			// sides count each other as in contact without waiting for the next round.
			n.sendTo(socket, n.reply(m), m.Name, from)
			n.NotifyChange()
		}
	}
}

// reply encodes a report of the same kind as m: of the cell's totals or of this entry.
func (n *Node) reply(m *message) datagram {
	if m.CellTotals {
		return n.cellDatagram()
	}
	return n.datagram(false)
}

// handle processes a datagram, unless it is not newer than the newest one of its sender.
// It reports whether the sender has started or is in contact again after a timeout.
func (n *Node) handle(m *message) bool {
	if m.Name == n.self.Name {
		return false
	}
	if m.CellTotals {
		return n.handleCellReport(m)
	}
	n.mu.Lock()
	p := n.peers[m.Name]
	if p == nil {
		p = &peer{}
		n.peers[m.Name] = p
	}
	fresh, appeared := p.update(m, n.clock())
	if appeared {
		n.ownCounts.scheduleFull()
		n.otherCellCounts.scheduleFull()
	}
	endedSources := n.updateRelay(n.clock())
	source := ""
	startingUp, othersUncounted := n.startingUp(n.clock()), false
	if n.currentRelay == m.Name {
		source = n.otherCellsSource()
		othersUncounted = startingUp && !n.countedOthers && len(n.countedCells) == 0
		n.countedOthers = true
	}
	n.mu.Unlock()
	n.notifySourcesEnded(endedSources)
	if !fresh {
		return false
	}
	n.registry.recordContact(m.Name, m.Incarnation)
	if appeared {
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Msg("gossip peer in contact")
	}
	m.Uncounted = startingUp
	n.listener.PeerReport(m.Name, m.Incarnation, m.Report)
	if confirmed, ok := n.confirmedAt(m); ok {
		n.listener.PeerConfirmed(m.Name, m.Config.Next, confirmed)
	}
	if source != "" {
		m.Uncounted = othersUncounted
		n.listener.OtherCellsReport(source, m.Incarnation, m.Report)
	}
	return appeared
}

// confirmedAt returns the time on this entry's clock before which the sender of m knows
// all records of the configuration. It returns false if the sender has confirmed none or
// has not received a datagram of this incarnation.
func (n *Node) confirmedAt(m *message) (time.Duration, bool) {
	if m.Config.Next == 0 || m.Echo.Incarnation == 0 || m.Echo.Incarnation != uint32(n.self.Incarnation) {
		return 0, false
	}
	sentAfter := n.started + m.Echo.Uptime + m.Echo.Age
	return sentAfter - m.Config.Age - datagramTimeUnit, true
}

// handleCellReport is handle for a datagram with the totals of another cell.
func (n *Node) handleCellReport(m *message) bool {
	n.mu.Lock()
	source, endedSource, appeared := n.recordCellReport(m)
	n.mu.Unlock()
	n.registry.recordContact(m.Name, m.Incarnation)
	if endedSource != "" {
		n.listener.SourceEnded(endedSource)
	}
	if appeared {
		// The key covers holds CoveredEntries.
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Int("covers", m.CoveredEntries).Msg("gossip relay of another cell in contact")
	}
	if source != "" {
		n.listener.CellReport(source, m.Incarnation, m.Report)
	}
	return appeared
}

func (n *Node) notifySourcesEnded(sources []string) {
	for _, s := range sources {
		n.listener.SourceEnded(s)
	}
}
