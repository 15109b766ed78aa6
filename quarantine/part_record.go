package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// partCrash is a crash that accuses a part.
type partCrash struct {
	endpoint string // incarnation of the endpoint
	at       time.Time
	weight   int
}

// partRecord holds what speaks against a part.
type partRecord struct {
	part     string
	wasSound bool        // it was shown to be sound before
	depth    int         // its index in the prompt, the largest of all
	crashes  []partCrash // in order of time, one of each endpoint
}

// compareRecords orders parts by how well they explain the crashes that they share with
// others: those that were never sound come first, then the deeper ones, then those with
// more crashes.
func compareRecords(a, b *partRecord) int {
	if a.wasSound != b.wasSound {
		if a.wasSound {
			return 1
		}
		return -1
	}
	return cmp.Or(cmp.Compare(b.depth, a.depth), cmp.Compare(weigh(b.crashes), weigh(a.crashes)), cmp.Compare(a.part, b.part))
}

// threshold returns the sum of weights at which the part is quarantined.
func (r *partRecord) threshold() int {
	if r.wasSound {
		return soundPartThreshold
	}
	return partThreshold
}

// quarantinedParts returns the parts to quarantine.
func quarantinedParts(records []*partRecord) map[string]bool {
	slices.SortFunc(records, compareRecords)
	quarantined := make(map[string]bool)
	explained := make(map[string]bool) // endpoints
	for _, r := range records {
		unexplained := slices.DeleteFunc(slices.Clone(r.crashes), func(c partCrash) bool { return explained[c.endpoint] })
		if weigh(unexplained) < r.threshold() {
			continue
		}
		quarantined[r.part] = true
		for _, c := range r.crashes {
			explained[c.endpoint] = true
		}
	}
	return quarantined
}

// collectRecords returns the records of all parts that events, the oldest first, accuse at
// now. Events that are not newer than the time that lastSound returns do not speak against
// a part.
func collectRecords(events []Event, lastSound func(part string) time.Time, now time.Time) []*partRecord {
	type partRequest struct {
		part   string
		digest Digest
	}
	byPart := make(map[string]*partRecord)
	perRequest := make(map[partRequest]int)
	var records []*partRecord
	for _, e := range events {
		for depth, part := range e.Parts {
			request := partRequest{part, e.Digest}
			soundAt := lastSound(part)
			expired := !soundAt.IsZero() && now.Sub(e.At) >= soundPartMemory
			if slices.Contains(e.Sound, part) || !e.At.After(soundAt) || expired || perRequest[request] >= maxCrashesPerRequest {
				continue
			}
			perRequest[request]++
			r := byPart[part]
			if r == nil {
				r = &partRecord{part: part, wasSound: !soundAt.IsZero()}
				byPart[part] = r
				records = append(records, r)
			}
			r.depth = max(r.depth, depth)
			r.add(e)
		}
	}
	return records
}

// add adds the crash of an event, which is not older than those added before.
func (r *partRecord) add(e Event) {
	weight := weightOther
	if e.Begun {
		weight = weightBegun
	}
	for i, c := range r.crashes {
		if c.endpoint == e.Endpoint {
			r.crashes[i].weight = max(c.weight, weight)
			return
		}
	}
	r.crashes = append(r.crashes, partCrash{endpoint: e.Endpoint, at: e.At, weight: weight})
}

// weigh returns the sum of the weights of crashes, the oldest first. Of the crashes within
// momentDuration the one with the greatest weight counts.
func weigh(crashes []partCrash) int {
	sum, greatest := 0, 0
	var moment time.Time
	for i, c := range crashes {
		if i == 0 || c.at.Sub(moment) >= momentDuration {
			moment, greatest = c.at, 0
		}
		if c.weight > greatest {
			sum += c.weight - greatest
			greatest = c.weight
		}
	}
	return sum
}
