package quota

// source is the state of one reporting entry.
type source struct {
	incarnation uint64 // changes when the entry restarts
	counts      map[Key]Count
}

// sources holds the last counts of each reporting entry by its ID.
type sources map[string]source

// update stores the counts that the entry id reports and returns by how much they
// have grown since its last report. If the entry is unknown, its full counts are
// returned if r.FromZero is set; else its first complete report becomes the baseline
// and nothing is returned. The counts of an entry that has restarted begin at zero.
func (s sources) update(id string, incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
	previous, known := s[id]
	if !known && !r.FromZero {
		if r.Full {
			s[id] = source{incarnation: incarnation, counts: cloneCounts(counts)}
		}
		return nil
	}
	if !known || previous.incarnation != incarnation {
		previous = source{incarnation: incarnation, counts: make(map[Key]Count)}
		s[id] = previous
	}
	increase := make(map[Key]int32)
	for key, count := range counts {
		if n := int32(count - previous.counts[key]); n != 0 {
			increase[key] = n
		}
		previous.counts[key] = count
	}
	return increase
}

// cloneCounts returns a copy of counts that is never nil.
func cloneCounts(counts map[Key]Count) map[Key]Count {
	c := make(map[Key]Count, len(counts))
	for key, count := range counts {
		c[key] = count
	}
	return c
}
