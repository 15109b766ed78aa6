package sidecar

import (
	"sync"

	"dandelionrelay/api"
)

const (
	// maxHeldBytes bounds the results that are held while owners are
	// unreachable. Once it is reached, no more items are pulled.
	maxHeldBytes = 8 << 20
	// maxReportBytes bounds the results of one report.
	maxReportBytes = 1 << 20
)

// outbox holds the results of batch items until they are reported.
type outbox struct {
	mu      sync.Mutex
	results []api.Result // the oldest first
	bytes   int
	added   chan struct{} // signalled when a result is added
	emptied chan struct{} // closed when the last result is reported; nil if empty
}

func newOutbox() *outbox {
	return &outbox{added: make(chan struct{}, 1)}
}

func (o *outbox) add(r api.Result) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.results = append(o.results, r)
	o.bytes += resultBytes(r)
	if o.emptied == nil {
		o.emptied = make(chan struct{})
	}
	select {
	case o.added <- struct{}{}:
	default:
	}
}

// nextReport returns the oldest results, up to maxReportBytes but at least one.
// They stay in the outbox until they are dropped.
func (o *outbox) nextReport() []api.Result {
	o.mu.Lock()
	defer o.mu.Unlock()
	n, bytes := 0, 0
	for n < len(o.results) && (n == 0 || bytes+resultBytes(o.results[n]) <= maxReportBytes) {
		bytes += resultBytes(o.results[n])
		n++
	}
	return o.results[:n:n]
}

// drop removes the n oldest results after they were reported.
func (o *outbox) drop(n int) {
	if n == 0 {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.results[:n] {
		o.bytes -= resultBytes(r)
	}
	o.results = o.results[n:]
	if len(o.results) == 0 {
		close(o.emptied)
		o.emptied = nil
	}
}

// refs returns the references of the items whose results are held.
func (o *outbox) refs() []api.WorkRef {
	o.mu.Lock()
	defer o.mu.Unlock()
	refs := make([]api.WorkRef, 0, len(o.results))
	for _, r := range o.results {
		refs = append(refs, r.WorkRef)
	}
	return refs
}

// full reports whether the results held reach maxHeldBytes.
func (o *outbox) full() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes >= maxHeldBytes
}

func (o *outbox) size() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.results)
}

// whenEmpty returns a channel that is closed once all results are reported.
func (o *outbox) whenEmpty() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.emptied != nil {
		return o.emptied
	}
	done := make(chan struct{})
	close(done)
	return done
}

// resultOverheadBytes estimates the size of a result without its texts.
const resultOverheadBytes = 128

// resultBytes estimates the size of r in bytes.
func resultBytes(r api.Result) int {
	n := resultOverheadBytes + len(r.Body)
	if r.Resume != nil {
		n += len(r.Resume.Text)
	}
	return n
}
