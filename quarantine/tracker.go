package quarantine

// Tracker knows the requests that endpoints died of, online requests and
// batch items alike; Node implements it.
type Tracker interface {
	// Verdict returns what is known of a customer's request.
	Verdict(d Digest, customer string) Verdict
	// Empty says that no request is suspected.
	Empty() bool
	// RecordCrash records that an endpoint died with a request in flight.
	RecordCrash(Crash)
	// RecordSuccess records that a request ended well.
	RecordSuccess(Digest)
}

// NopTracker suspects nothing.
type NopTracker struct{}

// Verdict implements Suspects.
func (NopTracker) Verdict(Digest, string) Verdict { return Clear }

// Empty implements Suspects.
func (NopTracker) Empty() bool { return true }

// RecordCrash implements Suspects.
func (NopTracker) RecordCrash(Crash) {}

// RecordSuccess implements Suspects.
func (NopTracker) RecordSuccess(Digest) {}
