// Package invariant defines the invariants of the system as named assertions that
// are checked at run time. A violation is counted and passed to a handler, which
// logs it in production and fails the test in tests.
package invariant

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// Name identifies an invariant.
type Name string

// The invariants. docs/PROOFS.md has a row for each.
const (
	ItemCompletesOnce     Name = "item_completes_once"
	ResultReadable        Name = "result_readable"
	CancelStops           Name = "cancel_stops"
	OnlineBeforeBatch     Name = "online_before_batch"
	CustomerOfKey         Name = "customer_of_key"
	NoKeyAtEndpoint       Name = "no_key_at_endpoint"
	WithdrawnKeyStops     Name = "withdrawn_key_stops"
	RateBound             Name = "rate_bound"
	AnswerMatchesRequest  Name = "answer_matches_request"
	NotRunIsTrue          Name = "not_run_is_true"
	AtMostOnce            Name = "at_most_once"
	NoWorkWhenLeaving     Name = "no_work_when_leaving"
	ShutdownCutsNothing   Name = "shutdown_cuts_nothing"
	ConfigNeverReverts    Name = "config_never_reverts"
	AcknowledgedIsDurable Name = "acknowledged_is_durable"
	SuspectRunsAlone      Name = "suspect_runs_alone"
)

// All lists all invariants in the order of docs/PROOFS.md.
var All = []Name{
	ItemCompletesOnce, ResultReadable, CancelStops, OnlineBeforeBatch,
	CustomerOfKey, NoKeyAtEndpoint, WithdrawnKeyStops, RateBound,
	AnswerMatchesRequest, NotRunIsTrue, AtMostOnce, NoWorkWhenLeaving,
	ShutdownCutsNothing, ConfigNeverReverts, AcknowledgedIsDurable,
	SuspectRunsAlone,
}

// Violation is one violation of an invariant. Detail must not contain a key or a
// prompt.
type Violation struct {
	Name   Name
	Detail string
}

// Error implements error.
func (v Violation) Error() string {
	return fmt.Sprintf("invariant %s violated: %s", v.Name, v.Detail)
}

// Set counts the violations in one process. It is safe for concurrent use. The
// zero value is not usable; the methods of a nil Set may be called and count
// nothing.
type Set struct {
	counts map[Name]*atomic.Uint64
	mu     sync.Mutex
	onFail func(Violation)
}

// New returns a Set that calls onFail with each violation, one call at a time.
// onFail may be nil.
func New(onFail func(Violation)) *Set {
	s := &Set{counts: make(map[Name]*atomic.Uint64, len(All)), onFail: onFail}
	for _, n := range All {
		s.counts[n] = new(atomic.Uint64)
	}
	return s
}

// Check records a violation of n unless ok is true, and returns ok. The
// detail is formatted only on a violation.
func (s *Set) Check(ok bool, n Name, format string, args ...any) bool {
	if ok || s == nil {
		return ok
	}
	s.counts[n].Add(1)
	if s.onFail == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onFail(Violation{Name: n, Detail: fmt.Sprintf(format, args...)})
	return false
}

// Count returns the number of violations of n so far.
func (s *Set) Count(n Name) uint64 {
	if s == nil {
		return 0
	}
	return s.counts[n].Load()
}
