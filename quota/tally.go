package quota

import "sync"

// Tally sums admissions that several entries report, so that they can be passed
// on as one count a customer.
type Tally struct {
	mu      sync.Mutex
	sources sources
	total   map[Key]Count
}

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{sources: make(sources), total: make(map[Key]Count)} }

// Observe takes a report, as Table.Observe does.
func (t *Tally) Observe(id string, incarnation uint64, counts map[Key]Count, r Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, used := range t.sources.take(id, incarnation, counts, r) {
		t.total[key] += Count(used)
	}
}

// Forget drops what the entry id has reported; what it admitted stays counted.
func (t *Tally) Forget(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.sources, id)
}

// Sum returns the admissions so far, together with those in own. Differences
// between two sums wrap around, as those of a Count.
func (t *Tally) Sum(own map[Key]Count) map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[Key]Count, len(t.total)+len(own))
	for key, count := range t.total {
		sum[key] = count
	}
	for key, count := range own {
		sum[key] += count
	}
	return sum
}

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
	if !known && !r.Young {
		if r.Whole {
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
