package quarantine

import (
	"sync"
	"time"
)

// Limits of the replication of events.
const (
	// Fanout is the number of peers to which an entry sends an event, once,
	// when the event is new to it. In a fleet of up to Fanout peers an event
	// reaches all of them in one step.
	Fanout = 8

	appendInterval = time.Second // minimum time between two records of one entry
	maxPending     = 512         // events queued for peers, and as many for the log
)

// Outbox queues the events of one entry that are to be sent to peers and to be
// appended to the log. It does no I/O and is safe for concurrent use.
type Outbox struct {
	mu        sync.Mutex
	forPeers  []Event
	forLog    []Event
	lastTaken time.Time // time of the last non-empty TakeForLog
}

// Add queues events for peers. If they arose at this entry (local), it queues
// them for the log too.
func (o *Outbox) Add(events []Event, local bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forPeers = trim(append(o.forPeers, events...))
	if local {
		o.forLog = trim(append(o.forLog, events...))
	}
}

// TakeForPeers removes and returns the events queued for peers.
func (o *Outbox) TakeForPeers() []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.forPeers
	o.forPeers = nil
	return out
}

// TakeForLog removes and returns the events to append to the log as one record.
// It returns nil until appendInterval has passed since the last record.
func (o *Outbox) TakeForLog(now time.Time) []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.forLog) == 0 || now.Sub(o.lastTaken) < appendInterval {
		return nil
	}
	o.lastTaken = now
	out := o.forLog
	o.forLog = nil
	return out
}

// HasEventsForLog reports whether events are queued for the log.
func (o *Outbox) HasEventsForLog() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.forLog) > 0
}

// RequeueForLog puts events whose append failed, or may have failed, back at the
// head of the queue for the log.
func (o *Outbox) RequeueForLog(events []Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.forLog = trim(append(events, o.forLog...))
}

// trim returns the newest maxPending events.
func trim(events []Event) []Event {
	if len(events) > maxPending {
		return events[len(events)-maxPending:]
	}
	return events
}
