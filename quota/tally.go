package quota

import "sync"

// Tally sums admissions that several entries report, so that they can be passed
// on as one count a customer.
type Tally struct {
	mu    sync.Mutex
	total map[Key]Count
}

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{total: make(map[Key]Count)} }

// Add adds what Table.Observe returned for a report.
func (t *Tally) Add(grown map[Key]int32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, used := range grown {
		t.total[key] += Count(used)
	}
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
