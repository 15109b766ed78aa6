package gossip

// updatePeers updates the cells and the relay, marks the peers that have timed out,
// computes this entry's share of the limits and notifies the listener. It does
// nothing until the registry is loaded, as the number of entries is not known before.
func (n *Node) updatePeers() {
	if !n.registry.Loaded() {
		return
	}
	var timedOut []string
	n.mu.Lock()
	n.refreshCells()
	now := n.clock()
	endedSources := append(n.endedSources, n.updateRelay(now)...)
	n.endedSources = nil
	connected := n.mutualCellMembers(now) + n.otherCellEntries(now)
	for name, p := range n.peers {
		if now-p.lastContact >= peerTimeout && !p.timedOut {
			p.timedOut = true
			timedOut = append(timedOut, name)
		}
	}
	known := max(connected, n.memberCount)
	share := float64(connected) / float64(known)
	changed := share != n.share
	n.share = share
	relay := n.currentRelay
	n.mu.Unlock()
	n.notifySourcesEnded(endedSources)
	n.listener.ShareUpdate(Share{Observed: share, Own: 1 / float64(known), ValidUntil: now + contactTimeout})
	for _, name := range timedOut {
		n.log.Warn().Str("peer", name).Msg("gossip peer timed out, its reported load is dropped")
		n.listener.PeerTimedOut(name)
	}
	if changed {
		n.log.Info().Float64("share", share).Int("heard", connected).Int("known", known).Str("relay", relay).Msg("share of the fleet's limits changed")
	}
}

// Alive reports whether the given incarnation of an entry still processes what it
// owns, judged by its datagrams and its registration. It returns false for an
// entry that is leaving, that has restarted, or that has been unable to reach the
// log for maxLogOutage while this entry reached it.
func (n *Node) Alive(name string, incarnation uint64) bool {
	if name == n.self.Name {
		return incarnation == n.self.Incarnation
	}
	member, sinceRegistered, ok := n.registry.find(name)
	if ok && member.Incarnation != incarnation {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	p := n.peers[name]
	if p != nil && p.incarnation != incarnation && now-p.lastContact < peerTimeout {
		return false
	}
	if p != nil && p.incarnation == incarnation && now-p.lastContact < peerTimeout {
		reachesLog := now-n.logLostAt >= maxLogOutage // otherwise the log may have been unreachable for all entries
		return !p.leaving && (p.logLostFor < maxLogOutage || !reachesLog)
	}
	if !n.sameCell(name) {
		return ok && sinceRegistered < 2*registrationTimeout // the entries of its own cell take over first
	}
	return ok && sinceRegistered < registrationTimeout
}

// sameCell reports whether another entry belongs to this entry's cell. The caller
// holds n.mu.
func (n *Node) sameCell(name string) bool {
	return n.cells == nil || n.cells.single() || n.cells.byMember[name] == n.cells.byMember[n.self.Name]
}

// AnyPeerReachesLog reports whether a peer in contact with this entry reaches the log
// and is not leaving.
func (n *Node) AnyPeerReachesLog() bool { return len(n.Candidates()) > 1 }

// Candidates returns the names of the entries that can take over work: this entry
// and the peers in contact with it that reach the log and are not leaving.
func (n *Node) Candidates() []string {
	names := []string{n.self.Name}
	n.mu.Lock()
	defer n.mu.Unlock()
	now := n.clock()
	for name, p := range n.peers {
		if now-p.lastContact < contactTimeout && !p.leaving && p.logLostFor == 0 {
			names = append(names, name)
		}
	}
	return names
}

// MembersReachingLog returns the other entries among Candidates.
func (n *Node) MembersReachingLog() []Member {
	var list []Member
	for _, name := range n.Candidates() {
		if m, _, ok := n.registry.find(name); ok && name != n.self.Name {
			list = append(list, m)
		}
	}
	return list
}
