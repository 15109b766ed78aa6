package batch

import (
	"cmp"
	"slices"
)

// sortRunnable puts waiting items into the order in which they are to start. Urgent ones
// come first, by their due time. Then the customers take turns, each with its items in the
// order of ItemTimes.Compare, so that one with many items does not hold up the others.
// running is the number of running items of each customer, which count as turns.
func sortRunnable(list []runnableItem, running map[string]int) {
	slices.SortStableFunc(list, func(a, b runnableItem) int {
		if c := a.times.Compare(b.times); c != 0 {
			return c
		}
		return cmp.Compare(b.events, a.events)
	})
	turns := make(map[string]int, len(running))
	for customer, n := range running {
		turns[customer] = n
	}
	for i, it := range list {
		if !it.times.Urgent() {
			list[i].turn = turns[it.job.Customer]
			turns[it.job.Customer]++
		}
	}
	slices.SortStableFunc(list, func(a, b runnableItem) int {
		if ua, ub := a.times.Urgent(), b.times.Urgent(); ua != ub || ua {
			return compareUrgent(ua, ub)
		}
		if late := a.late; late != b.late {
			return compareUrgent(b.late, late)
		}
		return cmp.Compare(a.turn, b.turn)
	})
}

// compareUrgent orders true before false.
func compareUrgent(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}
