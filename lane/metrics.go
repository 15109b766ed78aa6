package lane

// BatchSlots returns the number of items that may run beside the online
// requests that run now.
func (q *Queue) BatchSlots() int { return q.limit.maxItems(len(q.running)) }
