// Package engine is a stand-in for a model engine: it uses continuous batching,
// caches prompt prefixes in limited memory, has no priorities, cancels a run when its
// connection is closed, and resumes interrupted responses. Its responses depend on the
// request only. It runs in real time or inside a testing/synctest bubble.
package engine

import (
	"net/http"
	"sync"
	"time"
)

// Options configures an engine. The zero value of a field stands for its default,
// where one is given. A step takes StepBase, plus StepPerSequence for each running
// sequence, plus PrefillPerToken for each prompt token that it computes.
type Options struct {
	Model           string        // model served after the start
	StepBase        time.Duration // default 8 ms
	StepPerSequence time.Duration // default 0.25 ms
	PrefillPerToken time.Duration // default 20 us; cached tokens take no time
	PrefillChunk    int           // maximum number of prompt tokens computed in one step (default 512)
	MaxRunning      int           // maximum number of running sequences; others wait in order of arrival (default 64)
	DefaultTokens   int           // length of a response in tokens if the request has no max_tokens (default 16)
	CacheBlocks     int           // capacity of the prefix cache in blocks of BlockTokens tokens (default 4096)
	CrashMarker     string        // a prompt that contains it crashes the engine; empty: disabled
	OnCrash         func()        // called after a crash, without locks held
	ObeysFencing    bool          // reject orders whose fencing token is not above that of the last order
	LoadTime        time.Duration // duration of a model load
	OnStep          func(Step)    // called at the start of each step, without locks held; may be nil

	ColdRate  float64       // requests a second, health checks included, that a cold engine tolerates; 0: it is never cold
	ColdTime  time.Duration // time for which the engine is cold after a start
	ColdCrash float64       // multiple of ColdRate above which a cold engine crashes (default 1.5)
}

func (o Options) withDefaults() Options {
	setDefault(&o.StepBase, 8*time.Millisecond)
	setDefault(&o.StepPerSequence, 250*time.Microsecond)
	setDefault(&o.PrefillPerToken, 20*time.Microsecond)
	setDefault(&o.PrefillChunk, 512)
	setDefault(&o.MaxRunning, 64)
	setDefault(&o.DefaultTokens, 16)
	setDefault(&o.CacheBlocks, 4096)
	setDefault(&o.ColdCrash, 1.5)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Stats are the counters of an engine since its start.
type Stats struct {
	Steps         uint64
	Busy          time.Duration // time spent in steps
	Tokens        uint64        // generated
	PromptTokens  uint64        // of all admitted requests
	CachedTokens  uint64        // of PromptTokens, found in the prefix cache
	Crashes       uint64
	LoadsStarted  uint64
	RunningTime   time.Duration // sum of the time in steps over all sequences
	CancelledRuns uint64        // runs that ended before their last token: connection closed, crash or Close
	ColdPeak      int           // most requests that arrived within a second while the engine was cold
}

// Engine is a model engine in memory. It is an http.Handler.
type Engine struct {
	opts Options
	mux  *http.ServeMux

	mu         sync.Mutex
	cache      *prefixCache
	running    []*sequence
	waiting    []*sequence
	looping    bool          // the step loop is running
	paused     chan struct{} // closed when the pause ends; nil: not paused
	slowdown   float64       // factor applied to the duration of each step
	crashed    bool
	closed     chan struct{}
	isClosed   bool // Close was called
	stats      Stats
	orders     orders
	cold       cold
	record     recorder
	goroutines sync.WaitGroup // step loop and model loads
}

// New returns an idle engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		opts:     o,
		mux:      http.NewServeMux(),
		cache:    newPrefixCache(o.CacheBlocks),
		slowdown: 1,
		closed:   make(chan struct{}),
	}
	e.cold.begin(time.Now(), o)
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
	if e.isDown() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Close aborts all runs and waits for the step loop and for model loads to end.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.isClosed {
		e.isClosed = true
		close(e.closed)
	}
	e.abortAll()
	e.mu.Unlock()
	e.goroutines.Wait()
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

// InFlight returns the number of running and waiting sequences.
func (e *Engine) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.running) + len(e.waiting)
}

// isDown reports whether the engine has crashed or is closed.
func (e *Engine) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed || e.isClosed
}
