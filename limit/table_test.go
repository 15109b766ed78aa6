package limit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/infra"
)

var start = time.Unix(1e9, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// newHolderTable returns the table of an entry that is the first holder of
// partition 0, and the record that says so.
func newHolderTable(id string) (*Table, *Record) {
	t := NewTable(id, id, start)
	t.StartReplay(start, true)
	r := &Record{Claims: []Claim{{Partition: 0, Epoch: 1, Holder: id, Addr: id}}}
	t.Apply(start, r)
	t.ConfirmRead(start, start)
	return t, r
}

// newReplayedTable returns a table that has replayed records and confirmed the
// end of the log at the given time.
func newReplayedTable(id string, at time.Time, records ...*Record) *Table {
	t := NewTable(id, id, at)
	t.StartReplay(at, true)
	for _, r := range records {
		t.Apply(at, r)
	}
	t.ConfirmRead(at, at)
	return t
}

// tickUntil calls Tick of t from one time to another, often enough that t
// detects no pause.
func tickUntil(t *Table, from, to time.Duration) {
	for d := from; d <= to; d += MaxTickGap / 4 {
		t.Tick(at(d))
	}
}

func TestSuccessor_GrantsOnlyAfterLastTokenOfPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	old, first := newHolderTable("a")
	taken := &Record{Claims: []Claim{{Partition: 0, Epoch: 2, Holder: "b", Addr: "b"}}}
	next := newReplayedTable("b", start, first)
	next.Apply(at(time.Millisecond), taken)

	// The holder's last read ended just before the takeover: it stays confirmed
	// for ConfirmationTTL, and what it grants may be used for GrantTTL.
	var lastUse, firstGrant time.Time
	for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
		now := at(d)
		old.Tick(now)
		if _, ok := old.Tenure(now, 0); ok {
			lastUse = now.Add(GrantTTL)
		}
		next.ConfirmRead(now, now)
		if _, ok := next.Tenure(now, 0); ok && firstGrant.IsZero() {
			firstGrant = now
		}
	}
	g.Expect(firstGrant).To(gomega.BeTemporally(">", lastUse))
	g.Expect(firstGrant).To(gomega.BeTemporally("<", at(time.Minute)))
}

func TestPausedHolder_ReadsLogBeforeItGrants(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := newHolderTable("a")
	grants := func(d time.Duration) bool {
		_, ok := a.Tenure(at(d), 0)
		return ok
	}
	a.LogFailed(at(100 * time.Millisecond))
	tickUntil(a, 0, time.Minute)
	g.Expect(grants(time.Minute)).To(gomega.BeTrue(), "a holder that was not paused grants tokens while the log is down")

	g.Expect(grants(time.Minute+2*MaxTickGap)).To(gomega.BeFalse(), "the pause has not been detected yet")
	a.LogFailed(at(2 * time.Minute))
	g.Expect(grants(2*time.Minute)).To(gomega.BeFalse(), "the log is still down")
	a.ConfirmRead(at(time.Minute), at(2*time.Minute+1))
	g.Expect(grants(2*time.Minute+1)).To(gomega.BeFalse(), "the read started before the pause")
	a.ConfirmRead(at(2*time.Minute+2), at(2*time.Minute+3))
	g.Expect(grants(2*time.Minute + 3)).To(gomega.BeTrue())
}

func TestClaims_LowestOffsetOfEpochWins(t *testing.T) {
	g := gomega.NewWithT(t)
	a, first := newHolderTable("a")
	second := &Record{Claims: []Claim{{Partition: 0, Epoch: 1, Holder: "b", Addr: "b"}}}
	b := newReplayedTable("b", start, first, second)
	a.Apply(at(1), second)
	for _, table := range []*Table{a, b} {
		id, _ := table.Holder(0)
		g.Expect(id).To(gomega.Equal("a"))
	}
}

func TestTakeover_ReplacesOnlyMissingHolders(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := func(id, dc string) infra.Instance {
		return infra.Instance{ID: id, Role: infra.RoleEntry, DataCentre: dc, State: infra.Live}
	}
	sidecar := infra.Instance{ID: "s", Role: infra.RoleSidecar, DataCentre: "dc-1"}
	takeovers := func(later ...infra.Instance) int {
		_, first := newHolderTable("a")
		b := newReplayedTable("b", start, first)
		b.SetInstances(start, []infra.Instance{entry("a", "dc-1"), entry("b", "dc-2"), sidecar})
		for d := time.Second; d <= time.Minute; d += time.Second {
			b.ConfirmRead(at(d), at(d))
			b.SetInstances(at(d), later)
		}
		n := 0
		for _, t := range b.Plan(at(time.Minute), false).Takeovers {
			if t.Claim.Partition == 0 {
				n++
			}
		}
		return n
	}
	g.Expect(takeovers(entry("b", "dc-2"), sidecar)).To(gomega.Equal(1), "only the entry is missing")
	g.Expect(takeovers(entry("b", "dc-2"), sidecar, entry("a", "dc-1"))).To(gomega.BeZero(), "the holder is listed")
	g.Expect(takeovers(entry("b", "dc-2"))).To(gomega.BeZero(), "the whole data centre is missing and may be cut off")
}
