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

// world is a log without I/O, replicas that read it at their own pace, and a
// reference that reads each record as it is appended.
type world struct {
	t         *testing.T
	rnd       *rand.Rand
	now       time.Time
	checks    *invariant.Set
	oldest    infra.Offset
	records   []infra.Record  // all ever appended
	old       []config.Record // for appending once more
	reference *config.Replica
	contents  map[uint64]config.Hash // version -> content, by the reference
	verdicts  map[infra.Offset]config.Verdict
	replicas  []*config.Replica
	versions  []uint64 // highest seen, by replica
}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t:        t,
		rnd:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(0, 0),
		checks:   invariant.New(func(v invariant.Violation) { t.Errorf("seed %d: %v", seed, v) }),
		oldest:   1,
		contents: map[uint64]config.Hash{0: {}},
		verdicts: make(map[infra.Offset]config.Verdict),
	}
	w.reference = config.NewReplica(w.checks)
	w.reference.SetLogStart(1)
	for range 5 {
		r := config.NewReplica(w.checks)
		r.SetLogStart(1)
		w.replicas = append(w.replicas, r)
	}
	w.versions = make([]uint64, len(w.replicas))
	return w
}

func (w *world) append(rec config.Record) {
	w.now = w.now.Add(time.Second)
	data, err := json.Marshal(rec)
	if err != nil {
		w.t.Fatal(err)
	}
	raw := infra.Record{Offset: infra.Offset(len(w.records) + 1), ID: rec.ID, Time: w.now, Data: data}
	w.records = append(w.records, raw)
	w.verdicts[raw.Offset] = w.reference.Apply(raw)
	w.contents[w.reference.Version()] = w.reference.Hash()
}

func (w *world) any() *config.Replica { return w.replicas[w.rnd.IntN(len(w.replicas))] }

// step does one random thing.
func (w *world) step() {
	switch w.rnd.IntN(12) {
	case 0, 1, 2:
		w.propose(w.any())
	case 3:
		if len(w.old) > 0 {
			w.append(w.old[w.rnd.IntN(len(w.old))])
		}
	case 4:
		w.carry(w.any())
	case 5:
		w.expire()
	case 6:
		w.replace(w.rnd.IntN(len(w.replicas)))
	case 7:
		if full := w.any().FullState(); full != nil {
			w.any().Restore(full)
		}
	case 8:
		w.relay(w.any(), w.any())
	default:
		w.read(w.any(), 1+w.rnd.IntN(5))
	}
}

// propose appends a change made from what r knows, which may be old.
func (w *world) propose(r *config.Replica) {
	if !r.Known() {
		return
	}
	next := withCustomers(1+w.rnd.IntN(4), float64(1+w.rnd.IntN(1000)))
	rec := config.NewChange("", r.Version(), r.State(), r.Hash(), next, fmt.Sprintf("op%d", w.rnd.IntN(3)), w.now)
	w.old = append(w.old, rec)
	w.append(rec)
}

// carry appends a snapshot of what r knows, which may be old.
func (w *world) carry(r *config.Replica) {
	full := r.FullState()
	if full == nil {
		return
	}
	rec := config.Record{Kind: config.KindSnapshot, ID: fmt.Sprint("s", len(w.records)), Version: full.Version, Hash: full.Hash, Full: full}
	w.old = append(w.old, rec)
	w.append(rec)
}

// expire drops the older records, after a snapshot by the reference, as the
// carrying rule sees to that in time.
func (w *world) expire() {
	w.carry(w.reference)
	last := infra.Offset(len(w.records))
	w.oldest += infra.Offset(w.rnd.Uint64N(uint64(last - w.oldest + 1)))
}

// replace starts a new process, with or without a peer's help.
func (w *world) replace(i int) {
	r := config.NewReplica(w.checks)
	if full := w.any().FullState(); full != nil && w.rnd.IntN(2) == 0 {
		r.Restore(full)
	}
	w.replicas[i] = r
	w.versions[i] = 0
}

// read lets r read up to n records of the log.
func (w *world) read(r *config.Replica, n int) {
	next := r.SetLogStart(w.oldest)
	for _, raw := range w.records[min(int(next)-1, len(w.records)):] {
		if n--; n < 0 {
			return
		}
		r.Apply(raw)
	}
}

// relay lets one replica follow another.
func (w *world) relay(from, to *config.Replica) {
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
func (w *world) check(g *gomega.WithT) {
	for i, r := range w.replicas {
		g.Expect(r.Version()).To(gomega.BeNumerically(">=", w.versions[i]), "replica %d reverted", i)
		w.versions[i] = r.Version()
		g.Expect(r.Hash()).To(gomega.Equal(w.contents[r.Version()]), "replica %d, version %d", i, r.Version())
		if r.Known() && r.Through() == w.reference.Through() {
			g.Expect(r.Version()).To(gomega.Equal(w.reference.Version()), "replica %d at the same offset", i)
		}
	}
}

// checkContents compares states and audit trails too.
func (w *world) checkContents(g *gomega.WithT) {
	for i, r := range w.replicas {
		g.Expect(config.HashOf(r.State())).To(gomega.Equal(r.Hash()))
		for _, e := range r.Audit() {
			g.Expect(e.Verdict).To(gomega.Equal(w.verdicts[e.Offset]), "replica %d, offset %d", i, e.Offset)
		}
	}
}

// TestReplicasAgreeWhateverTheyMissed runs racing operators, repeated old
// records, expiry, late joiners and late snapshots in random order.
func TestReplicasAgreeWhateverTheyMissed(t *testing.T) {
	var accepted, conflicts, joined int
	for seed := range *seeds {
		g := gomega.NewWithT(t)
		w := newWorld(t, seed)
		for i := range 200 {
			w.step()
			w.check(g)
			if i%20 == 0 {
				w.checkContents(g)
			}
		}
		// In the end all read all; a snapshot helps those who missed some.
		w.carry(w.reference)
		for _, r := range w.replicas {
			w.read(r, len(w.records))
			g.Expect(r.Version()).To(gomega.Equal(w.reference.Version()), "seed %d", seed)
			if r.Known() {
				joined++
			}
		}
		w.checkContents(g)
		for _, v := range w.verdicts {
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
	t.Logf("%d changes accepted, %d conflicts, %d replicas at the end", accepted, conflicts, joined)
	g := gomega.NewWithT(t)
	g.Expect(accepted).To(gomega.BeNumerically(">", int(*seeds)))
	g.Expect(conflicts).To(gomega.BeNumerically(">", int(*seeds)))
}
