package engine

// SetPaused stops the engine between two steps, or lets it go on.
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

// SetSlowdown multiplies the time of each later step by factor.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// Crash loses all runs, the cache and every open connection with a request.
// The engine cuts new requests off until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	e.crash()
	e.mu.Unlock()
	e.crashDone()
}

// Restart brings a crashed engine back, empty.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crashed = false
}

// crash is Crash for a caller that holds the lock.
func (e *Engine) crash() {
	e.crashed = true
	e.stats.Crashes++
	e.cache = newPrefixCache(e.opts.CacheBlocks)
	e.abortAll()
}

func (e *Engine) crashDone() {
	if e.opts.OnCrash != nil {
		e.opts.OnCrash()
	}
}

// abortAll cuts every run. The caller holds the lock.
func (e *Engine) abortAll() {
	for _, s := range append(e.running, e.waiting...) {
		s.aborted = true
		s.signal()
	}
	e.running, e.waiting = nil, nil
}
