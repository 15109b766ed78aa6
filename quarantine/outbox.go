package quarantine

import (
	"sync"
	"time"
)

// Pace of spreading events.
const (
	// Fanout is how many peers each entry tells of an event, once, when it is
	// new to the entry. In a fleet of up to Fanout peers all are told at once.
	Fanout = 8

	appendInterval = time.Second // between records of one entry
	maxPending     = 512         // events that wait to be told or recorded
)

// Outbox holds the events that an entry has yet to tell peers and to record in
// the log. It is passive.
type Outbox struct {
	mu       sync.Mutex
	tell     []Event
	record   []Event
	recorded time.Time // last time that events were taken for the log
}

// Add queues events that are new here: all are told on, and those that arose
// here are recorded.
func (o *Outbox) Add(events []Event, own bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tell = newest(append(o.tell, events...))
	if own {
		o.record = newest(append(o.record, events...))
	}
}

// TakeForPeers takes the events to tell peers now.
func (o *Outbox) TakeForPeers() []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.tell
	o.tell = nil
	return out
}

// TakeForLog takes the events to append as one record, if it is time for one.
func (o *Outbox) TakeForLog(now time.Time) []Event {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.record) == 0 || now.Sub(o.recorded) < appendInterval {
		return nil
	}
	o.recorded = now
	out := o.record
	o.record = nil
	return out
}

// HasUnrecorded reports whether events wait to be recorded.
func (o *Outbox) HasUnrecorded() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return len(o.record) > 0
}

// RequeueForLog gives back events whose record may be missing.
func (o *Outbox) RequeueForLog(events []Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.record = newest(append(events, o.record...))
}

// newest drops the oldest events past maxPending.
func newest(events []Event) []Event {
	if len(events) > maxPending {
		return events[len(events)-maxPending:]
	}
	return events
}
