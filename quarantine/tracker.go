package quarantine

import "dandelionrelay/pipeline"

// Tracker tracks the requests that were in flight at endpoints that crashed: online
// requests, and in package jobs batch items too. Node and SharedTable implement it.
type Tracker interface {
	// Verdict returns the verdict on request d of customer.
	Verdict(d Digest, customer string) Verdict
	// Empty reports whether no request has crashes recorded against it.
	Empty() bool
	// RecordCrash records that an endpoint crashed with a request in flight.
	RecordCrash(Crash)
	// RecordSuccess records that a request completed, which clears it of its
	// crashes.
	RecordSuccess(Digest)
	// PartsQuarantined reports whether one of the parts of a prompt is quarantined.
	PartsQuarantined(parts []string) bool
	// RecordSoundParts records that a response had MinSoundEvents events, which shows
	// that the parts of its prompt do not crash endpoints.
	RecordSoundParts(parts []string)
}

// SilenceTracker is a Tracker that takes silences of endpoints into account.
type SilenceTracker interface {
	Tracker
	// RecordSilence records that an endpoint fell silent and can't be reached with a
	// request in flight. It may have crashed.
	RecordSilence(Crash)
	// WithdrawSilence records that the endpoint of a silence has not crashed.
	WithdrawSilence(Crash)
}

// VerdictOnCall returns the verdict of t on the request of c: Quarantined also if a part of
// its prompt is.
func VerdictOnCall(t Tracker, c *pipeline.Call) Verdict {
	switch {
	case t.Empty():
		return Clear
	case t.PartsQuarantined(PromptParts(c)):
		return Quarantined
	}
	return t.Verdict(DigestOfCall(c), c.Customer)
}

// NopTracker is a SilenceTracker that records nothing.
type NopTracker struct{}

// Verdict implements Tracker.
func (NopTracker) Verdict(Digest, string) Verdict { return Clear }

// Empty implements Tracker.
func (NopTracker) Empty() bool { return true }

// RecordCrash implements Tracker.
func (NopTracker) RecordCrash(Crash) {}

// RecordSilence implements SilenceTracker.
func (NopTracker) RecordSilence(Crash) {}

// WithdrawSilence implements SilenceTracker.
func (NopTracker) WithdrawSilence(Crash) {}

// RecordSuccess implements Tracker.
func (NopTracker) RecordSuccess(Digest) {}

// PartsQuarantined implements Tracker.
func (NopTracker) PartsQuarantined([]string) bool { return false }

// RecordSoundParts implements Tracker.
func (NopTracker) RecordSoundParts([]string) {}
