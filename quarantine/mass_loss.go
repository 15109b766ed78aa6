package quarantine

import (
	"sync"
	"time"
)

// massLossDetector detects the loss of many endpoints within massLossWindow. It
// is safe for concurrent use.
type massLossDetector struct {
	mu     sync.Mutex
	losses map[string]*loss // by instance ID of the endpoint
}

// loss is one lost endpoint with the requests that were in flight there.
type loss struct {
	at      time.Time // of the last report
	digests map[Digest]bool
}

// record records the loss of an endpoint with request d in flight. It reports
// whether the loss is to be attributed to a failure of the network or of a data
// centre rather than to the request.
func (m *massLossDetector) record(endpoint string, d Digest, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, l := range m.losses {
		if now.Sub(l.at) > massLossWindow {
			delete(m.losses, id)
		}
	}
	if m.losses == nil {
		m.losses = make(map[string]*loss)
	}
	if m.losses[endpoint] == nil {
		m.losses[endpoint] = &loss{digests: make(map[Digest]bool)}
	}
	m.losses[endpoint].at = now
	m.losses[endpoint].digests[d] = true
	return len(m.losses) > massLossThreshold && m.shareOfLosses(d) < massLossMinShare
}

// count returns the number of endpoints lost within massLossWindow before the last report.
func (m *massLossDetector) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.losses)
}

// shareOfLosses returns the fraction of the lost endpoints at which d was in
// flight. The caller holds the lock.
func (m *massLossDetector) shareOfLosses(d Digest) float64 {
	n := 0
	for _, l := range m.losses {
		if l.digests[d] {
			n++
		}
	}
	return float64(n) / float64(len(m.losses))
}
