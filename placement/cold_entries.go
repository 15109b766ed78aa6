package placement

import (
	"maps"
	"math"
	"slices"
	"time"
)

// coldEntryExpiry is the time for which an entry that has left the list may go on without
// noticing it: that after which entries without contact leave the list.
const coldEntryExpiry = 15 * time.Second

// coldEntries is the list of entries from which the users of cold endpoints are chosen. An
// entry that is out of contact leaves the list of members, but goes on sending with its own
// list, in which the others are users as before. If they shared its part, the sum would
// exceed the bound, so it is kept for a while.
type coldEntries struct {
	listed   []string                 // this entry included; nil: not set
	departed map[string]time.Duration // those that have left the list; clock until which they are kept
	expires  time.Duration            // the earliest time in departed
}

// names returns the entries that may be users.
func (l *coldEntries) names() []string {
	return slices.AppendSeq(slices.Clone(l.listed), maps.Keys(l.departed))
}

// SetColdEntries replaces the names of the entries that use the same endpoints, this entry
// included, for the choice of the users of cold endpoints. Those that are no longer listed
// remain users for the cold time of any endpoint and coldEntryExpiry, unless leaving says
// that they are shutting down.
func (t *Table) SetColdEntries(now time.Duration, names []string, leaving func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := &t.cold.entries
	departed := make(map[string]time.Duration)
	keepUntil := now + coldEntryExpiry + t.longestCold(now)
	for _, name := range l.names() {
		until, before := l.departed[name]
		if !before {
			until = keepUntil
		}
		if !slices.Contains(names, name) && !leaving(name) {
			departed[name] = until
		}
	}
	l.listed, l.departed, l.expires = slices.Clone(names), departed, 0
	t.dropColdEntries(now)
	t.shareAllCold()
}

// longestCold returns the longest time for which a listed endpoint remains cold, or would if
// nothing were known of it.
func (t *Table) longestCold(now time.Duration) time.Duration {
	longest := time.Duration(0)
	for _, rate := range t.cold.rates {
		longest = max(longest, rate.Time)
	}
	for _, e := range t.endpoints {
		if e.cold != nil {
			longest = max(longest, e.cold.until-now)
		}
	}
	return longest
}

// expireColdEntries drops the entries that need not be kept any more.
func (t *Table) expireColdEntries(now time.Duration) {
	if l := &t.cold.entries; len(l.departed) > 0 && now >= l.expires {
		t.dropColdEntries(now)
		t.shareAllCold()
	}
}

func (t *Table) dropColdEntries(now time.Duration) {
	l := &t.cold.entries
	l.expires = math.MaxInt64
	for name, until := range l.departed {
		if now >= until {
			delete(l.departed, name)
		} else {
			l.expires = min(l.expires, until)
		}
	}
}

// shareAllCold sets this entry's parts of all cold endpoints after a change of the list.
func (t *Table) shareAllCold() {
	for _, e := range t.endpoints {
		if e.cold != nil {
			t.shareCold(e)
		}
	}
}

// coldUsers returns the entries from which the users of cold endpoints are chosen.
func (t *Table) coldUsers() []string {
	if t.cold.entries.listed == nil {
		return t.entries
	}
	return t.cold.entries.names()
}
