package dispatch

import "sync"

// Parameters of a retry budget.
const (
	// RetryFraction is the number of retries that each call adds to the budget.
	RetryFraction = 0.1
	// RetryBurst is the largest number of retries in the budget.
	RetryBurst = 10
)

// RetryBudget bounds retries to a fraction of the calls, so that retries can't
// multiply the load of a failing fleet. Each entry keeps one budget for each
// deployment; as each entry keeps to the fraction, so does the fleet.
type RetryBudget struct {
	mu     sync.Mutex
	tokens float64
}

// NewRetryBudget returns a full budget.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: RetryBurst} }

// Deposit adds RetryFraction to the budget, for one call.
func (b *RetryBudget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+RetryFraction, RetryBurst)
}

// Withdraw takes one retry from the budget. It returns false if less than one is
// left.
func (b *RetryBudget) Withdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// budgets holds the retry budget of each deployment.
type budgets struct{ byDeployment sync.Map }

// get returns the budget of a deployment, and creates it if it does not exist.
func (b *budgets) get(deployment string) *RetryBudget {
	if v, ok := b.byDeployment.Load(deployment); ok {
		return v.(*RetryBudget)
	}
	v, _ := b.byDeployment.LoadOrStore(deployment, NewRetryBudget())
	return v.(*RetryBudget)
}
