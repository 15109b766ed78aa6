package batch

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/joomcode/errorx"
)

// unacknowledgedPeriod is the time for which an append that was not acknowledged may still
// take effect: it lies in the buffers of a connection or of the store.
const unacknowledgedPeriod = 15 * time.Second

// unacknowledged holds the jobs whose appends to the index may still take effect: those
// under way, and those that have ended without an acknowledgement recently.
type unacknowledged struct {
	mu       sync.Mutex
	underWay map[string]int       // number of submissions
	until    map[string]time.Time // of those that have ended
}

// begin records that a submission of a job begins.
func (u *unacknowledged) begin(id string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.underWay == nil {
		u.underWay, u.until = make(map[string]int), make(map[string]time.Time)
	}
	u.underWay[id]++
}

// end records the result of a submission.
func (u *unacknowledged) end(now time.Time, id string, err error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.underWay[id]--; u.underWay[id] == 0 {
		delete(u.underWay, id)
	}
	maps.DeleteFunc(u.until, func(_ string, until time.Time) bool { return !now.Before(until) })
	if errorx.IsOfType(err, Indeterminate) {
		u.until[id] = now.Add(unacknowledgedPeriod)
	}
}

// contains reports whether an append of the job may still take effect.
func (u *unacknowledged) contains(now time.Time, id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.underWay[id] > 0 || now.Before(u.until[id])
}

// Accepted reports whether the index holds a job with this ID, so that Submit accepts a
// repeat or refuses it as IDInUse. Unless the job is known, it reads the index to its end. It
// returns Indeterminate if that fails, or if an earlier submission at this entry may still
// take effect.
func (s *Service) Accepted(ctx context.Context, id string) (bool, error) {
	if _, ok := s.Index.state.view(id); ok {
		return true, nil
	}
	pending := s.unacknowledged.contains(time.Now(), id) // before the read, which shows what has ended since
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if err := s.Index.follower.RefreshToEnd(ctx); err != nil {
		return false, Indeterminate.Wrap(err, "failed to look up the job in the index")
	}
	if _, ok := s.Index.state.view(id); ok {
		return true, nil
	}
	if pending {
		return false, Indeterminate.New("an earlier submission of job %s may still take effect", id)
	}
	return false, nil
}
