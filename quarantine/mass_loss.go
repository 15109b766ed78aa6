package quarantine

import (
	"sync"
	"time"
)

// massLoss recognises many instances lost at once.
type massLoss struct {
	mu        sync.Mutex
	instances map[string]*loss // by endpoint
}

// loss is one lost instance with what was in flight there.
type loss struct {
	at      time.Time
	digests map[Digest]bool
}

// lost records a loss with a request in flight. It returns whether that is the
// fault of the network or a site rather than the request's.
func (m *massLoss) lost(endpoint string, d Digest, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.instances {
		if now.Sub(l.at) > massWindow {
			delete(m.instances, id)
		}
	}
	if m.instances == nil {
		m.instances = make(map[string]*loss)
	}
	if m.instances[endpoint] == nil {
		m.instances[endpoint] = &loss{digests: make(map[Digest]bool)}
	}
	m.instances[endpoint].at = now
	m.instances[endpoint].digests[d] = true
	return len(m.instances) > massEndpoints && m.share(d) < massShare
}

// share returns at what part of the lost instances d was in flight. The caller
// holds the lock.
func (m *massLoss) share(d Digest) float64 {
	n := 0
	for _, l := range m.instances {
		if l.digests[d] {
			n++
		}
	}
	return float64(n) / float64(len(m.instances))
}
