package quarantine

import "time"

// Limits of a verdict.
const (
	// SoloCrashThreshold is how many endpoints may die of a request, if at
	// least one of them was running nothing else.
	SoloCrashThreshold = 2
	// CrashThreshold is how many endpoints may be lost with a request in
	// flight, whatever else they were running.
	CrashThreshold = 4
	// SuspectDuration is how long a death counts against a request.
	SuspectDuration = 10 * time.Minute
	// QuarantineDuration is how long a request stays quarantined after the last
	// death that counts.
	QuarantineDuration = 24 * time.Hour
)

// Verdict is what a Table thinks of a request.
type Verdict int

// The verdicts.
const (
	Clear       Verdict = iota // run it
	Suspect                    // run it alone, at an isolation endpoint
	Quarantined                // never run it
)

// ShouldQuarantine says whether so many deaths, and so many of them alone, tell that
// a request crashes endpoints. A death beside others may be the fault of any
// of them.
func ShouldQuarantine(deaths, alone int) bool {
	return deaths >= SoloCrashThreshold && alone > 0 || deaths >= CrashThreshold
}

// verdict judges the deaths held against one request, the oldest first.
func verdict(deaths []Event, now time.Time) Verdict {
	var open []Event
	for _, e := range deaths {
		if !e.Cleared {
			open = append(open, e)
		}
	}
	for i, last := range open {
		if now.Sub(last.At) < QuarantineDuration && condemnedAt(open[:i+1], last.At) {
			return Quarantined
		}
	}
	if len(open) > 0 && now.Sub(open[len(open)-1].At) < SuspectDuration {
		return Suspect
	}
	return Clear
}

// condemnedAt says whether the deaths up to a time tell enough.
func condemnedAt(deaths []Event, at time.Time) bool {
	count, alone := 0, 0
	for _, e := range deaths {
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
