package engine

import "time"

// SetPaused pauses the engine before its next step, or resumes it.
func (e *Engine) SetPaused(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case on && e.paused == nil:
		e.paused = make(chan struct{})
	case !on && e.paused != nil:
		close(e.paused)
		e.paused = nil
	}
}

// SetSlowdown multiplies the duration of each later step by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// Crash aborts all runs and their connections and clears the prefix cache. The engine
// aborts the connections of new requests until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
	e.notifyCrash()
}

// Restart makes a crashed engine accept requests again. Its prefix cache is empty, and it
// is cold for Options.ColdTime.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
	e.cold.begin(time.Now(), e.opts)
}

// SetCold makes the engine cold for d from now on, as if it had started recently.
func (e *Engine) SetCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cold.until = time.Now().Add(d)
}

// crash crashes the engine. The caller holds the lock and calls notifyCrash after
// releasing it.
func (e *Engine) crash() {
	e.crashed = true
	e.stats.Crashes++
	e.cache = newPrefixCache(e.opts.CacheBlocks)
	e.abortAll()
}

// notifyCrash calls Options.OnCrash.
func (e *Engine) notifyCrash() {
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

// abortAll aborts all runs. The caller holds the lock.
func (e *Engine) abortAll() {
	for _, s := range append(e.running, e.waiting...) {
		s.aborted = true
		s.signal()
	}
	e.running, e.waiting = nil, nil
}
