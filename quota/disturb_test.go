package quota

import "time"

// disturbances returns what happens to the entries during a replay.
func disturbances() map[string]func(f *replayFleet, now time.Duration) {
	return map[string]func(f *replayFleet, now time.Duration){
		"undisturbed":         nil,
		"cut off":             func(f *replayFleet, now time.Duration) { cutOff(f, now, func(*replayEntry) int { return 1 }) },
		"cut off, each alone": func(f *replayFleet, now time.Duration) { cutOff(f, now, func(e *replayEntry) int { return -1 }) },
		"lost": func(f *replayFleet, now time.Duration) {
			for i, e := range f.entries() {
				if i%4 == 1 && now == 15*time.Second {
					e.lostAt = now
				}
			}
		},
		"frozen": func(f *replayFleet, now time.Duration) {
			for i, e := range f.entries() {
				if i%5 == 2 && now == 16*time.Second {
					e.frozenUntil = now + 3*time.Second
				}
			}
		},
		"added": func(f *replayFleet, now time.Duration) {
			if now != 16*time.Second {
				return
			}
			n := len(f.entries())
			perCentre := len(f.cells) / dataCentres
			for i := range 4 {
				f.add(n+i, n, max(1, perCentre), f.newTable(now), now)
				f.weights = append(f.weights, 1)
			}
		},
		"lowered": func(f *replayFleet, now time.Duration) {
			if now == limitLoweredAt {
				f.limit = Limit{Rate: replayRate / 2, Burst: replayBurst / 2}
			}
			if now >= limitLoweredAt && now < limitLoweredAt+lowering {
				for i, e := range f.entries() {
					if now == limitLoweredAt+time.Duration(i%50)*10*time.Millisecond {
						e.table.SetLimits(now, f.limits())
					}
				}
			}
		},
	}
}

func cutOff(f *replayFleet, now time.Duration, group func(e *replayEntry) int) {
	if now != 15*time.Second && now != 27*time.Second {
		return
	}
	for i, e := range f.entries() {
		if i%20 < 7 {
			e.cut = group(e)
			if now == 27*time.Second {
				e.cut = 0
			}
		}
	}
}
