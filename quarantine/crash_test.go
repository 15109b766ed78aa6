package quarantine

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// unreachable is a Prober of endpoints that have crashed.
type unreachable struct{}

func (unreachable) Reachable(context.Context, string) bool { return false }

// tableTracker is a Tracker that records crashes in a Table at a given time.
type tableTracker struct {
	NopTracker
	*Table
	now time.Time
}

func (t *tableTracker) Empty() bool                          { return t.Table.Empty() }
func (t *tableTracker) PartsQuarantined(parts []string) bool { return false }
func (t *tableTracker) RecordSoundParts([]string)            {}
func (t *tableTracker) RecordSuccess(d Digest)               { t.Table.RecordSuccess(d, t.now) }
func (t *tableTracker) RecordCrash(c Crash)                  { t.recordAll(c, t.now) }
func (t *tableTracker) Verdict(d Digest, customer string) Verdict {
	return t.Table.Verdict(d, customer, t.now)
}

// Guards against one crash that quarantines a harmless request (DENIED): several callers have
// the same request in flight at the endpoint that crashes.
func TestRecordIfUnreachable_OneCrashCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	one := &tableTracker{Table: NewTable(), now: time.Now()}
	other := NewTable()
	d := DigestOf("garden", "/x", nil)
	for n := range 12 {
		crash := Crash{Digest: d, Customer: "garden", Request: fmt.Sprint("request-", n), Endpoint: "w", Incarnation: 7}
		RecordIfUnreachable(one, unreachable{}, crash, "w:1")
	}
	g.Expect(one.Verdict(d, "garden")).To(gomega.Equal(Suspect))
	g.Expect(one.Events()).To(gomega.HaveLen(1))
	for _, e := range one.Events() {
		other.Merge(e, one.now)
	}
	g.Expect(other.Verdict(d, "garden", one.now)).To(gomega.Equal(Suspect), "at another entry")

	for n := 1; n < CrashThreshold; n++ {
		one.now = one.now.Add(settleTime)
		g.Expect(one.Verdict(d, "garden")).To(gomega.Equal(Suspect), "after %d crashes", n)
		RecordIfUnreachable(one, unreachable{}, Crash{Digest: d, Customer: "garden", Request: "r", Endpoint: "w", Incarnation: int64(7 + n)}, "w:1")
	}
	g.Expect(one.Verdict(d, "garden")).To(gomega.Equal(Quarantined), "each incarnation counts")
}
