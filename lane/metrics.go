package lane

// BatchSlots returns how many items may run beside the online requests that
// run now.
func (q *Queue) BatchSlots() int { return q.limit.current(len(q.running)) }
