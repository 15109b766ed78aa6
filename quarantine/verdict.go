package quarantine

import "time"

// Limits of a verdict.
const (
	// DeathsToQuarantine is how many endpoints may die of a request, if at
	// least one of them was running nothing else.
	DeathsToQuarantine = 2
	// LossesToQuarantine is how many endpoints may be lost with a request in
	// flight, whatever else they were running.
	LossesToQuarantine = 4
	// SuspectFor is how long a death counts against a request.
	SuspectFor = 10 * time.Minute
	// QuarantineFor is how long a request stays quarantined after the last
	// death that counts.
	QuarantineFor = 24 * time.Hour
)

// Verdict is what a Table thinks of a request.
type Verdict int

// The verdicts.
const (
	Clear       Verdict = iota // run it
	Suspect                    // run it alone, at an isolation endpoint
	Quarantined                // never run it
)

// Condemned says whether so many deaths, and so many of them alone, tell that
// a request crashes endpoints. A death beside others may be the fault of any
// of them.
func Condemned(deaths, alone int) bool {
	return deaths >= DeathsToQuarantine && alone > 0 || deaths >= LossesToQuarantine
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
		if now.Sub(last.At) < QuarantineFor && condemnedAt(open[:i+1], last.At) {
			return Quarantined
		}
	}
	if len(open) > 0 && now.Sub(open[len(open)-1].At) < SuspectFor {
		return Suspect
	}
	return Clear
}

// condemnedAt says whether the deaths up to a time tell enough.
func condemnedAt(deaths []Event, at time.Time) bool {
	count, alone := 0, 0
	for _, e := range deaths {
		if at.Sub(e.At) > SuspectFor {
			continue
		}
		count++
		if e.Alone {
			alone++
		}
	}
	return Condemned(count, alone)
}
