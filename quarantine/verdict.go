package quarantine

import "time"

// Thresholds and durations of verdicts.
const (
	// SoloCrashThreshold is the number of crashes at which a request is
	// quarantined if at least one of the endpoints was running nothing else.
	SoloCrashThreshold = 2
	// CrashThreshold is the number of crashes at which a request is
	// quarantined, whatever else the endpoints were running.
	CrashThreshold = 4
	// SuspectDuration is how long a request stays a suspect after its last
	// crash, and how long a crash counts towards the thresholds.
	SuspectDuration = 10 * time.Minute
	// unconfirmedDuration is how long the silence of an endpoint counts unless it is
	// confirmed as a crash: longer than an endpoint that has crashed stays registered.
	unconfirmedDuration = 8 * time.Second
	// QuarantineDuration is how long a request stays quarantined after the latest
	// crash at which it reached a threshold.
	QuarantineDuration = 24 * time.Hour
)

// Verdict says how a request is to be handled.
type Verdict int

// The verdicts.
const (
	Clear       Verdict = iota // run it like any other request
	Suspect                    // a caller that isolates suspects runs it alone, at an isolation endpoint
	Quarantined                // reject it
	Held                       // refuse it until it is known whether endpoints crashed that fell silent with it
)

// ShouldQuarantine reports whether a request is quarantined after that many
// crashes, of which alone were of endpoints that ran nothing else. A crash of an
// endpoint that ran several requests may have been caused by any of them.
func ShouldQuarantine(crashes, alone int) bool {
	return crashes >= SoloCrashThreshold && alone > 0 || crashes >= CrashThreshold
}

// verdict returns the verdict on a request with the given crashes, the oldest
// first.
func verdict(crashes []Event, now time.Time) Verdict {
	var uncleared, confirmed []Event
	for _, e := range crashes {
		if e.Cleared || e.Unconfirmed && now.Sub(e.At) >= unconfirmedDuration {
			continue
		}
		uncleared = append(uncleared, e)
		if !e.Unconfirmed {
			confirmed = append(confirmed, e)
		}
	}
	for i, last := range confirmed {
		if now.Sub(last.At) < QuarantineDuration && reachesThreshold(confirmed[:i+1], last.At) {
			return Quarantined
		}
	}
	switch {
	case len(uncleared) > len(confirmed) && reachesThreshold(uncleared, now):
		return Held
	case len(uncleared) > 0 && now.Sub(uncleared[len(uncleared)-1].At) < SuspectDuration:
		return Suspect
	}
	return Clear
}

// reachesThreshold reports whether the crashes within SuspectDuration before at
// suffice to quarantine the request.
func reachesThreshold(crashes []Event, at time.Time) bool {
	count, alone := 0, 0
	for _, e := range crashes {
		if at.Sub(e.At) > SuspectDuration {
			continue
		}
		count++
		if e.Alone {
			alone++
		}
	}
	return ShouldQuarantine(count, alone)
}
