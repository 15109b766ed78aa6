package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"time"
)

// send sends datagrams when the report has changed, and now and then.
func (n *Node) send(ctx context.Context, socket *net.UDPConn) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	p := pacer{nearDue: true, farDue: true}
	for {
		select {
		case <-ctx.Done():
			return
		case <-n.changed:
			p.changed()
		case <-timer.C:
		}
		now := time.Now()
		if near, far := p.due(now, n.registry.Loaded()); near || far {
			n.broadcast(socket, far)
			n.review()
		}
		timer.Reset(time.Until(p.next()))
	}
}

// pacer decides when datagrams go to the entries of this data centre and to all.
type pacer struct {
	near, far       time.Time // of the newest datagrams
	nearDue, farDue bool      // there is news
}

// changed notes that there is news.
func (p *pacer) changed() { p.nearDue, p.farDue = true, true }

// due reports who gets a datagram now. As long as the others are not known there
// is nobody to send to, and nothing is due the sooner afterwards.
func (p *pacer) due(now time.Time, known bool) (near, far bool) {
	far = p.farDue && now.Sub(p.far) >= farPace || now.Sub(p.far) >= idlePace
	near = far || p.nearDue && now.Sub(p.near) >= nearPace || now.Sub(p.near) >= idlePace
	if !known {
		p.near = now
		return false, false
	}
	if near {
		p.near, p.nearDue = now, false
	}
	if far {
		p.far, p.farDue = now, false
	}
	return near, far
}

// next returns when the next datagram is due without further news.
func (p *pacer) next() time.Time {
	near := p.near.Add(idlePace)
	if p.nearDue {
		near = p.near.Add(nearPace)
	}
	far := p.far.Add(idlePace)
	if p.farDue {
		far = p.far.Add(farPace)
	}
	if far.Before(near) && !p.far.IsZero() {
		return far
	}
	return near
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
	if report.LogLostFor > 0 {
		n.logAway = now
	}
	m := n.message()
	report.Uptime = m.Uptime
	report.Counts = n.counts.pick(report.Counts.ByCustomer, now, n.young(now), toAll)
	if n.relay(now) == n.self.Name {
		report.OtherCells = n.outside.pick(report.OtherCells.ByCustomer, now, n.young(now), toAll)
		report.CoveredEntries = n.outsideKnown(now)
	} else {
		report.OtherCells = Counts{}
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
