package limit

import (
	"maps"
	"slices"
	"time"

	"dandelionrelay/platform"
)

// Times of replacing a holder that does not answer.
const (
	suspicionLife = 2 * time.Second        // without a further sign
	suspectSpread = 100 * time.Millisecond // over which the entries that saw it record it
	replaceWithin = 500 * time.Millisecond // of the first unanswered ask, if the log works
	recordAgain   = time.Second            // before an entry records for the same holder again
	never         = 100 * 365 * 24 * time.Hour
)

// suspicion is what is known of a holder that did not answer.
type suspicion struct {
	first    time.Time // unanswered ask
	last     time.Time // unanswered ask
	recorded time.Time // by this entry
}

// Answered notes whether a holder answered an ask. It returns after which time
// PlanLearners is to be called.
func (t *Table) Answered(now time.Time, holder string, ok bool) (time.Duration, bool) {
	if holder == t.self {
		return 0, false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s, suspected := t.suspects[holder]
	if ok {
		t.heard = now
		if suspected {
			delete(t.suspects, holder)
		}
		return 0, false
	}
	fresh := now.Sub(s.last) > suspicionLife/4
	if s.first.IsZero() {
		s.first = now
	}
	s.last = now
	t.suspects[holder] = s
	return t.stagger(holder), fresh
}

// Replacing reports whether a holder that does not answer is likely to be
// replaced shortly.
func (t *Table) Replacing(now time.Time, holder string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, suspected := t.suspects[holder]
	return !t.down && (!suspected || now.Sub(s.first) < replaceWithin)
}

// stagger spreads the entries' records about one holder over suspectSpread.
func (t *Table) stagger(holder string) time.Duration {
	const steps = 64
	step := score(0, t.self+holder) % steps
	return suspectSpread * time.Duration(step) / steps
}

// PlanLearners returns the claims that give the partitions of the holders that
// do not answer to others, who learn until the holder has surely stopped. An
// entry that no other one answers since is itself cut off, and claims nothing.
func (t *Table) PlanLearners(now time.Time) []Claim {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observe(now)
	if t.down || !t.certain(now) {
		return nil
	}
	var claims []Claim
	for _, id := range slices.Sorted(maps.Keys(t.suspects)) {
		s := t.suspects[id]
		if now.Sub(s.last) > suspicionLife {
			delete(t.suspects, id)
			continue
		}
		if t.heard.Before(s.last) || now.Sub(s.recorded) < recordAgain {
			continue
		}
		s.recorded = now
		t.suspects[id] = s
		claims = append(claims, t.learners(id)...)
	}
	return claims
}

// learners returns the claims for the partitions of one holder.
func (t *Table) learners(holder string) []Claim {
	live := make([]platform.Instance, 0, len(t.live))
	for _, in := range t.live {
		if _, suspected := t.suspects[in.ID]; !suspected {
			live = append(live, in)
		}
	}
	var claims []Claim
	for i := range t.slots {
		s := &t.slots[i]
		if s.holder != holder {
			continue
		}
		to, _ := t.rank(i, live)
		if to.ID == "" {
			continue
		}
		unfenced := s.unfenced
		if unfenced == nil {
			unfenced = &Unfenced{Holder: holder, Addr: s.addr}
		}
		claims = append(claims, Claim{Partition: i, Epoch: s.epoch + 1, Holder: to.ID, Addr: to.RPCAddr, Unfenced: unfenced})
	}
	return claims
}
