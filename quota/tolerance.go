package quota

import "time"

// Tolerance is by how much admissions may exceed a customer's rate and burst in any
// time window of a given length.
type Tolerance struct {
	Window time.Duration // length of the window
	Excess float64       // as a fraction of the requests that rate and burst allow in a window
	Slack  float64       // requests per window, added to Excess
}

// Shares of the tolerated requests. Together they use less than what is tolerated, to
// leave room for errors of the estimates.
const (
	// bucketSlackShare is the share of Slack by which the buckets may exceed the burst.
	bucketSlackShare = 0.4
	// staleLevelsShare is the share of the remainder that entries may inherit after
	// a start, as inherited levels do not include the latest admissions.
	staleLevelsShare = 0.4
	// minUnreportedShare and maxUnreportedShare are the smallest and the largest share
	// of the remainder up to which admissions that other entries have not reported yet
	// are ignored.
	minUnreportedShare = 0.1
	maxUnreportedShare = 0.8
	// surgeShare sets how many tokens of a customer in surge the entries together may
	// take within unseenPeriod beyond those they know of, as a multiple of the
	// remainder. As reports arrive sooner, the bucket is overdrawn by less. With 1.2, a
	// restart of 34 entries at 8 times the rate leads to 242 admissions in a window
	// where 237.8 are tolerated.
	surgeShare = 1.0
	// refilledShare is the same for a customer in surge whose bucket has tokens again.
	refilledShare = 2.0
)

// crestFactor is the request rate of a customer's peaks, as a multiple of its mean rate
// in the last window, up to which unreported admissions are ignored.
const crestFactor = 2.5

// remainder returns the requests in a window that are tolerated beyond what the
// buckets hold.
func (t Tolerance) remainder(l Limit) float64 {
	allowed := l.Rate*t.Window.Seconds() + l.Burst
	return t.Excess*allowed + (1-bucketSlackShare)*t.Slack
}

// staleLevels returns the largest number of tokens that may be inherited.
func (t Tolerance) staleLevels(l Limit) float64 { return staleLevelsShare * t.remainder(l) }

// minUnreported returns the number of unreported admissions that are always ignored.
func (t Tolerance) minUnreported(l Limit) float64 { return minUnreportedShare * t.remainder(l) }

// unreported returns the number of unreported admissions that are ignored by an entry
// that may use the given share of the rate and knows of admitted requests in the last
// window. They are as many as arrive within reportLag at the crest, if rate and burst
// allow that many more in the window.
func (t Tolerance) unreported(l Limit, share float64, admitted int) float64 {
	if t.Window <= 0 {
		return t.minUnreported(l)
	}
	atCrest := crestFactor * float64(admitted) * reportLag.Seconds() / t.Window.Seconds()
	left := (l.Rate*t.Window.Seconds()+l.Burst+bucketSlackShare*t.Slack)*share - float64(admitted)
	return max(t.minUnreported(l), min(atCrest, left, maxUnreportedShare*t.remainder(l)))
}

// surge returns by how many tokens the bucket of a customer in surge may be overdrawn.
func (t Tolerance) surge(l Limit) float64 { return surgeShare * t.remainder(l) }

// bound returns the number of requests that may be admitted in any window.
func (t Tolerance) bound(l Limit) float64 {
	return (1+t.Excess)*(l.Rate*t.Window.Seconds()+l.Burst) + t.Slack
}
