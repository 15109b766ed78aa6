package config_test

import (
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/invariant"
)

var seeds = flag.Uint64("seeds", 25, "number of seeds of the randomised runs")

// simulation holds a log in memory, replicas that read it independently of each
// other, and a reference replica that applies each record as it is appended.
type simulation struct {
	t          *testing.T
	rnd        *rand.Rand
	now        time.Time
	invariants *invariant.Set
	oldest     infra.Offset
	records    []infra.Record  // all that were appended, including expired ones
	appended   []config.Record // changes and snapshots that step may append again
	reference  *config.Replica
	hashes     map[uint64]config.Hash // version -> content hash, by the reference
	verdicts   map[infra.Offset]config.Verdict
	replicas   []*config.Replica
	versions   []uint64 // highest version seen, by replica
}

func newSimulation(t *testing.T, seed uint64) *simulation {
	s := &simulation{
		t:          t,
		rnd:        rand.New(rand.NewPCG(seed, 1)),
		now:        time.Unix(0, 0),
		invariants: invariant.New(func(v invariant.Violation) { t.Errorf("seed %d: %v", seed, v) }),
		oldest:     1,
		hashes:     map[uint64]config.Hash{0: {}},
		verdicts:   make(map[infra.Offset]config.Verdict),
	}
	s.reference = config.NewReplica(s.invariants)
	s.reference.SetLogStart(1)
	for range 5 {
		r := config.NewReplica(s.invariants)
		r.SetLogStart(1)
		s.replicas = append(s.replicas, r)
	}
	s.versions = make([]uint64, len(s.replicas))
	return s
}

func (s *simulation) append(rec config.Record) {
	s.now = s.now.Add(time.Second)
	data, err := json.Marshal(rec)
	if err != nil {
		s.t.Fatal(err)
	}
	raw := infra.Record{Offset: infra.Offset(len(s.records) + 1), ID: rec.ID, Time: s.now, Data: data}
	s.records = append(s.records, raw)
	s.verdicts[raw.Offset] = s.reference.Apply(raw)
	s.hashes[s.reference.Version()] = s.reference.Hash()
}

func (s *simulation) randomReplica() *config.Replica { return s.replicas[s.rnd.IntN(len(s.replicas))] }

// step runs one random operation.
func (s *simulation) step() {
	switch s.rnd.IntN(12) {
	case 0, 1, 2:
		s.propose(s.randomReplica())
	case 3:
		if len(s.appended) > 0 {
			s.append(s.appended[s.rnd.IntN(len(s.appended))])
		}
	case 4:
		s.appendSnapshot(s.randomReplica())
	case 5:
		s.expire()
	case 6:
		s.replace(s.rnd.IntN(len(s.replicas)))
	case 7:
		if full := s.randomReplica().FullState(); full != nil {
			s.randomReplica().Restore(full)
		}
	case 8:
		s.follow(s.randomReplica(), s.randomReplica())
	default:
		s.read(s.randomReplica(), 1+s.rnd.IntN(5))
	}
}

// propose appends a change based on the state of r, which may be outdated.
func (s *simulation) propose(r *config.Replica) {
	if !r.Known() {
		return
	}
	next := withCustomers(1+s.rnd.IntN(4), float64(1+s.rnd.IntN(1000)))
	rec := config.NewChange("", r.Version(), r.State(), r.Hash(), next, fmt.Sprintf("op%d", s.rnd.IntN(3)), s.now)
	s.appended = append(s.appended, rec)
	s.append(rec)
}

// appendSnapshot appends a snapshot of the state of r, which may be outdated.
func (s *simulation) appendSnapshot(r *config.Replica) {
	full := r.FullState()
	if full == nil {
		return
	}
	rec := config.Record{Kind: config.KindSnapshot, ID: fmt.Sprint("s", len(s.records)), Version: full.Version, Hash: full.Hash, Full: full}
	s.appended = append(s.appended, rec)
	s.append(rec)
}

// expire expires older records. It appends a snapshot of the reference before,
// as SnapshotSchedule ensures in operation.
func (s *simulation) expire() {
	s.appendSnapshot(s.reference)
	last := infra.Offset(len(s.records))
	s.oldest += infra.Offset(s.rnd.Uint64N(uint64(last - s.oldest + 1)))
}

// replace replaces a replica by a new one, which may restore the state of a peer.
func (s *simulation) replace(i int) {
	r := config.NewReplica(s.invariants)
	if full := s.randomReplica().FullState(); full != nil && s.rnd.IntN(2) == 0 {
		r.Restore(full)
	}
	s.replicas[i] = r
	s.versions[i] = 0
}

// read lets r read up to n records of the log.
func (s *simulation) read(r *config.Replica, n int) {
	next := r.SetLogStart(s.oldest)
	for _, raw := range s.records[min(int(next)-1, len(s.records)):] {
		if n--; n < 0 {
			return
		}
		r.Apply(raw)
	}
}

// follow applies the records or the state of one replica to another.
func (s *simulation) follow(from, to *config.Replica) {
	records, ok := from.RecordsAfter(to.Through())
	if !to.Known() || !ok {
		if full := from.FullState(); full != nil {
			to.Restore(full)
		}
		return
	}
	for _, raw := range records {
		to.Apply(raw)
	}
}

// check compares every replica with the reference.
func (s *simulation) check(g *gomega.WithT) {
	for i, r := range s.replicas {
		g.Expect(r.Version()).To(gomega.BeNumerically(">=", s.versions[i]), "replica %d reverted", i)
		s.versions[i] = r.Version()
		g.Expect(r.Hash()).To(gomega.Equal(s.hashes[r.Version()]), "replica %d, version %d", i, r.Version())
		if r.Known() && r.Through() == s.reference.Through() {
			g.Expect(r.Version()).To(gomega.Equal(s.reference.Version()), "replica %d at the same offset", i)
		}
	}
}

// checkContents checks the states against their hashes, and the audit trails
// against the reference.
func (s *simulation) checkContents(g *gomega.WithT) {
	for i, r := range s.replicas {
		g.Expect(config.HashOf(r.State())).To(gomega.Equal(r.Hash()))
		for _, e := range r.Audit() {
			g.Expect(e.Verdict).To(gomega.Equal(s.verdicts[e.Offset]), "replica %d, offset %d", i, e.Offset)
		}
	}
}

// TestReplica_RandomisedRunsAgreeWithReference runs concurrent operators, repeated
// records, expiry, new replicas and outdated snapshots in random order. No replica
// may revert or differ from the reference, whichever records it missed.
func TestReplica_RandomisedRunsAgreeWithReference(t *testing.T) {
	var accepted, conflicts, known int
	for seed := range *seeds {
		g := gomega.NewWithT(t)
		s := newSimulation(t, seed)
		for i := range 200 {
			s.step()
			s.check(g)
			if i%20 == 0 {
				s.checkContents(g)
			}
		}
		// Finally all replicas read the whole log; the snapshot provides the state
		// to those that missed records.
		s.appendSnapshot(s.reference)
		for _, r := range s.replicas {
			s.read(r, len(s.records))
			g.Expect(r.Version()).To(gomega.Equal(s.reference.Version()), "seed %d", seed)
			if r.Known() {
				known++
			}
		}
		s.checkContents(g)
		for _, v := range s.verdicts {
			switch v {
			case config.Accepted:
				accepted++
			case config.Conflict:
				conflicts++
			}
		}
		if t.Failed() {
			t.Fatalf("seed %d failed", seed)
		}
	}
	t.Logf("%d changes accepted, %d conflicts, %d replicas known at the end", accepted, conflicts, known)
	g := gomega.NewWithT(t)
	g.Expect(accepted).To(gomega.BeNumerically(">", int(*seeds)))
	g.Expect(conflicts).To(gomega.BeNumerically(">", int(*seeds)))
}
