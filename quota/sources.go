package quota

// source is the state of one series of reported counts: those of another entry, or the
// sums of several.
type source struct {
	incarnation uint64 // of the reporting entry; changes when it restarts
	counts      map[Key]Count
}

// sources holds the last counts of each source by its name.
type sources map[string]source

// update stores the counts that a source reports and returns by how much they have
// grown since its last report; the value is negative for counts that have shrunk. If
// the source is unknown, the counts themselves are returned if r.FromZero is set; else
// its first report with r.Full set becomes the baseline and nothing is returned. The
// counts of an entry that has restarted begin at zero.
func (s sources) update(name string, incarnation uint64, counts map[Key]Count, r Report) map[Key]int32 {
	previous, known := s[name]
	if !known && !r.FromZero {
		if r.Full {
			s[name] = source{incarnation: incarnation, counts: cloneCounts(counts)}
		}
		return nil
	}
	if !known || previous.incarnation != incarnation {
		previous = source{incarnation: incarnation, counts: make(map[Key]Count)}
		s[name] = previous
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
