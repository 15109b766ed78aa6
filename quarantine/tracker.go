package quarantine

// Tracker tracks the requests, online requests and batch items alike, that were
// in flight at endpoints that crashed. Node and SharedTable implement it.
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
}

// NopTracker is a Tracker that records nothing.
type NopTracker struct{}

// Verdict implements Tracker.
func (NopTracker) Verdict(Digest, string) Verdict { return Clear }

// Empty implements Tracker.
func (NopTracker) Empty() bool { return true }

// RecordCrash implements Tracker.
func (NopTracker) RecordCrash(Crash) {}

// RecordSuccess implements Tracker.
func (NopTracker) RecordSuccess(Digest) {}
