package quota

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// Guards against an explanation that takes a token, refills a bucket, begins the minimum
// tolerance as a refusal does, or differs from the decision that follows: one table is
// peeked at before each request and another is not.
func TestTable_PeekAgreesWithAdmitAndChangesNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	newTable := func() *Table {
		table := NewTable(tolerance)
		table.SetLimits(0, map[string]Limit{"garden": {Rate: rate, Burst: burst}})
		return table
	}
	peeked, plain := newTable(), newTable()
	g.Expect(peeked.Peek(0, "garden")).To(gomega.Equal(plain.Admit(0, "garden")), "the share is not known yet")
	refused := 0
	for i := range 3000 {
		now := time.Duration(i) * 7 * time.Millisecond
		if i == 100 {
			for _, table := range []*Table{peeked, plain} {
				table.SetShare(Share{Observed: 0.5, Own: 0.1, ValidUntil: 15 * time.Second})
				table.Observe(now, "other", 1, map[Key]Count{KeyOf("garden"): 9}, Report{Full: true, FromZero: true})
			}
		}
		for range 3 {
			peeked.Peek(now, "garden")
			peeked.Peek(now, "unknown")
			peeked.PeekLimit(now, "new", Limit{Rate: 1, Burst: 1})
		}
		before := peeked.Peek(now, "garden")
		decision := peeked.Admit(now, "garden")
		g.Expect(before).To(gomega.Equal(decision))
		g.Expect(decision).To(gomega.Equal(plain.Admit(now, "garden")), "at %s", now)
		if !decision.Admitted {
			refused++
		}
	}
	g.Expect(refused).To(gomega.BeNumerically(">", 100))
	g.Expect(peeked.LocalCounts()).To(gomega.Equal(plain.LocalCounts()))
	g.Expect(peeked.Peek(0, "unknown").Admitted).To(gomega.BeTrue())
}

// A limit that is not set yet counts from a full refill of nothing, as SetLimits would begin it.
func TestTable_PeekLimitOfNewCustomer(t *testing.T) {
	g := gomega.NewWithT(t)
	table := NewTable(Tolerance{Window: time.Second})
	table.SetShare(Share{Observed: 1, Own: 1, ValidUntil: time.Hour})
	l := Limit{Rate: 10, Burst: 10}
	before := table.PeekLimit(time.Minute, "new", l)
	g.Expect(before.Admitted).To(gomega.BeFalse())
	table.SetLimits(time.Minute, map[string]Limit{"new": l})
	g.Expect(table.Admit(time.Minute, "new")).To(gomega.Equal(before))
}
