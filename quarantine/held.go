package quarantine

import (
	"slices"
	"time"
)

// Held is what is held against one request, for operators.
type Held struct {
	Digest      Digest    `json:"digest"`
	Customer    string    `json:"customer"`
	Deaths      int       `json:"deaths"` // that it was not cleared of
	Alone       int       `json:"alone"`  // of them, of endpoints that ran nothing else
	Last        time.Time `json:"last"`
	Quarantined bool      `json:"quarantined"` // else a suspect
}

// Held returns the suspects and the quarantined requests, the latest death
// first.
func (t *Table) Held(now time.Time) []Held {
	out := []Held{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for d, deaths := range s.digests {
			if v := verdict(deaths, now); v != Clear {
				out = append(out, newHeld(d, deaths, v))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Held) int { return b.Last.Compare(a.Last) })
	return out
}

func newHeld(d Digest, deaths []Event, v Verdict) Held {
	h := Held{Digest: d, Quarantined: v == Quarantined}
	for _, e := range deaths {
		if e.Cleared {
			continue
		}
		h.Customer, h.Last = e.Customer, e.At
		h.Deaths++
		if e.Alone {
			h.Alone++
		}
	}
	return h
}

// Held returns what is held against requests in the fleet, as this entry knows
// it.
func (n *Node) Held() []Held { return n.table.Held(time.Now()) }

// Lift clears d of the deaths held against it, in the whole fleet. It returns
// false if nothing was held.
func (n *Node) Lift(d Digest) bool {
	news := n.table.Finished(d, time.Now())
	if len(news) > 0 {
		n.spread(news, true)
	}
	return len(news) > 0
}
