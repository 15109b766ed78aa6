package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
)

// Timing and bounds of claims and handovers.
const (
	claimStagger      = time.Second                   // an entry claims this much later than the one ranked before it
	minListedTime     = 10 * time.Second              // how long an entry must be listed before partitions are handed to it
	maxHandovers      = 8                             // partitions handed to new entries in one record
	dataCentreTimeout = 2 * time.Hour                 // replaces AbsenceTimeout for entries of a data centre without any listed instance
	sightingRetention = dataCentreTimeout + time.Hour // how long the sighting of an entry that is no longer listed is kept
)

// sighting records when an entry was first and last listed, and in which data
// centre.
type sighting struct {
	firstSeen, lastSeen time.Time
	dataCentre          string
}

// Plan is the set of claims that an entry is to append to the log. A takeover
// must be dropped if the previous holder still replies to Limit.Ping. The
// partitions to hand over must be closed first, with Table.StartHandover and
// Granter.Close.
type Plan struct {
	Claims    []Claim // of partitions that no other entry holds
	Takeovers []Takeover
	Handovers []Handover
}

// Takeover claims a partition whose holder is missing from the instance list.
type Takeover struct {
	Claim        Claim
	Previous     string // instance ID of the previous holder
	PreviousAddr string // ip:port at which peers reach the previous holder
}

// Handover assigns a partition of this entry to another one.
type Handover struct {
	Partition int
	To        string // instance ID
	Addr      string // ip:port at which peers reach the new holder
}

// SetInstances replaces the instance list by the one read at now.
func (t *Table) SetInstances(now time.Time, listed []infra.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	t.live = t.live[:0]
	t.dataCentres = make(map[string]struct{}, len(t.dataCentres))
	for _, in := range listed {
		t.dataCentres[in.DataCentre] = struct{}{}
		if in.Role != infra.RoleEntry {
			continue
		}
		t.recordSighting(now, in)
		if in.State == infra.Live {
			t.live = append(t.live, in)
		}
	}
	self, known := t.sightings[t.self]
	t.delisted = known && self.lastSeen.Before(now)
	for id, seen := range t.sightings {
		if now.Sub(seen.lastSeen) > sightingRetention {
			delete(t.sightings, id)
		}
	}
}

func (t *Table) recordSighting(now time.Time, in infra.Instance) {
	seen, ok := t.sightings[in.ID]
	if !ok {
		seen.firstSeen = now
	}
	seen.lastSeen = now
	seen.dataCentre = in.DataCentre
	t.sightings[in.ID] = seen
}

// Plan returns the claims that this entry should append to the log. If
// draining, the entry hands over what it holds. The log must have been read to
// its end, and SetInstances called immediately before.
func (t *Table) Plan(now time.Time, draining bool) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tick(now)
	var p Plan
	if t.logDown || !t.authoritative(now) {
		return p
	}
	for i := range t.partitions {
		t.planPartition(now, i, t.live, draining, &p)
	}
	return p
}

func (t *Table) planPartition(now time.Time, i int, live []infra.Instance, draining bool, p *Plan) {
	s := &t.partitions[i]
	switch {
	case s.holder == t.self:
		t.planHeld(now, i, live, draining, p)
	case draining || !t.claimable(now, s):
	case t.isClaimant(now, i, live):
		claim := Claim{Partition: i, Epoch: s.epoch + 1, Holder: t.self, Addr: t.addr}
		if s.holder == "" {
			p.Claims = append(p.Claims, claim)
			return
		}
		p.Takeovers = append(p.Takeovers, Takeover{Claim: claim, Previous: s.holder, PreviousAddr: s.addr})
	}
}

// planHeld plans to renew partition i, which this entry holds, or to hand it
// over.
func (t *Table) planHeld(now time.Time, i int, live []infra.Instance, draining bool, p *Plan) {
	s := &t.partitions[i]
	if s.closing || s.contested || now.Sub(s.updatedAt) > RenewInterval {
		p.Claims = append(p.Claims, Claim{Partition: i, Epoch: s.epoch + 1, Holder: t.self, Addr: t.addr})
		return
	}
	to, ok := t.successor(i, live)
	if !ok || now.Before(s.tenure.From) && s.tenure.Carry == nil {
		return
	}
	seen := t.sightings[to.ID]
	if !draining && (len(p.Handovers) >= maxHandovers || now.Sub(seen.firstSeen) < minListedTime) {
		return
	}
	p.Handovers = append(p.Handovers, Handover{Partition: i, To: to.ID, Addr: to.RPCAddr})
}

// successor returns the entry that ranks first for partition i. It returns
// false if that is this entry or if there is none.
func (t *Table) successor(i int, live []infra.Instance) (infra.Instance, bool) {
	first, _ := t.rank(i, live)
	return first, first.ID != "" && first.ID != t.self
}

// rank returns the entry of live that ranks first for partition i by
// rendezvous hashing, and how many entries rank before this one; len(live) if
// this entry is not among them.
func (t *Table) rank(i int, live []infra.Instance) (first infra.Instance, before int) {
	ownScore, firstScore, listed := score(i, t.self), uint64(0), false
	for _, in := range live {
		entryScore := score(i, in.ID)
		if entryScore >= firstScore {
			first, firstScore = in, entryScore
		}
		if entryScore > ownScore {
			before++
		}
		listed = listed || in.ID == t.self
	}
	if !listed {
		before = len(live)
	}
	return first, before
}

// score returns the score of an entry for a partition in rendezvous hashing; the
// entry with the highest one ranks first.
func score(partition int, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(partition))
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// claimable reports whether a partition that this entry does not hold may be
// claimed: its holder is missing from the instance list, or no holder is
// known. When a whole data centre disappears from the list, it is more likely
// cut off than down, and its entries continue to grant tokens.
func (t *Table) claimable(now time.Time, s *partitionState) bool {
	if s.holder == "" {
		return t.completeLog || now.Sub(t.replayStarted) > RenewInterval+TakeoverDelay
	}
	seen, known := t.sightings[s.holder]
	last := seen.lastSeen
	if last.Before(s.updatedAt) {
		last = s.updatedAt
	}
	wait := AbsenceTimeout
	if _, listed := t.dataCentres[seen.dataCentre]; known && !listed {
		wait = dataCentreTimeout
	}
	return now.Sub(last) > wait
}

// isClaimant reports whether this entry is to claim partition i now: the first
// in rank does so at once, and each further one claimStagger later, in case
// those before it do not.
func (t *Table) isClaimant(now time.Time, i int, live []infra.Instance) bool {
	_, before := t.rank(i, live)
	if before == len(live) {
		return false
	}
	s := &t.partitions[i]
	since := s.updatedAt
	if last := t.sightings[s.holder].lastSeen; last.After(since) {
		since = last
	}
	if since.Before(t.replayStarted) {
		since = t.replayStarted
	}
	return before == 0 || now.Sub(since) > AbsenceTimeout+time.Duration(before)*claimStagger
}

// StartHandover marks a partition as closing, before its shares are closed,
// and returns the tenure to close and its epoch. It returns false if this
// entry may not act as the holder.
func (t *Table) StartHandover(now time.Time, partition int) (Tenure, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.partitions[partition]
	if s.holder != t.self || s.closing || !t.authoritative(now) {
		return Tenure{}, 0, false
	}
	s.closing = true
	return s.tenure, s.epoch, true
}
