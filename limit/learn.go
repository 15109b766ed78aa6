package limit

import "time"

// learn grants amount although the level is short, and lets the level go below
// zero. A share that is behind began empty, so it knows a lower bound only of
// what is left: its shortage refuses nothing, but it counts all that is spent.
func (s *share) learn(now time.Time, t Tenure, amount float64) TakeReply {
	g := s.grant(now, amount)
	s.grants[len(s.grants)-1].learner = true
	return TakeReply{Held: true, Learner: true, Grant: g.id, Tenure: t.Acquired, Amount: amount, Left: s.ready(), Settle: true}
}

// learns reports whether a grant of amount is to be made without tokens. While
// tokens of this share are in the hands of takers its level must not go below
// zero, or they would stand for nothing.
func (s *share) learns(amount float64) bool {
	if !s.behind {
		return false
	}
	if s.level >= amount {
		return true
	}
	for _, g := range s.grants {
		if !g.learner && g.amount > 0 {
			return false
		}
	}
	return true
}
