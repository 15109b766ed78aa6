// Package experiment runs one load under several schemes, each on a fresh
// fleet of stand-ins on loopback, and reports them side by side. The schemes
// are this system and its own baselines.
package experiment

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/lane"
	"dandelionrelay/load"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

const (
	model      = "m"
	deployment = "assistant"
	slots      = 8 // of one endpoint
	// warmUp is the longest wait for a fleet to serve its first request.
	warmUp = 30 * time.Second
)

// Options sizes an experiment.
type Options struct {
	Duration time.Duration // of the load under each scheme
	Engines  int
	Entries  int
	Seed     uint64
	Only     []string // names of the schemes to run; empty means all
}

// Scheme is one way to serve the load.
type Scheme struct {
	Name   string
	Policy lane.Policy
	Limit  lane.BatchLimit
	// Load changes the common plan.
	Load func(p *load.Plan)
}

// Schemes returns the schemes in the order in which they run.
func Schemes() []Scheme {
	return []Scheme{
		{Name: "online alone", Load: func(p *load.Plan) { p.Batches = nil }},
		{Name: "lanes"},
		{Name: "lanes, reserve of 1 slot", Limit: lane.BatchLimit{Reserve: 1}},
		{Name: "lanes, no preemption", Policy: lane.NoPreemption},
		{Name: "one queue", Policy: lane.FIFO},
		{Name: "batch as online requests", Load: func(p *load.Plan) {
			for n := range p.Batches {
				p.Batches[n].Online = true
			}
		}},
		{Name: "quiet window", Load: func(p *load.Plan) {
			for n := range p.Batches {
				p.Batches[n].At = p.Duration * 3 / 4
			}
		}},
		{Name: "one customer at 5 times its rate", Load: greedy},
		{Name: "one customer at 5 times its rate, one queue", Policy: lane.FIFO, Load: greedy},
	}
}

// Names returns the names of the schemes.
func Names() []string {
	var names []string
	for _, s := range Schemes() {
		names = append(names, s.Name)
	}
	return names
}

// greedy has the first customer send 5 times as much.
func greedy(p *load.Plan) { p.Customers[0].Rate *= 5 }

// names of the customers.
var names = []string{"a", "b", "c", "d"}

func key(customer string) string { return "experiment-key-of-" + customer }

// rate is what each customer sends and is entitled to, in requests per second.
const rate = 6

// plan returns the common load.
func (o Options) plan() *load.Plan {
	p := &load.Plan{
		Seed:         o.Seed,
		Duration:     o.Duration,
		Prefixes:     4,
		PrefixTokens: 400,
		PromptTokens: 60,
		MaxTokens:    48,
	}
	for _, n := range names {
		p.Customers = append(p.Customers, load.Customer{Name: n, Key: key(n), Model: model, Rate: rate})
	}
	// More items than can be done, so that idle time is never for want of work.
	items := int(o.Duration.Seconds()) * o.Engines * 40
	p.Batches = []load.Batch{{Customer: names[0], Items: items}, {Customer: names[1], Items: items}}
	return p
}

// state returns the configuration of the fleet. Rates leave room for the
// greedy customer, so that queues and not limits decide its fate.
func state() *config.State {
	s := &config.State{
		Customers:   make(map[string]config.Customer),
		Keys:        make(map[string]config.Key),
		Routes:      map[string]config.Route{"r": {Model: model, Deployment: deployment, Idempotent: true}},
		Deployments: map[string]config.Deployment{deployment: {Kind: config.KindModel, Model: model, Slots: slots, CanResume: true}},
	}
	for _, n := range names {
		s.Customers[n] = config.Customer{Rate: 1000, Burst: 1000}
		s.Keys[n] = config.Key{Customer: n, Digest: authn.Digest(key(n))}
	}
	return s
}

// Run runs the schemes one after the other and tells progress on progress.
func Run(ctx context.Context, o Options, progress io.Writer) ([]load.Named, error) {
	var results []load.Named
	for _, s := range Schemes() {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.Name) {
			continue
		}
		fmt.Fprintf(progress, "%s: %s\n", s.Name, o.Duration)
		r, err := o.run(ctx, s)
		if err != nil {
			return results, fmt.Errorf("%s: %w", s.Name, err)
		}
		results = append(results, load.Named{Scheme: s.Name, Result: r})
	}
	return results, nil
}

// run measures one scheme.
func (o Options) run(ctx context.Context, s Scheme) (*load.Result, error) {
	f, err := fleet.New(ctx, fleet.Options{
		State:      state(),
		Engine:     engine.Options{Model: model, MaxRunning: 4 * slots},
		Seed:       o.Seed,
		Logger:     zerolog.Nop(),
		Policy:     s.Policy,
		BatchLimit: s.Limit,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var instances []*fleet.Instance
	for range o.Engines {
		i, _, err := f.AddEngine(deployment)
		if err != nil {
			return nil, err
		}
		instances = append(instances, i)
	}
	target := load.Target{Client: f.Client()}
	for range o.Entries {
		e, err := f.AddEntry()
		if err != nil {
			return nil, err
		}
		instances = append(instances, e)
		target.Entries = append(target.Entries, e.URL())
	}
	for _, i := range instances {
		if err := ready(ctx, f.Client(), "http://"+i.OpsAddr+"/readyz"); err != nil {
			return nil, err
		}
	}
	// Entries look at the instance list once a second.
	time.Sleep(2 * time.Second)
	p := o.plan()
	if s.Load != nil {
		s.Load(p)
	}
	return load.Run(ctx, p, target, 0), nil
}

// ready waits until url is answered with 200.
func ready(ctx context.Context, client *http.Client, url string) error {
	ctx, cancel := context.WithTimeout(ctx, warmUp)
	defer cancel()
	for ctx.Err() == nil {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return err
		}
		resp, err := client.Do(req)
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("%s does not answer: %w", url, ctx.Err())
}
