// Package load sends the open-loop load of many customers to entries and reports the
// results for each customer. Random values depend on the seed of the plan only.
package load

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Plan describes the load of one run.
type Plan struct {
	Seed      uint64        `json:"seed"`
	Duration  time.Duration `json:"duration_ns"`
	Customers []Customer    `json:"customers"`
	Batches   []Batch       `json:"batches,omitempty"`
	// Prefixes is the number of different system prompts, one of which starts each
	// prompt. 0 means that prompts have no common prefix.
	Prefixes     int `json:"prefixes,omitempty"`
	PrefixTokens int `json:"prefix_tokens,omitempty"` // words in a system prompt
	PromptTokens int `json:"prompt_tokens"`           // words in the user message
	MaxTokens    int `json:"max_tokens"`              // of a response
}

// Customer sends requests as a Poisson process.
type Customer struct {
	Name  string  `json:"name"`
	Key   string  `json:"key"`
	Model string  `json:"model"`
	Rate  float64 `json:"rate"` // mean number of requests sent per second
	// Limit and Burst are the customer's rate and burst in the configuration. They
	// determine which requests are within the rate limit. If Limit is 0, all are.
	Limit float64 `json:"limit,omitempty"` // requests per second
	Burst float64 `json:"burst,omitempty"` // requests
}

// Batch is a job that is submitted during the run.
type Batch struct {
	Customer string        `json:"customer"`
	At       time.Duration `json:"at_ns"` // since the start of the run
	Items    int           `json:"items"`
	Online   bool          `json:"online,omitempty"` // send the items as online requests instead
}

// Arrival is one request to be sent.
type Arrival struct {
	At       time.Duration // since the start of the run
	Customer int           // index in Plan.Customers
	Prefix   int           // index of the system prompt
	Serial   int           // unique in the run
}

// Arrivals returns all online requests of the plan in order of time.
func (p *Plan) Arrivals() []Arrival {
	var all []Arrival
	for n, c := range p.Customers {
		all = append(all, p.arrivals(n, c.Rate)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	for i := range all {
		all[i].Serial = i
	}
	return all
}

// arrivals generates the requests of one customer. Each customer has a random generator
// of its own, so that they do not depend on the rates of other customers.
func (p *Plan) arrivals(customer int, rate float64) []Arrival {
	if rate <= 0 {
		return nil
	}
	rnd := rand.New(rand.NewPCG(p.Seed, uint64(customer)))
	var all []Arrival
	at := time.Duration(0)
	for {
		at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		if at >= p.Duration {
			return all
		}
		all = append(all, Arrival{At: at, Customer: customer, Prefix: rnd.IntN(max(1, p.Prefixes))})
	}
}
