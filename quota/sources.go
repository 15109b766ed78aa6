package quota

import (
	"math"
	"time"
)

// source is the state of one series of reported counts: those of another entry, or the
// sums of several.
type source struct {
	incarnation uint64 // of the reporting entry; changes when it restarts
	counts      map[Key]Count
	complete    bool          // counts has all customers: one that is missing has had no admissions
	at          time.Duration // clock at the newest report
}

// sources holds the last counts of each source by its name.
type sources map[string]source

// update stores the counts that a source reports and returns by how much they have
// grown since its last report; the value is negative for counts that have shrunk. The
// counts of a source that is unknown begin at zero if r.FromZero is set, else at its
// first report; a count that its first reports leave out begins when it is reported. The
// counts of an entry that has restarted begin at zero. silence is the time since the last
// report of the same incarnation; 0 if there is none.
func (s sources) update(now time.Duration, name string, incarnation uint64, counts map[Key]Count, r Report) (increase map[Key]int32, silence time.Duration) {
	previous, known := s[name]
	if !known {
		previous = source{incarnation: incarnation, counts: make(map[Key]Count), complete: r.FromZero}
	}
	if known {
		silence = now - previous.at
	}
	if previous.incarnation != incarnation {
		silence = 0 // all was admitted since the restart
		previous = source{incarnation: incarnation, counts: make(map[Key]Count), complete: true}
	}
	increase = make(map[Key]int32)
	for key, count := range counts {
		before, counted := previous.counts[key]
		if n := int32(count - before); n != 0 && (counted || previous.complete) {
			increase[key] = n
		}
		previous.counts[key] = count
	}
	previous.complete = previous.complete || r.Full
	previous.at = now
	s[name] = previous
	return increase, silence
}

// age returns the time since the oldest report among the newest ones of all sources that
// are in contact.
func (s sources) age(now time.Duration) time.Duration {
	var oldest time.Duration
	for _, src := range s {
		if age := now - src.at; age <= maxSilence {
			oldest = max(oldest, age)
		}
	}
	return oldest
}

// afterSilence reduces the increase of the counts of a source that sent nothing for the
// given time to what was admitted, at an even rate, within the last window. It returns the
// fraction of that to charge to the buckets: what the source admitted before its loss was
// noticed. Later it used its own share, which the buckets here were not refilled with.
// Without this a cut of 12 s cost the customers their whole rate for 5 s after it.
func afterSilence(increase map[Key]int32, silence, window time.Duration) float64 {
	if silence <= maxSilence {
		return 1
	}
	if silence > window {
		for key, n := range increase {
			increase[key] = int32(math.Ceil(float64(n) * float64(window) / float64(silence)))
		}
	}
	return float64(maxSilence) / float64(min(silence, window))
}
