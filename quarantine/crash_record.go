package quarantine

import (
	"slices"
	"time"
)

// CrashRecord lists the crashes attributed to one request, for operators.
type CrashRecord struct {
	Digest      Digest    `json:"digest"`
	Customer    string    `json:"customer"`
	Crashes     int       `json:"deaths"`      // number of crashes that the request was not cleared of
	Alone       int       `json:"alone"`       // how many of them were of endpoints that ran nothing else
	Last        time.Time `json:"last"`        // time of the latest of them
	Quarantined bool      `json:"quarantined"` // false: the request is a suspect
}

// CrashRecords returns the suspects and the quarantined requests, the latest
// crash first.
func (t *Table) CrashRecords(now time.Time) []CrashRecord {
	out := []CrashRecord{}
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for d, crashes := range s.digests {
			if v := verdict(crashes, now); v != Clear {
				out = append(out, newCrashRecord(d, crashes, v))
			}
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b CrashRecord) int { return b.Last.Compare(a.Last) })
	return out
}

func newCrashRecord(d Digest, crashes []Event, v Verdict) CrashRecord {
	r := CrashRecord{Digest: d, Quarantined: v == Quarantined}
	for _, e := range crashes {
		if e.Cleared || e.Unconfirmed {
			continue
		}
		r.Customer, r.Last = e.Customer, e.At
		r.Crashes++
		if e.Alone {
			r.Alone++
		}
	}
	return r
}

// Records returns the suspects and the quarantined requests of the fleet that this
// entry knows, the latest crash first.
func (n *Node) Records() []CrashRecord { return n.table.CrashRecords(time.Now()) }

// Lift clears d of its crashes in the whole fleet. It returns false if d had no
// crash that it was not cleared of.
func (n *Node) Lift(d Digest) bool {
	cleared := n.table.RecordSuccess(d, time.Now())
	if len(cleared) > 0 {
		n.enqueue(cleared, true)
	}
	return len(cleared) > 0
}
