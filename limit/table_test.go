package limit

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/infra"
)

var start = time.Unix(1e9, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

// holder returns a table whose owner holds partition 0 as the first ever, and
// the record that says so.
func holder(id string) (*Table, *Record) {
	t := NewTable(id, id, start)
	t.StartReplay(start, true)
	r := &Record{Claims: []Claim{{Partition: 0, Epoch: 1, Holder: id, Addr: id}}}
	t.Apply(start, r)
	t.ConfirmRead(start, start)
	return t, r
}

func follow(id string, at time.Time, records ...*Record) *Table {
	t := NewTable(id, id, at)
	t.StartReplay(at, true)
	for _, r := range records {
		t.Apply(at, r)
	}
	t.ConfirmRead(at, at)
	return t
}

// keep keeps t observed from one time to another.
func keep(t *Table, from, to time.Duration) {
	for d := from; d <= to; d += MaxTickGap / 4 {
		t.Tick(at(d))
	}
}

func TestSuccessorMintsOnlyAfterTheLastTokenOfItsPredecessor(t *testing.T) {
	g := gomega.NewWithT(t)
	old, first := holder("a")
	taken := &Record{Claims: []Claim{{Partition: 0, Epoch: 2, Holder: "b", Addr: "b"}}}
	next := follow("b", start, first)
	next.Apply(at(time.Millisecond), taken)

	// The holder's read ended just before the takeover; it is confirmed until
	// FreshFor has passed, and what it grants may be used for GrantLife.
	var lastUse, firstMint time.Time
	for d := time.Duration(0); d < time.Minute; d += 10 * time.Millisecond {
		now := at(d)
		old.Tick(now)
		if _, ok := old.Tenure(now, 0); ok {
			lastUse = now.Add(GrantTTL)
		}
		next.ConfirmRead(now, now)
		if _, ok := next.Tenure(now, 0); ok && firstMint.IsZero() {
			firstMint = now
		}
	}
	g.Expect(firstMint).To(gomega.BeTemporally(">", lastUse))
	g.Expect(firstMint).To(gomega.BeTemporally("<", at(time.Minute)))
}

func TestPausedHolderReadsTheLogBeforeItMints(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := holder("a")
	mints := func(d time.Duration) bool {
		_, ok := a.Tenure(at(d), 0)
		return ok
	}
	a.ReadFailed(at(100 * time.Millisecond))
	keep(a, 0, time.Minute)
	g.Expect(mints(time.Minute)).To(gomega.BeTrue(), "it runs on while the log is down")

	g.Expect(mints(time.Minute+2*MaxTickGap)).To(gomega.BeFalse(), "before it knows of its pause")
	a.ReadFailed(at(2 * time.Minute))
	g.Expect(mints(2*time.Minute)).To(gomega.BeFalse(), "the log is still down")
	a.ConfirmRead(at(time.Minute), at(2*time.Minute+1))
	g.Expect(mints(2*time.Minute+1)).To(gomega.BeFalse(), "that read was started before the pause")
	a.ConfirmRead(at(2*time.Minute+2), at(2*time.Minute+3))
	g.Expect(mints(2*time.Minute + 3)).To(gomega.BeTrue())
}

func TestLowestOffsetOfAnEpochWins(t *testing.T) {
	g := gomega.NewWithT(t)
	a, first := holder("a")
	second := &Record{Claims: []Claim{{Partition: 0, Epoch: 1, Holder: "b", Addr: "b"}}}
	b := follow("b", start, first, second)
	a.Apply(at(1), second)
	for _, table := range []*Table{a, b} {
		id, _ := table.Holder(0)
		g.Expect(id).To(gomega.Equal("a"))
	}
}

func TestOnlyHoldersThatAreGoneAreReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	entry := func(id, dc string) infra.Instance {
		return infra.Instance{ID: id, Role: infra.RoleEntry, DataCentre: dc, State: infra.Live}
	}
	sidecar := infra.Instance{ID: "s", Role: infra.RoleSidecar, DataCentre: "dc-1"}
	takeovers := func(later ...infra.Instance) int {
		_, first := holder("a")
		b := follow("b", start, first)
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
	g.Expect(takeovers(entry("b", "dc-2"), sidecar)).To(gomega.Equal(1), "the entry alone is gone")
	g.Expect(takeovers(entry("b", "dc-2"), sidecar, entry("a", "dc-1"))).To(gomega.BeZero(), "it is listed")
	g.Expect(takeovers(entry("b", "dc-2"))).To(gomega.BeZero(), "its whole data centre may be cut off")
}
