package gossip

import (
	"context"
	"errors"
	"net"
	"net/netip"
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
	// countedFor is for how long a changed count is repeated: several datagrams
	// may be lost.
	countedFor = 2 * time.Second
	// wholePace is the interval of datagrams with all counts.
	wholePace = 4 * time.Second
	// youngFor is for how long after its start an entry sends all counts: others
	// may have started with it and know nothing yet.
	youngFor = 5 * time.Second
	// silentPeer is when the load that an entry reported is forgotten.
	silentPeer = 1500 * time.Millisecond
	// maxLogLost is for how long an entry may be without the log before others
	// take over what it owns.
	maxLogLost = 2500 * time.Millisecond
)

// Listener takes what other entries report.
type Listener interface {
	// PeerReport is called with each newer report of another entry.
	PeerReport(name string, incarnation uint64, r Report)
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
	silent      bool
}

// Node sends and receives datagrams of one entry.
type Node struct {
	self     Member
	registry *Registry
	report   func() Report
	listener Listener
	clock    boottime.Clock
	log      zerolog.Logger
	changed  chan struct{}
	started  time.Duration

	mu       sync.Mutex
	sequence uint32
	peers    map[string]*peer
	share    float64
	counted  map[quota.Key]counted
	whole    time.Duration // clock at which the next datagrams hold all counts
}

// counted is a count and when it changed.
type counted struct {
	count quota.Count
	at    time.Duration
}

// young reports whether this entry has started of late.
func (n *Node) young(now time.Duration) bool { return now-n.started < youngFor }

// counts returns the counts to send now, and whether they are all; toAll says
// that they go to all entries. The caller holds the lock.
func (n *Node) counts(all map[quota.Key]quota.Count, now time.Duration, toAll bool) (map[quota.Key]quota.Count, bool) {
	late := make(map[quota.Key]quota.Count)
	for key, count := range all {
		before := n.counted[key]
		if before.count != count {
			before = counted{count: count, at: now}
			n.counted[key] = before
		}
		if now-before.at < countedFor {
			late[key] = count
		}
	}
	if n.young(now) {
		return all, true
	}
	if now < n.whole || !toAll {
		return late, false
	}
	n.whole = now + wholePace
	return all, true
}

// NewNode returns a Node of the entry self. report is called for each datagram.
func NewNode(self Member, registry *Registry, report func() Report, l Listener, clock boottime.Clock, log zerolog.Logger) *Node {
	return &Node{
		self:     self,
		registry: registry,
		report:   report,
		listener: l,
		clock:    clock,
		log:      log,
		changed:  make(chan struct{}, 1),
		started:  clock(),
		peers:    make(map[string]*peer),
		counted:  make(map[quota.Key]counted),
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

// broadcast sends the present report to the entries of this data centre, and
// with far to those of the others.
func (n *Node) broadcast(socket *net.UDPConn, far bool) {
	datagram := n.datagram(far)
	for _, member := range n.registry.Members() {
		if member.Name == n.self.Name || member.DataCentre != n.self.DataCentre && !far {
			continue
		}
		to, err := netip.ParseAddrPort(member.Address)
		if err != nil {
			n.log.Warn().Err(err).Str("peer", member.Name).Msg("registered address can't be read")
			continue
		}
		n.sendTo(socket, datagram, member.Name, to)
	}
}

// datagram encodes the present report, to be sent to all entries or only to some.
func (n *Node) datagram(toAll bool) []byte {
	m := message{Incarnation: n.self.Incarnation, Name: n.self.Name, Report: n.report()}
	n.mu.Lock()
	n.sequence++
	m.Sequence = n.sequence
	m.Uptime = n.clock() - n.started
	m.Counts, m.Whole = n.counts(m.Counts, n.clock(), toAll)
	n.mu.Unlock()
	return m.append(make([]byte, 0, 512))
}

// sendTo sends a datagram to another entry, after noting in it whether that
// entry is heard.
func (n *Node) sendTo(socket *net.UDPConn, datagram []byte, name string, to netip.AddrPort) {
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
			n.sendTo(socket, n.datagram(false), m.Name, from)
			n.Changed()
		}
	}
}

// take notes a datagram, unless a newer one came before. It reports whether the
// entry has started or is back.
func (n *Node) take(m *message) bool {
	if m.Name == n.self.Name {
		return false
	}
	n.mu.Lock()
	p := n.peers[m.Name]
	if p == nil {
		p = &peer{}
		n.peers[m.Name] = p
	}
	if p.incarnation == m.Incarnation && int32(m.Sequence-p.sequence) <= 0 {
		n.mu.Unlock()
		return false
	}
	back := p.silent || p.incarnation != m.Incarnation
	if back {
		n.whole = 0 // it may know nothing of this entry
	}
	p.incarnation, p.sequence = m.Incarnation, m.Sequence
	p.last = n.clock()
	p.silent = false
	p.leaving = m.Leaving
	p.logLost = m.LogLost
	p.hearsUs = m.HearsYou
	n.mu.Unlock()
	if back {
		n.log.Info().Str("peer", m.Name).Uint64("incarnation", m.Incarnation).Msg("entry heard")
	}
	n.listener.PeerReport(m.Name, m.Incarnation, m.Report)
	return back
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
	now := n.clock()
	mutual := 1
	for name, p := range n.peers {
		age := now - p.last
		if age < heardFor && p.hearsUs {
			mutual++
		}
		if age >= silentPeer && !p.silent {
			p.silent = true
			silent = append(silent, name)
		}
	}
	known := max(mutual, len(members))
	share := float64(mutual) / float64(known)
	changed := share != n.share
	n.share = share
	n.mu.Unlock()
	n.listener.Share(Share{Part: share, Alone: 1 / float64(known), Until: now + heardFor})
	for _, name := range silent {
		n.log.Warn().Str("peer", name).Msg("entry not heard any more")
		n.listener.PeerSilent(name)
	}
	if changed {
		n.log.Info().Float64("share", share).Int("heard", mutual).Int("known", known).Msg("share of limits changed")
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
	return ok && silence < silentFor
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
