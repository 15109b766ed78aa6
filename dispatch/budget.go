package dispatch

import "sync"

// Size of a retry budget.
const (
	// RetryFraction is how many repeats each call pays for.
	RetryFraction = 0.1
	// RetryBurst is how many repeats may be saved up.
	RetryBurst = 10
)

// RetryBudget bounds the repeats of calls to a fraction of the calls, so that
// repeats can't multiply the load of a fleet that fails. Each entry keeps one
// for each deployment; as each holds to the fraction, so does the fleet.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: RetryBurst} }

// Deposit pays in for one call.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+RetryFraction, RetryBurst)
}

// Withdraw takes one repeat, if there is one.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budgets holds the budget of each deployment.
type budgets struct{ m sync.Map }

func (b *budgets) of(deployment string) *RetryBudget {
	if v, ok := b.m.Load(deployment); ok {
		return v.(*RetryBudget)
	}
	v, _ := b.m.LoadOrStore(deployment, NewRetryBudget())
	return v.(*RetryBudget)
}
