package gossip

// review notes who has fallen silent and works out this entry's share, once it
// knows how many entries there are.
func (n *Node) review() {
	if !n.registry.Loaded() {
		return
	}
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
	known := max(mutual, n.members)
	share := float64(mutual) / float64(known)
	changed := share != n.share
	n.share = share
	relay := n.following
	n.mu.Unlock()
	n.forget(gone)
	n.listener.ShareUpdate(Share{Fraction: share, SoloFraction: 1 / float64(known), ValidUntil: now + heardFor})
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
	now := n.clock()
	p := n.peers[name]
	if p != nil && p.incarnation != incarnation && now-p.last < silentPeer {
		return false
	}
	if p != nil && p.incarnation == incarnation && now-p.last < silentPeer {
		reached := now-n.logAway >= maxLogLost // else the log may have been away for all
		return !p.leaving && (p.logLost < maxLogLost || !reached)
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

// AnyPeerReachesLog reports whether some other entry that is heard reaches the log.
func (n *Node) AnyPeerReachesLog() bool { return len(n.Candidates()) > 1 }

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
