package quota

import "sync"

// Tally sums the admissions that several entries report, so that they can be
// forwarded as one count for each customer. It is safe for concurrent use.
type Tally struct {
	mu    sync.Mutex
	total map[Key]Count // admissions added so far
}

// NewTally returns an empty Tally.
func NewTally() *Tally { return &Tally{total: make(map[Key]Count)} }

// Add adds an increase that Table.Observe returned.
func (t *Tally) Add(increase map[Key]int32) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, n := range increase {
		t.total[key] += Count(n)
	}
}

// Sum returns the total so far plus the counts in local, by customer. The sums wrap
// around like a Count.
func (t *Tally) Sum(local map[Key]Count) map[Key]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	sum := make(map[Key]Count, len(t.total)+len(local))
	for key, count := range t.total {
		sum[key] = count
	}
	for key, count := range local {
		sum[key] += count
	}
	return sum
}
