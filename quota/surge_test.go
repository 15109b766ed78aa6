package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// newSurgeTable returns a table with share 1 of ten entries, which has run for a while.
func newSurgeTable(w time.Duration) *Table {
	t := NewTable(Tolerance{Window: w, Excess: excess, Slack: slack})
	t.SetLimits(0, map[string]Limit{"c": {Rate: rate, Burst: burst}})
	t.SetShare(Share{Observed: 1, Own: 0.1, ValidUntil: time.Hour})
	return t
}

// An entry that was out of contact used its own share. Charging all that it admitted then
// would leave the customer without its rate for as long again.
func TestTable_AdmissionsOfLostContactAreChargedInPart(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSurgeTable(window)
	report := func(now time.Duration, n Count) map[Key]int32 {
		return table.Observe(now, "other", 1, map[Key]Count{KeyOf("c"): n}, Report{Full: true})
	}
	report(20*time.Second, 0)
	g.Expect(report(20900*time.Millisecond, 10)).To(gomega.HaveKeyWithValue(KeyOf("c"), int32(10)), "no silence")
	before := table.Admit(32900*time.Millisecond, "c").Level
	g.Expect(report(32900*time.Millisecond, 130)).To(gomega.HaveKeyWithValue(KeyOf("c"), int32(50)), "of 120 in 12 s those of the last 5 s are passed on")
	g.Expect(before-1-table.Admit(32900*time.Millisecond, "c").Level).To(gomega.BeNumerically("~", 10, 0.01), "and those of 1 s charged")
}

// Entries with the same part of less than one token must not all round it up, nor all down:
// together they take the common tokens, within the standard deviation of the rounding.
func TestTable_PartsBelowOneTokenAddUp(t *testing.T) {
	g := gomega.NewWithT(t)
	const entries, common = 133, 40.0
	taken := 0
	for i := range entries {
		table := newSurgeTable(window)
		for j := range entries {
			if i != j {
				table.Observe(0, fmt.Sprint("entry ", j), 1, nil, Report{Full: true})
			}
		}
		if withinPart(0, 1.0/entries, common, table.dither(time.Minute, KeyOf("c"))) {
			taken++
		}
	}
	g.Expect(taken).To(gomega.BeNumerically("~", common, 4*5.3))
}

// A customer in surge at an entry that loses its contacts: the entry takes its own part of
// what is left, less what the others have used unseen.
func TestTable_LostShareTakesItsTokensAlong(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSurgeTable(window)
	for table.Admit(20*time.Second, "c").Admitted {
	}
	table.SetShare(Share{Observed: 0.5, Own: 0.1, ValidUntil: time.Hour})
	before := table.buckets[KeyOf("c")].level
	after := table.Admit(20*time.Second, "c").Level
	g.Expect(after).To(gomega.BeNumerically("~", (before-rate*0.75*0.5)/2, 0.01))
}

// Windows of about the time that reports may take leave no time to make up for what others
// have not seen: surges are not divided there, and nothing is overdrawn.
func TestTable_ShortWindowIsNotOverdrawn(t *testing.T) {
	g := gomega.NewWithT(t)
	table := newSurgeTable(time.Second)
	for table.Admit(20*time.Second, "c").Admitted {
	}
	g.Expect(table.buckets[KeyOf("c")].level).To(gomega.BeNumerically(">=", 0))
}

// Refused callers that are told the same time return together and are refused again. Each
// is told a later token than those refused before, none beyond maxWait, and beyond that
// waits are spread.
func TestTable_RefusedRequestsQueueForTokens(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(tolerance)
	table.SetLimits(0, map[string]Limit{"c": {Rate: 10, Burst: 1}})
	table.SetShare(Share{Observed: 1, Own: 1, ValidUntil: time.Hour})
	now := time.Minute
	for table.Admit(now, "c").Admitted {
	}
	var waits []time.Duration
	for range 200 {
		waits = append(waits, table.QueueRefused(now, "c"))
	}
	for i, w := range waits[:40] {
		due := waits[0] + time.Duration(i)*100*time.Millisecond
		g.Expect(w).To(gomega.And(gomega.BeNumerically(">=", due), gomega.BeNumerically("<=", due+100*time.Millisecond)), "request %d", i)
	}
	seen := make(map[time.Duration]bool)
	for _, w := range waits {
		g.Expect(w).To(gomega.BeNumerically("<=", maxWait))
		g.Expect(seen[w]).To(gomega.BeFalse(), "two callers return at %v", w)
		seen[w] = true
	}
}
