package placement

// Report is what an entry reports to the others about endpoints.
type Report struct {
	Loads   map[Key]Load // its own, without idle endpoints
	Failing []Key        // endpoints most of whose responses to it are errors
	Ramps   map[Key]Ramp // its part in the ramps of endpoints
}

// SetPeer replaces the report of another entry.
func (t *Table) SetPeer(id string, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyReport(t.peers[id], -1)
	t.applyReport(r, 1)
	t.peers[id] = r
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			t.delegateProbe(id, e)
		}
	}
}

// ForgetPeer drops the report of another entry.
func (t *Table) ForgetPeer(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.applyReport(t.peers[id], -1)
	delete(t.peers, id)
}

// applyReport adds a report to the sums of the listed endpoints, or subtracts it if
// sign is -1.
func (t *Table) applyReport(r Report, sign int) {
	for _, key := range r.Failing {
		if e := t.endpoints[key]; e != nil {
			e.failingReports += sign
		}
	}
	for key, l := range r.Loads {
		if e := t.endpoints[key]; e != nil {
			e.peers.Online += sign * l.Online
			e.peers.Batch += sign * l.Batch
			e.peers.Firm += sign * l.Firm
		}
	}
}

// LocalLoads returns this entry's own load by endpoint, without idle endpoints.
func (t *Table) LocalLoads() map[Key]Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	loads := make(map[Key]Load)
	for key, e := range t.endpoints {
		if e.local != (Load{}) {
			load := e.local
			load.Firm = t.firmItems(e)
			loads[key] = load
		}
	}
	return loads
}
