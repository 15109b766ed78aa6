// Package engine is a stand-in for a model engine: it batches continuously,
// caches prompt prefixes in limited memory, knows no priorities, and cancels
// and resumes streams. Its answers are a function of the request alone. It
// runs on the wall clock or inside a testing/synctest bubble.
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Options are the traits of an engine. The zero value of a field means its
// default, where one is given.
type Options struct {
	Model           string        // served at the start
	StepBase        time.Duration // time of a step (default 8 ms) ...
	StepPerSequence time.Duration // ... and more for each running sequence (default 0.25 ms) ...
	PrefillPerToken time.Duration // ... and for each prompt token that is not cached (default 20 us)
	PrefillChunk    int           // most prompt tokens in one step (default 512)
	MaxRunning      int           // sequences in one step; more wait their turn (default 64)
	DefaultTokens   int           // length of an answer without max_tokens (default 16)
	CacheBlocks     int           // prompt blocks of BlockTokens kept (default 4096)
	CrashMarker     string        // a prompt that holds it crashes the engine; empty: none does
	OnCrash         func()        // called after a crash, without locks held
	ObeysFencing    bool          // refuses orders with an old fencing number
	LoadTime        time.Duration // time that loading a model takes
	OnStep          func(Step)    // called as each step begins, without locks held; may be nil
}

func (o Options) withDefaults() Options {
	setDefault(&o.StepBase, 8*time.Millisecond)
	setDefault(&o.StepPerSequence, 250*time.Microsecond)
	setDefault(&o.PrefillPerToken, 20*time.Microsecond)
	setDefault(&o.PrefillChunk, 512)
	setDefault(&o.MaxRunning, 64)
	setDefault(&o.DefaultTokens, 16)
	setDefault(&o.CacheBlocks, 4096)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats counts what an engine did since its start.
type Stats struct {
	Steps         uint64
	Busy          time.Duration // time spent in steps
	Tokens        uint64        // generated
	PromptTokens  uint64        // of all admitted requests
	CachedTokens  uint64        // of them, found in the cache
	Crashes       uint64
	LoadsStarted  uint64
	RunningTime   time.Duration // sum over sequences of the time in steps
	CancelledRuns uint64        // runs whose connection was closed before the end
}

// Engine is a model engine in memory. It is an http.Handler.
type Engine struct {
	opts Options
	mux  *http.ServeMux

	mu      sync.Mutex
	cache   *prefixCache
	running []*sequence
	waiting []*sequence
	looping bool          // the step loop runs
	paused  chan struct{} // closed at the end of a pause; nil: not paused
	slow    float64       // factor on the time of a step
	crashed bool
	closed  chan struct{}
	done    bool
	stats   Stats
	orders  orders
	record  recorder
	loops   sync.WaitGroup
}

// New returns an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		opts:   o,
		mux:    http.NewServeMux(),
		cache:  newPrefixCache(o.CacheBlocks),
		slow:   1,
		closed: make(chan struct{}),
	}
	e.orders.state.Model = o.Model
	e.record.runs = make(map[string]int)
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("POST /v1/completions", e.serveChat)
	e.mux.HandleFunc("GET /health", e.serveHealth)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	e.mux.HandleFunc("GET /state", e.serveState)
	return e
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.isCrashed() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Close ends all runs and waits for the step loop.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.done {
		e.done = true
		close(e.closed)
	}
	e.abortAll()
	e.mu.Unlock()
	e.loops.Wait()
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// InFlight returns the number of sequences that run or wait.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

func (e *Engine) isCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed || e.done
}
