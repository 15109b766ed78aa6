package quarantine

// Suspects knows the requests that endpoints died of, online requests and
// batch items alike; Node implements it.
type Suspects interface {
	// Verdict returns what is known of a customer's request.
	Verdict(d Digest, customer string) Verdict
	// Empty says that no request is suspected.
	Empty() bool
	// Died records that an endpoint died with a request in flight.
	Died(Death)
	// Finished records that a request ended well.
	Finished(Digest)
}

// NoSuspects suspects nothing.
type NoSuspects struct{}

// Verdict implements Suspects.
func (NoSuspects) Verdict(Digest, string) Verdict { return Clear }

// Empty implements Suspects.
func (NoSuspects) Empty() bool { return true }

// Died implements Suspects.
func (NoSuspects) Died(Death) {}

// Finished implements Suspects.
func (NoSuspects) Finished(Digest) {}
