package limit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"dandelionrelay/infra"
)

// Times of claiming and handing over.
const (
	claimStagger = time.Second      // the next in rank claims this much later
	settleTime   = 10 * time.Second // an entry must be listed so long before it is handed shares
	maxHandover  = 8                // partitions handed to new entries in one record
	cutWait      = 2 * time.Hour    // before entries of a data centre that is not listed at all count as gone
	forgetAfter  = cutWait + time.Hour
)

// sighting is when an entry was first and last seen listed.
type sighting struct {
	first, last time.Time
	dataCentre  string
}

// Plan is what an entry wants recorded. A takeover must be dropped if its
// previous holder still answers. The partitions to hand over must be closed
// first, with Table.Closing and Minter.Close.
type Plan struct {
	Claims    []Claim // of partitions that nobody else holds
	Takeovers []Takeover
	Handovers []Handover
}

// Takeover claims a partition whose holder is gone from the platform's list.
type Takeover struct {
	Claim        Claim
	Previous     string // instance id of the previous holder
	PreviousAddr string // its address for peers
}

// Handover gives a partition to another entry.
type Handover struct {
	Partition int
	To        string // instance id
	Addr      string // ip:port for peers
}

// SetInstances takes in the platform's list.
func (t *Table) SetInstances(now time.Time, listed []infra.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	t.live = t.live[:0]
	t.dataCentres = make(map[string]struct{}, len(t.dataCentres))
	for _, in := range listed {
		t.dataCentres[in.DataCentre] = struct{}{}
		if in.Role != infra.RoleEntry {
			continue
		}
		t.sight(now, in)
		if in.State == infra.Live {
			t.live = append(t.live, in)
		}
	}
	self, known := t.seen[t.self]
	t.dropped = known && self.last.Before(now)
	for id, seen := range t.seen {
		if now.Sub(seen.last) > forgetAfter {
			delete(t.seen, id)
		}
	}
}

func (t *Table) sight(now time.Time, in infra.Instance) {
	seen, ok := t.seen[in.ID]
	if !ok {
		seen.first = now
	}
	seen.last = now
	seen.dataCentre = in.DataCentre
	t.seen[in.ID] = seen
}

// Plan decides what this entry should record. If leaving, it hands over what
// it holds. The log must have been read to its end, and List called just now.
func (t *Table) Plan(now time.Time, leaving bool) Plan {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	var p Plan
	if t.down || !t.certain(now) {
		return p
	}
	for i := range t.slots {
		t.plan(now, i, t.live, leaving, &p)
	}
	return p
}

func (t *Table) plan(now time.Time, i int, live []infra.Instance, leaving bool, p *Plan) {
	s := &t.slots[i]
	switch {
	case s.holder == t.self:
		t.planOwn(now, i, live, leaving, p)
	case leaving || !t.mayClaim(now, s):
	case t.turn(now, i, live):
		claim := Claim{Partition: i, Epoch: s.epoch + 1, Holder: t.self, Addr: t.addr}
		if s.holder == "" {
			p.Claims = append(p.Claims, claim)
			return
		}
		p.Takeovers = append(p.Takeovers, Takeover{Claim: claim, Previous: s.holder, PreviousAddr: s.addr})
	}
}

// planOwn renews what this entry holds, or hands it over.
func (t *Table) planOwn(now time.Time, i int, live []infra.Instance, leaving bool, p *Plan) {
	s := &t.slots[i]
	if s.closing || s.stale || now.Sub(s.updated) > RenewInterval {
		p.Claims = append(p.Claims, Claim{Partition: i, Epoch: s.epoch + 1, Holder: t.self, Addr: t.addr})
		return
	}
	to, ok := t.successor(i, live)
	if !ok || now.Before(s.tenure.From) && s.tenure.Carry == nil {
		return
	}
	seen := t.seen[to.ID]
	if !leaving && (len(p.Handovers) >= maxHandover || now.Sub(seen.first) < settleTime) {
		return
	}
	p.Handovers = append(p.Handovers, Handover{Partition: i, To: to.ID, Addr: to.RPCAddr})
}

// successor returns the first in rank for partition i, unless it is this
// entry or there is none.
func (t *Table) successor(i int, live []infra.Instance) (infra.Instance, bool) {
	first, _ := t.rank(i, live)
	return first, first.ID != "" && first.ID != t.self
}

// rank returns the first of live by rendezvous hashing for partition i, and
// how many come before this entry; len(live) if it is not among them.
func (t *Table) rank(i int, live []infra.Instance) (first infra.Instance, before int) {
	own, best, among := score(i, t.self), uint64(0), false
	for _, in := range live {
		points := score(i, in.ID)
		if points >= best {
			first, best = in, points
		}
		if points > own {
			before++
		}
		among = among || in.ID == t.self
	}
	if !among {
		before = len(live)
	}
	return first, before
}

func score(partition int, id string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(partition))
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// mayClaim reports whether a partition that others hold is free to be taken
// over: its holder is gone from the list, or nobody is known to hold it. When
// a whole data centre disappears from the list it is more likely cut off than
// gone, and its entries go on minting.
func (t *Table) mayClaim(now time.Time, s *slot) bool {
	if s.holder == "" {
		return t.whole || now.Sub(t.started) > RenewInterval+TakeoverDelay
	}
	seen, known := t.seen[s.holder]
	last := seen.last
	if last.Before(s.updated) {
		last = s.updated
	}
	wait := AbsenceTimeout
	if _, listed := t.dataCentres[seen.dataCentre]; known && !listed {
		wait = cutWait
	}
	return now.Sub(last) > wait
}

// turn reports whether this entry is to claim partition i: the first in rank
// at once, the others later in case the first does not.
func (t *Table) turn(now time.Time, i int, live []infra.Instance) bool {
	_, before := t.rank(i, live)
	if before == len(live) {
		return false
	}
	s := &t.slots[i]
	since := s.updated
	if last := t.seen[s.holder].last; last.After(since) {
		since = last
	}
	if since.Before(t.started) {
		since = t.started
	}
	return before == 0 || now.Sub(since) > AbsenceTimeout+time.Duration(before)*claimStagger
}

// StartHandover says that this entry is about to close its shares of a partition,
// and returns the tenure to close.
func (t *Table) StartHandover(now time.Time, partition int) (Tenure, uint64, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.slots[partition]
	if s.holder != t.self || s.closing || !t.certain(now) {
		return Tenure{}, 0, false
	}
	s.closing = true
	return s.tenure, s.epoch, true
}
