package quota

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Timing of the replayed exchange, as in package gossip.
const (
	replayTick     = 10 * time.Millisecond
	localEvery     = 3  // ticks between reports within a data centre
	remoteEvery    = 20 // ticks between reports to other data centres and cells
	localLatency   = 1  // ticks
	remoteLatency  = 2  // ticks
	contactTTL     = 700 * time.Millisecond
	memberTTL      = 15 * time.Second
	dataCentres    = 3
	entriesPerCell = 12
	oneCellEntries = 40
)

// contact is what an entry knows of another one from its newest report.
type contact struct {
	at      time.Duration
	hears   bool // the other entry receives the reports of this one
	covered int  // entries of other cells, or of the sender's cell, whose counts the report holds
}

// replayEntry is one entry with its table and its view of the others.
type replayEntry struct {
	id, dataCentre, cell int
	table                *Table
	ownCell, otherCells  *Tally
	heard                map[int]contact // entries of this cell
	heardRelays          map[int]contact // relays of other cells
	accepted             map[int]int     // relay whose counts are used, by other cell
	series               int
	relay, relaySeries   int
	started, lostAt      time.Duration // lostAt < 0: not lost
	cut                  int           // entries exchange reports with those of the same value only; below 0: with none
	frozenUntil          time.Duration
}

// replayReport is a report on its way.
type replayReport struct {
	from, to       *replayEntry
	cellTotals     bool
	counts, others map[Key]Count
	relays         bool // others is set
	covered        int
	hears          bool
	fromStart      time.Duration
}

// exchange replays the reports of entries as package gossip sends them, without a network.
type exchange struct {
	random   *rand.Rand
	loss     float64
	entries  []*replayEntry
	cells    map[int][]*replayEntry
	inFlight map[int][]replayReport // by tick of arrival
}

func newExchange(n int, random *rand.Rand, loss float64, newTable func(now time.Duration) *Table, now time.Duration) *exchange {
	x := &exchange{random: random, loss: loss, cells: make(map[int][]*replayEntry), inFlight: make(map[int][]replayReport)}
	perCentre := 1
	if n > oneCellEntries {
		perCentre = (n/dataCentres + entriesPerCell - 1) / entriesPerCell
	}
	for i := range n {
		x.add(i, n, perCentre, newTable(now), now)
	}
	return x
}

// add adds an entry, which starts at now.
func (x *exchange) add(i, n, perCentre int, t *Table, now time.Duration) {
	e := &replayEntry{
		id: i, dataCentre: i % dataCentres, table: t, ownCell: NewTally(), otherCells: NewTally(), started: now, lostAt: -1, relay: -1,
		heard: make(map[int]contact), heardRelays: make(map[int]contact), accepted: make(map[int]int),
	}
	if n > oneCellEntries {
		e.cell = e.dataCentre*perCentre + i/dataCentres%perCentre
	}
	x.entries = append(x.entries, e)
	x.cells[e.cell] = append(x.cells[e.cell], e)
}

func (e *replayEntry) up() bool                      { return e.lostAt < 0 }
func (e *replayEntry) frozen(now time.Duration) bool { return now < e.frozenUntil }
func (e *replayEntry) mutual(o int, now time.Duration) bool {
	c, ok := e.heard[o]
	return ok && c.hears && now-c.at < contactTTL
}

// relayOf returns the relay of e's cell as e sees it; -1 if there is one cell.
func (x *exchange) relayOf(e *replayEntry, now time.Duration) int {
	if len(x.cells) == 1 {
		return -1
	}
	for _, m := range x.cells[e.cell] {
		if m == e || e.mutual(m.id, now) {
			return m.id
		}
	}
	return e.id
}

// updateRelay ends the series of counts of a relay that is replaced.
func (x *exchange) updateRelay(e *replayEntry, now time.Duration) {
	relay := x.relayOf(e, now)
	if relay == e.relay {
		return
	}
	e.table.Forget(e.relaySource())
	e.relay = relay
	e.series++
	e.relaySeries = e.series
	if relay != e.id {
		for cell, r := range e.accepted {
			e.table.Forget(cellSource(cell, r))
		}
		clear(e.accepted)
		clear(e.heardRelays)
	}
}

func (e *replayEntry) relaySource() string {
	return fmt.Sprintf("other cells by %d, %d", e.relay, e.relaySeries)
}
func cellSource(cell, relay int) string { return fmt.Sprintf("cell %d of %d", cell, relay) }

// coverage returns the number of entries of other cells whose counts e knows.
func (e *replayEntry) coverage(now time.Duration) int {
	if e.relay < 0 {
		return 0
	}
	if e.relay != e.id {
		return e.heard[e.relay].covered
	}
	sum := 0
	for _, r := range e.accepted {
		if c := e.heardRelays[r]; c.hears && now-c.at < contactTTL {
			sum += c.covered
		}
	}
	return sum
}

func (x *exchange) mutualMembers(e *replayEntry, now time.Duration) int {
	count := 1
	for _, m := range x.cells[e.cell] {
		if m != e && e.mutual(m.id, now) {
			count++
		}
	}
	return count
}

// step delivers and sends the reports of the tick at now and sets the shares.
func (x *exchange) step(now time.Duration) {
	tick := int(now / replayTick)
	for _, r := range x.inFlight[tick] {
		x.deliver(now, r)
	}
	delete(x.inFlight, tick)
	members := 0
	for _, e := range x.entries {
		if e.up() || now-e.lostAt < memberTTL {
			members++
		}
	}
	for _, e := range x.entries {
		if !e.up() || e.frozen(now) {
			continue
		}
		x.updateRelay(e, now)
		if (tick+e.id)%localEvery == 0 || (tick+7*e.id)%remoteEvery == 0 {
			x.send(now, e, tick)
		}
		if (tick+e.id)%5 == 0 {
			connected := x.mutualMembers(e, now) + e.coverage(now)
			known := float64(max(members, connected))
			e.table.SetShare(Share{Observed: float64(connected) / known, Own: 1 / known, ValidUntil: now + contactTTL})
		}
	}
}

// send sends the reports of an entry that are due.
func (x *exchange) send(now time.Duration, e *replayEntry, tick int) {
	local, remote := (tick+e.id)%localEvery == 0, (tick+7*e.id)%remoteEvery == 0
	r := replayReport{from: e, counts: e.table.LocalCounts(), fromStart: e.started}
	if e.relay == e.id {
		r.relays, r.others, r.covered = true, e.otherCells.Sum(nil), e.coverage(now)
	}
	for _, m := range x.cells[e.cell] {
		same := m.dataCentre == e.dataCentre
		if m == e || !(local && same || remote) {
			continue
		}
		c, ok := e.heard[m.id]
		r.to, r.hears = m, ok && now-c.at < contactTTL
		x.dispatch(tick, r)
	}
	if remote && e.relay == e.id {
		x.sendTotals(now, e, tick)
	}
}

func (x *exchange) sendTotals(now time.Duration, e *replayEntry, tick int) {
	r := replayReport{from: e, cellTotals: true, counts: e.ownCell.Sum(e.table.LocalCounts()), covered: x.mutualMembers(e, now)}
	for _, cell := range slices.Sorted(maps.Keys(x.cells)) {
		members := x.cells[cell]
		if cell == e.cell {
			continue
		}
		// An accepted relay, else the members in turn.
		r.to = members[(tick/remoteEvery/4)%len(members)]
		if relay, ok := e.accepted[cell]; ok && now-e.heardRelays[relay].at < contactTTL {
			r.to = x.entries[relay]
		}
		c, ok := e.heardRelays[r.to.id]
		r.hears = ok && now-c.at < contactTTL
		x.dispatch(tick, r)
	}
}

func (x *exchange) dispatch(tick int, r replayReport) {
	if r.from.cut != r.to.cut || r.from.cut < 0 || x.random.Float64() < x.loss {
		return
	}
	latency := localLatency
	if r.from.dataCentre != r.to.dataCentre {
		latency = remoteLatency
	}
	x.inFlight[tick+latency] = append(x.inFlight[tick+latency], r)
}

func (x *exchange) deliver(now time.Duration, r replayReport) {
	e := r.to
	if !e.up() || e.frozen(now) || !r.from.up() || r.from.cut != e.cut {
		return
	}
	c := contact{at: now, hears: r.hears, covered: r.covered}
	if r.cellTotals {
		x.deliverTotals(now, e, r, c)
		return
	}
	e.heard[r.from.id] = c
	x.updateRelay(e, now)
	name := fmt.Sprintf("entry %d", r.from.id)
	e.ownCell.Add(e.table.Observe(now, name, uint64(r.fromStart), r.counts, Report{Full: true}))
	if r.relays && e.relay == r.from.id {
		e.table.Observe(now, e.relaySource(), uint64(r.fromStart), r.others, Report{Full: true})
	}
}

func (x *exchange) deliverTotals(now time.Duration, e *replayEntry, r replayReport, c contact) {
	if e.relay != e.id {
		return
	}
	cell := r.from.cell
	e.heardRelays[r.from.id] = c
	first := -1
	for _, m := range x.cells[cell] {
		if c, ok := e.heardRelays[m.id]; ok && now-c.at < contactTTL && (first < 0 || m.id < first) {
			first = m.id
		}
	}
	if accepted, ok := e.accepted[cell]; ok && accepted != first {
		e.table.Forget(cellSource(cell, accepted))
	}
	e.accepted[cell] = first
	if first == r.from.id {
		e.otherCells.Add(e.table.Observe(now, cellSource(cell, first), uint64(r.from.started), r.counts, Report{Full: true}))
	}
}
