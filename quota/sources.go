package quota

// observed is what an entry has reported so far.
type observed struct {
	incarnation uint64
	counts      map[Key]Count
}

// sources holds the newest counts of each reporting entry.
type sources map[string]observed

// take returns by how much counts have grown since the last report of the entry
// id. Of an entry that is new here all counts if it is young; if not, its first
// whole report is what later ones are compared with. An entry that has started
// again began at zero.
func (s sources) take(id string, incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
	before, known := s[id]
	if !known && !r.FromZero {
		if r.Complete {
			s[id] = observed{incarnation: incarnation, counts: cloneCounts(counts)}
		}
		return nil
	}
	if !known || before.incarnation != incarnation {
		before = observed{incarnation: incarnation, counts: make(map[Key]Count)}
		s[id] = before
	}
	grown := make(map[Key]int32)
	for key, count := range counts {
		if used := int32(count - before.counts[key]); used != 0 {
			grown[key] = used
		}
		before.counts[key] = count
	}
	return grown
}

// cloneCounts returns a copy that can be written also if counts is nil.
func cloneCounts(counts map[Key]Count) map[Key]Count {
	c := make(map[Key]Count, len(counts))
	for key, count := range counts {
		c[key] = count
	}
	return c
}
