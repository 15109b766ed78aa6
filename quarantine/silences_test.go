package quarantine

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"dandelionrelay/standin/keyed"
)

// silentEntry is an entry that shares its table and decides on silences.
type silentEntry struct {
	*sharingEntry
	*Silences
}

func newSilentEntry(t *testing.T, log *keyed.Log) silentEntry {
	e := newSharingEntry(t, log)
	clock := func() time.Duration { return time.Duration(time.Now().UnixNano()) }
	return silentEntry{e, NewSilences(e, clock, zerolog.Nop(), prometheus.NewRegistry())}
}

func (e silentEntry) verdict() Verdict {
	return e.sharingEntry.Verdict(silentCrash(0).Digest, "garden")
}

// silentCrash returns the silence of endpoint n. The request in flight is the same for every n.
func silentCrash(n int) Crash {
	return Crash{Digest: DigestOf("garden", "/x", nil), Customer: "garden", Request: "r", Endpoint: fmt.Sprint("w", n), Incarnation: 1}
}

// listedExcept returns a list of all incarnations but those of endpoints up to n.
func listedExcept(n int) func(string, int64) bool {
	return func(id string, _ int64) bool {
		for i := range n + 1 {
			if id == fmt.Sprint("w", i) {
				return false
			}
		}
		return true
	}
}

// reportSilences reports the silences of CrashThreshold endpoints, too far apart for a failure
// of the network.
func (e silentEntry) reportSilences() {
	for n := range CrashThreshold {
		e.Report(silentCrash(n))
		time.Sleep(time.Second)
	}
}

// Guards against a request that is rejected for a day, and not only held, before it is known
// that endpoints crashed, and against one that is not rejected once it is.
func TestSilences_HeldAtAllEntriesUntilRegistrationsAreGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := keyed.NewLog(10)
		one, other := newSilentEntry(t, log), newSilentEntry(t, log)
		one.SetListed(listedExcept(-1))
		one.reportSilences()
		g.Expect(one.verdict()).To(gomega.Equal(Held))
		time.Sleep(time.Second)
		g.Expect(other.verdict()).To(gomega.Equal(Held))
		one.SetListed(listedExcept(CrashThreshold))
		time.Sleep(settleTime)
		g.Expect(one.verdict()).To(gomega.Equal(Quarantined))
		g.Expect(other.verdict()).To(gomega.Equal(Quarantined))
	})
}

// Guards against a harmless request that stays held though an endpoint has registered again,
// and against a registration from before the silence that is taken for a sign of life.
func TestSilences_WithdrawnOnceAnEndpointRegisters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newSilentEntry(t, keyed.NewLog(10))
		e.SetListed(listedExcept(-1))
		before := e.clock()
		time.Sleep(time.Millisecond)
		e.reportSilences()
		e.Registered("w0", 1, before)
		e.Registered("w0", 2, e.clock()) // another incarnation
		g.Expect(e.verdict()).To(gomega.Equal(Held))
		e.Registered("w0", 1, e.clock())
		g.Expect(e.verdict()).To(gomega.Equal(Suspect))
	})
}

// Guards against silences that count for ever, as it is never known what they were.
func TestSilences_UndecidedOnesExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		e := newSilentEntry(t, keyed.NewLog(10))
		e.SetListed(listedExcept(-1))
		e.reportSilences()
		time.Sleep(unconfirmedDuration)
		g.Expect(e.verdict()).To(gomega.Equal(Clear))
		e.Report(silentCrash(9))
		g.Expect(e.pending).To(gomega.HaveLen(1))
	})
}
