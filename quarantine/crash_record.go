package quarantine

import (
	"slices"
	"time"
)

// CrashRecord is what is held against one request, for operators.
type CrashRecord struct {
	Digest      Digest    `json:"digest"`
	Customer    string    `json:"customer"`
	Crashes     int       `json:"deaths"` // that it was not cleared of
	Alone       int       `json:"alone"`  // of them, of endpoints that ran nothing else
	Last        time.Time `json:"last"`
	Quarantined bool      `json:"quarantined"` // else a suspect
}

// CrashRecords returns the suspects and the quarantined requests, the latest death
// first.
func (t *Table) CrashRecords(now time.Time) []CrashRecord {
	out := []CrashRecord{}
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
	slices.SortFunc(out, func(a, b CrashRecord) int { return b.Last.Compare(a.Last) })
	return out
}

func newHeld(d Digest, deaths []Event, v Verdict) CrashRecord {
	h := CrashRecord{Digest: d, Quarantined: v == Quarantined}
	for _, e := range deaths {
		if e.Cleared {
			continue
		}
		h.Customer, h.Last = e.Customer, e.At
		h.Crashes++
		if e.Alone {
			h.Alone++
		}
	}
	return h
}

// Held returns what is held against requests in the fleet, as this entry knows
// it.
func (n *Node) Held() []CrashRecord { return n.table.CrashRecords(time.Now()) }

// Lift clears d of the deaths held against it, in the whole fleet. It returns
// false if nothing was held.
func (n *Node) Lift(d Digest) bool {
	news := n.table.RecordSuccess(d, time.Now())
	if len(news) > 0 {
		n.spread(news, true)
	}
	return len(news) > 0
}
