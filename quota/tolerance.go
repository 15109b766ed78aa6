package quota

import "time"

// Tolerance is what the operator tolerates beyond customers' rate and burst.
type Tolerance struct {
	Window time.Duration // any span of this length counts
	Excess float64       // part of what rate and burst allow in a window
	Slack  float64       // requests in a window
}

// Shares of what is tolerated. They sum to less than the whole, since estimates
// err.
const (
	// slackShare is the part of the tolerated requests that each bucket may hold
	// beyond the burst.
	slackShare = 0.4
	// outdatedShare is the part of the rest that entries which have started may
	// count on without knowing what was admitted in the last moment before.
	outdatedShare = 0.4
	// unseenShare is the part of the rest up to which admissions that others
	// have not told yet are let pass.
	unseenShare = 0.1
)

// rest returns the requests in a window that are tolerated beyond what a bucket
// allows.
func (o Tolerance) rest(l Limit) float64 {
	allowed := l.Rate*o.Window.Seconds() + l.Burst
	return o.Excess*allowed + (1-slackShare)*o.Slack
}

// outdated returns the requests that levels of an earlier moment may hold.
func (o Tolerance) outdated(l Limit) float64 { return outdatedShare * o.rest(l) }

// unseen returns the requests of others that may be unknown.
func (o Tolerance) unseen(l Limit) float64 { return unseenShare * o.rest(l) }
