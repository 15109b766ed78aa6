package quarantine

import "time"

// RecordSilence records that the endpoint of c fell silent and may have crashed. It returns
// the event to replicate, and false if there is none: the crash was known, or many endpoints
// fell silent, which no request makes them do and a failure of the network does.
func (t *Table) RecordSilence(c Crash, now time.Time) (Event, bool) {
	if t.massLoss.record(c.Endpoint, c.Digest, now) || t.massLoss.count() > massLossThreshold {
		return Event{}, false
	}
	c = c.lost()
	e := Event{Digest: c.Digest, Attempt: c.Attempt, At: now, Customer: c.Customer, Unconfirmed: true}
	return e, t.Merge(e, now)
}

// WithdrawSilence clears the request of the silence of an endpoint that has not crashed. It
// returns the event to replicate, and false if there is none.
func (t *Table) WithdrawSilence(c Crash) (Event, bool) {
	c = c.lost()
	s := t.shard(c.Digest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, e := range s.digests[c.Digest] {
		if e.Attempt == c.Attempt && e.Unconfirmed && !e.Cleared {
			e.Cleared = true
			s.digests[c.Digest][i] = e
			return e, true
		}
	}
	return Event{}, false
}
