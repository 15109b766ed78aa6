package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/api"
)

// partCrashOf returns the nth crash, at an endpoint of its own, with a request in flight
// that begins with the given parts and whose response had begun.
func partCrashOf(n int, parts ...string) Crash {
	return Crash{Digest: digest(n), Customer: "c", Attempt: fmt.Sprint("a", n), Endpoint: fmt.Sprint("s", n), Kind: api.CrashLost,
		PromptParts: parts, HeaderReceived: true}
}

// at returns the time of the nth crash. Two of them are no mass loss.
func at(n int) time.Time { return start.Add(time.Duration(n) * 300 * time.Millisecond) }

// crashesToQuarantine is the number of crashes with begun responses that quarantine a part.
const crashesToQuarantine = partThreshold / weightBegun

func TestParts_QuarantinedForAllRequestsThatContainThem(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	for n := range crashesToQuarantine {
		g.Expect(tab.PartsQuarantined([]string{"first", "bad"}, at(20))).To(gomega.BeFalse())
		_, recorded := tab.RecordPartCrash(partCrashOf(n, "first", "bad"), at(n))
		g.Expect(recorded).To(gomega.BeTrue())
	}
	g.Expect(tab.PartsQuarantined([]string{"other", "bad"}, at(20))).To(gomega.BeTrue())
	// Sound requests share the first part, which the deeper one explains.
	g.Expect(tab.PartsQuarantined([]string{"first", "other"}, at(20))).To(gomega.BeFalse())
	tab.Expire(at(0).Add(2 * SuspectDuration))
	g.Expect(tab.Empty()).To(gomega.BeTrue())
	g.Expect(tab.PartsQuarantined([]string{"bad"}, at(0).Add(2*SuspectDuration))).To(gomega.BeFalse())
}

// The first part crashes endpoints, whatever follows it.
func TestParts_FirstPartQuarantinedIfNoDeeperPartExplainsTheCrashes(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	for n := range crashesToQuarantine {
		_, _ = tab.RecordPartCrash(partCrashOf(n, "bad", fmt.Sprint("deeper-", n)), at(n))
	}
	g.Expect(tab.PartsQuarantined([]string{"bad", "new"}, at(20))).To(gomega.BeTrue())
}

// Requests with the part that crashes endpoints share a later part with sound requests.
// While no request is served, that part is accused as often.
func TestParts_LaterPartThatWasSoundBeforeIsSpared(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	tab.RecordSoundParts([]string{"sound"}, start.Add(-2*soundDuration))
	for n := range 2 * crashesToQuarantine {
		_, _ = tab.RecordPartCrash(partCrashOf(n, "bad", "sound"), at(n))
	}
	g.Expect(tab.parts.allQuarantined(at(20))).To(gomega.Equal([]string{"bad"}))
}

// A part that was sound is not refused for long: while it is, no request can show that it
// still is.
func TestParts_SoundBeforeQuarantinedForAShortTime(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	tab.RecordSoundParts([]string{"sound"}, start.Add(-time.Minute))
	for n := range 2 * crashesToQuarantine {
		g.Expect(tab.PartsQuarantined([]string{"sound"}, at(n))).To(gomega.BeFalse(), "%d crashes", n)
		_, _ = tab.RecordPartCrash(partCrashOf(n, "sound"), at(n))
	}
	last := at(2*crashesToQuarantine - 1)
	g.Expect(tab.PartsQuarantined([]string{"sound"}, last)).To(gomega.BeTrue())
	g.Expect(tab.PartsQuarantined([]string{"sound"}, last.Add(soundPartMemory))).To(gomega.BeFalse())
}

// An entry sees a part to be sound between two crashes. The others do not count the first
// one any more.
func TestParts_OthersToldThatAccusedPartIsSound(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := NewTable(), NewTable()
	for n := range 2 * crashesToQuarantine {
		e, _ := two.RecordPartCrash(partCrashOf(n, "sound"), at(n))
		one.Merge(e, at(n))
		if n%2 == 1 {
			for _, e := range one.RecordSoundParts([]string{"sound"}, at(n).Add(time.Millisecond)) {
				two.Merge(e, at(n))
			}
		}
		g.Expect(two.PartsQuarantined([]string{"sound"}, at(n))).To(gomega.BeFalse(), "%d crashes", n+1)
	}
}

// Each of these leaves the parts of sound requests alone.
func TestParts_SoundOnesNotQuarantined(t *testing.T) {
	for name, record := range map[string]func(tab *Table){
		"one request, sent again and again": func(tab *Table) {
			for n := range 10 {
				c := partCrashOf(n, "sound")
				c.Digest = digest(0)
				_, _ = tab.RecordPartCrash(c, at(n))
			}
		},
		"many endpoints at once": func(tab *Table) {
			for n := range 10 {
				_, _ = tab.RecordPartCrash(partCrashOf(n, "sound"), start.Add(time.Duration(n)*momentDuration/20))
			}
		},
		"responses that had begun well": func(tab *Table) {
			for n := range 10 {
				c := partCrashOf(n, "sound")
				c.Events = MinSoundEvents
				_, _ = tab.RecordPartCrash(c, at(n))
			}
		},
		"responses between the crashes": func(tab *Table) {
			for n := range 10 {
				_, _ = tab.RecordPartCrash(partCrashOf(n, "sound"), at(n))
				tab.RecordSoundParts([]string{"sound"}, at(n).Add(time.Millisecond))
			}
		},
		"queued beside the requests that crash": func(tab *Table) {
			for n := range 10 {
				_, _ = tab.RecordPartCrash(partCrashOf(n, "first", "bad"), at(n))
				queued := partCrashOf(100+n, "sound")
				queued.Endpoint, queued.HeaderReceived = fmt.Sprint("s", n), false
				_, _ = tab.RecordPartCrash(queued, at(n))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			tab := NewTable()
			record(tab)
			gomega.NewWithT(t).Expect(tab.PartsQuarantined([]string{"sound"}, at(20))).To(gomega.BeFalse())
		})
	}
}

// A quarantined part is cleared at all entries by one response with it, such as one that
// was under way.
func TestParts_ClearedEverywhereByOneResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	one, two := NewTable(), NewTable()
	for n := range crashesToQuarantine {
		e, _ := one.RecordPartCrash(partCrashOf(n, "sound"), at(n))
		two.Merge(e, at(n))
	}
	g.Expect(two.PartsQuarantined([]string{"sound"}, at(20))).To(gomega.BeTrue())
	for _, e := range one.RecordSoundParts([]string{"sound"}, at(crashesToQuarantine)) {
		two.Merge(e, at(crashesToQuarantine))
	}
	g.Expect(one.PartsQuarantined([]string{"sound"}, at(20))).To(gomega.BeFalse())
	g.Expect(two.PartsQuarantined([]string{"sound"}, at(20))).To(gomega.BeFalse())
	g.Expect(one.Checksum()).To(gomega.Equal(two.Checksum()))
}

// A part that begins to crash endpoints after it was sound is quarantined too.
func TestParts_QuarantinedThoughSoundBefore(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	tab.RecordSoundParts([]string{"bad"}, start)
	for n := range 20 {
		_, _ = tab.RecordPartCrash(partCrashOf(n, "bad"), at(n))
	}
	g.Expect(tab.PartsQuarantined([]string{"bad"}, at(20))).To(gomega.BeTrue())
}

func TestParts_TableIsBounded(t *testing.T) {
	g := gomega.NewWithT(t)
	tab := NewTable()
	for n := range 2 * maxAccusations {
		_, _ = tab.RecordPartCrash(partCrashOf(n, fmt.Sprint("p", n)), start.Add(time.Duration(n)*time.Millisecond))
	}
	g.Expect(tab.Events()).To(gomega.HaveLen(maxAccusations))
}

// Many requests with random parts run at random endpoints. Those with one part crash the
// endpoint, and other requests are in flight there in any state. The part is quarantined
// and no other, whatever order the events arrive in.
func TestParts_RandomRequests(t *testing.T) {
	for seed := range uint64(*seeds) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			g := gomega.NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 7))
			tab := NewTable()
			var events []Event
			for n := range 6 {
				crashes := []Crash{partCrashOf(n, "first", "bad")}
				for m := range random.IntN(8) {
					c := partCrashOf(100+10*n+m, "first", fmt.Sprint("sound-", random.IntN(20)))
					c.Endpoint, c.HeaderReceived, c.Events = crashes[0].Endpoint, random.IntN(2) == 0, random.Int64N(6)
					crashes = append(crashes, c)
				}
				for _, c := range crashes {
					if e, ok := tab.RecordPartCrash(c, at(n).Add(time.Duration(random.IntN(20))*time.Millisecond)); ok {
						events = append(events, e)
					}
				}
			}
			random.Shuffle(len(events), func(i, j int) { events[i], events[j] = events[j], events[i] })
			other := NewTable()
			for _, e := range events {
				other.Merge(e, at(6))
			}
			for _, tab := range []*Table{tab, other} {
				g.Expect(tab.parts.allQuarantined(at(20))).To(gomega.Equal([]string{"bad"}))
			}
		})
	}
}
