package gossip

import (
	"errors"
	"net"
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
			n.NotifyChange()
		}
	}
}

// reply encodes a report of the kind of m.
func (n *Node) reply(m *message) []byte {
	if m.CellTotals {
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
	if m.CellTotals {
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
		n.listener.OtherCellsReport(source, m.Incarnation, m.Report)
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
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Int("covers", m.CoveredEntries).Msg("relay of another cell heard")
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
