package quarantine

import (
	"bytes"
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"dandelionrelay/api"
	"dandelionrelay/keyedlog"
	"dandelionrelay/standin/keyed"
)

// sharing is one entry of a fleet that shares its events in a keyed partition.
type sharing struct {
	*SharedTable
	handle *keyed.Handle
}

func newSharing(t *testing.T, log *keyed.Log) *sharing {
	h := &keyed.Handle{Log: log}
	s := &sharing{SharedTable: NewSharedTable(h, zerolog.Nop(), func(key string, err error) { t.Errorf("record %s: %v", key, err) }), handle: h}
	f := keyedlog.NewFollower(h, s.SharedTable, keyedlog.Options{Name: "suspects", MaxWait: time.Second, MinInterval: time.Millisecond,
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	go s.Run(ctx)
	return s
}

func lossOf(n int) Crash {
	return Crash{Digest: DigestOf("garden", "/x", nil), Customer: "garden", Attempt: fmt.Sprint("attempt-", n),
		Endpoint: fmt.Sprint("endpoint-", n), Kind: api.CrashLost}
}

// settle lets events reach the store and the other entries, and any number of
// endpoints may then be lost again without that being a failure of a site.
const settle = 5 * time.Second

// Deaths that different entries saw sum up, also for an entry that starts later,
// and one good end clears the request everywhere.
func TestDeathsSumUpOverEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one, two := newSharing(t, log), newSharing(t, log)
		for n := range CrashThreshold {
			g.Expect(two.Verdict(lossOf(0).Digest, "garden")).NotTo(gomega.Equal(Quarantined))
			[]*sharing{one, two}[n%2].RecordCrash(lossOf(n))
			time.Sleep(settle)
		}
		late := newSharing(t, log)
		time.Sleep(settle)
		for _, s := range []*sharing{one, two, late} {
			g.Expect(s.Verdict(lossOf(0).Digest, "garden")).To(gomega.Equal(Quarantined))
		}
		late.RecordSuccess(lossOf(0).Digest)
		time.Sleep(settle)
		g.Expect(one.Verdict(lossOf(0).Digest, "garden")).To(gomega.Equal(Clear))
	})
}

// unreachable is a Prober of endpoints that are down.
type unreachable struct{}

func (unreachable) Reachable(context.Context, string) bool { return false }

// The line of a death has the id of the request, by which its lines are found.
func TestTheLineOfADeathHasTheRequestsID(t *testing.T) {
	g := gomega.NewWithT(t)
	var logs bytes.Buffer
	s := NewSharedTable(&keyed.Handle{Log: keyed.NewLog(1)}, zerolog.New(&logs), nil)
	RecordIfUnreachable(s, unreachable{}, Crash{Digest: DigestOf("garden", "/x", nil), Customer: "garden", Request: "the/id", Endpoint: "e-1"}, "e-1:1")
	g.Expect(logs.String()).To(gomega.ContainSubstring(`"request":"the/id"`))
}

// Events that the store did not take are stored when it is back.
func TestDeathsAreStoredWhenTheStoreIsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one, two := newSharing(t, log), newSharing(t, log)
		time.Sleep(settle)
		one.handle.Set(keyed.Refused)
		one.RecordCrash(lossOf(0))
		time.Sleep(settle)
		g.Expect(two.Empty()).To(gomega.BeTrue())
		one.handle.Set(keyed.None)
		time.Sleep(settle)
		g.Expect(two.Empty()).To(gomega.BeFalse())
	})
}

// Records of events that count for nothing any more are dropped.
func TestOldDeathsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one := newSharing(t, log)
		time.Sleep(settle)
		one.RecordCrash(lossOf(0))
		time.Sleep(QuarantineDuration + pruneSpread + 2*pruneInterval)
		page, _, err := one.handle.Newest(t.Context(), "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(page.Records).To(gomega.BeEmpty())
		g.Expect(one.Empty()).To(gomega.BeTrue())
	})
}
