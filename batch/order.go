package batch

import (
	"cmp"
	"maps"
	"slices"
)

// sortRunnable puts waiting items into the order in which they are to start. Urgent ones
// come first, by their due time; then those that can still be in time, the customers taking
// turns, each with its items in the order of ItemTimes.Compare, so that one with many items
// does not hold up the others; late ones last, in the same way. running is the number of
// running items of each customer, which count as turns.
func sortRunnable(list []runnableItem, running map[string]int) {
	slices.SortStableFunc(list, func(a, b runnableItem) int {
		if c := a.times.Compare(b.times); c != 0 {
			return c
		}
		return cmp.Compare(b.events, a.events)
	})
	turns := maps.Clone(running)
	if turns == nil {
		turns = make(map[string]int)
	}
	for i, it := range list {
		if !it.times.Urgent() {
			list[i].turn = turns[it.job.Customer]
			turns[it.job.Customer]++
		}
	}
	slices.SortStableFunc(list, func(a, b runnableItem) int {
		if ua, ub := a.times.Urgent(), b.times.Urgent(); ua != ub || ua {
			return trueFirst(ua, ub)
		}
		if a.late != b.late {
			return trueFirst(!a.late, !b.late)
		}
		return cmp.Compare(a.turn, b.turn)
	})
}

// trueFirst orders true before false.
func trueFirst(a, b bool) int {
	switch {
	case a && !b:
		return -1
	case b && !a:
		return 1
	}
	return 0
}
