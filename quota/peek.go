package quota

import "time"

// Peek returns the decision that Admit would return, and changes nothing.
func (t *Table) Peek(now time.Duration, customer string) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := KeyOf(customer)
	return t.peek(now, key, t.limits[key])
}

// PeekLimit is like Peek for a customer whose limit may not have been set yet.
func (t *Table) PeekLimit(now time.Duration, customer string, l Limit) Decision {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.peek(now, KeyOf(customer), l)
}

func (t *Table) peek(now time.Duration, key Key, l Limit) Decision {
	if l.Rate <= 0 {
		return Decision{Admitted: true}
	}
	b := bucket{refilledAt: now}
	if known := t.buckets[key]; known != nil {
		b = *known
	}
	return t.decide(now, key, &b, l)
}
