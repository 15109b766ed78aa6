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

// sharingEntry is one entry that replicates its table through a keyed partition.
type sharingEntry struct {
	*SharedTable
	handle *keyed.Handle
}

func newSharingEntry(t *testing.T, log *keyed.Log) *sharingEntry {
	h := &keyed.Handle{Log: log}
	s := &sharingEntry{SharedTable: NewSharedTable(h, zerolog.Nop(), func(key string, err error) { t.Errorf("record %s: %v", key, err) }), handle: h}
	f := keyedlog.NewFollower(h, s.SharedTable, keyedlog.Options{Name: "suspects", MaxWait: time.Second, MinInterval: time.Millisecond,
		Clock: func() time.Duration { return time.Duration(time.Now().UnixNano()) }})
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go f.Run(ctx)
	go s.Run(ctx)
	return s
}

// lostEndpoint returns the loss of endpoint n. The request in flight is the same
// for every n.
func lostEndpoint(n int) Crash {
	return Crash{Digest: DigestOf("garden", "/x", nil), Customer: "garden", Attempt: fmt.Sprint("attempt-", n),
		Endpoint: fmt.Sprint("endpoint-", n), Kind: api.CrashLost}
}

// settleTime is long enough for events to reach the store and the other entries,
// and longer than massLossWindow, so that successive losses are no mass loss.
const settleTime = 5 * time.Second

// TestSharedTable_AddsUpCrashesOfAllEntries checks that crashes seen by different
// entries are added up, also at an entry that starts later, and that one success
// clears the request at all entries.
func TestSharedTable_AddsUpCrashesOfAllEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one, two := newSharingEntry(t, log), newSharingEntry(t, log)
		for n := range CrashThreshold {
			g.Expect(two.Verdict(lostEndpoint(0).Digest, "garden")).NotTo(gomega.Equal(Quarantined))
			[]*sharingEntry{one, two}[n%2].RecordCrash(lostEndpoint(n))
			time.Sleep(settleTime)
		}
		third := newSharingEntry(t, log)
		time.Sleep(settleTime)
		for _, s := range []*sharingEntry{one, two, third} {
			g.Expect(s.Verdict(lostEndpoint(0).Digest, "garden")).To(gomega.Equal(Quarantined))
		}
		third.RecordSuccess(lostEndpoint(0).Digest)
		time.Sleep(settleTime)
		g.Expect(one.Verdict(lostEndpoint(0).Digest, "garden")).To(gomega.Equal(Clear))
	})
}

// unreachableProber is a Prober that finds every endpoint unreachable.
type unreachableProber struct{}

func (unreachableProber) Reachable(context.Context, string) bool { return false }

// TestRecordIfUnreachable_LogsRequestID checks that the log message of a crash
// carries the request ID, by which operators find all messages about a request.
func TestRecordIfUnreachable_LogsRequestID(t *testing.T) {
	g := gomega.NewWithT(t)
	var logs bytes.Buffer
	s := NewSharedTable(&keyed.Handle{Log: keyed.NewLog(1)}, zerolog.New(&logs), nil)
	RecordIfUnreachable(s, unreachableProber{}, Crash{Digest: DigestOf("garden", "/x", nil), Customer: "garden", Request: "the/id", Endpoint: "e-1"}, "e-1:1")
	g.Expect(logs.String()).To(gomega.ContainSubstring(`"request":"the/id"`))
}

// TestSharedTable_RetriesRefusedAppends checks that events that the store refused
// are stored once it accepts appends again.
func TestSharedTable_RetriesRefusedAppends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one, two := newSharingEntry(t, log), newSharingEntry(t, log)
		time.Sleep(settleTime)
		one.handle.SetFault(keyed.Refused)
		one.RecordCrash(lostEndpoint(0))
		time.Sleep(settleTime)
		g.Expect(two.Empty()).To(gomega.BeTrue())
		one.handle.SetFault(keyed.None)
		time.Sleep(settleTime)
		g.Expect(two.Empty()).To(gomega.BeFalse())
	})
}

// TestSharedTable_PrunesExpiredRecords checks that records of events older than
// QuarantineDuration are deleted from the partition.
func TestSharedTable_PrunesExpiredRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one := newSharingEntry(t, log)
		time.Sleep(settleTime)
		one.RecordCrash(lostEndpoint(0))
		time.Sleep(QuarantineDuration + pruneJitter + 2*pruneInterval)
		page, _, err := one.handle.Newest(t.Context(), "")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(page.Records).To(gomega.BeEmpty())
		g.Expect(one.Empty()).To(gomega.BeTrue())
	})
}
