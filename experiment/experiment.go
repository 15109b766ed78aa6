// Package experiment runs the same load under several schemes, each on a new fleet of
// stand-ins on loopback, and returns the results for comparison. The schemes are
// configurations of this system and its baselines.
package experiment

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"dandelionrelay/authn"
	"dandelionrelay/config"
	"dandelionrelay/lane"
	"dandelionrelay/load"
	"dandelionrelay/settings"
	"dandelionrelay/sleep"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/fleet"
)

const (
	model      = "m"
	deployment = "assistant"
	slots      = 8 // of each endpoint
	// readyTimeout bounds the wait for each instance to become ready.
	readyTimeout = 30 * time.Second
)

// Scheme is one way to serve the load. The zero values of Policy, Limit and Ratio are
// the defaults of the system.
type Scheme struct {
	Name   string
	Policy lane.Policy
	Limit  lane.BatchLimit
	Ratio  float64 // first_token_ratio of the deployment
	// Load changes the load that is common to all schemes; may be nil.
	Load func(p *load.Plan)
}

// Schemes returns the schemes in the order in which they run.
func Schemes() []Scheme {
	return []Scheme{
		{Name: "online alone", Load: func(p *load.Plan) { p.Batches = nil }},
		{Name: "lanes"},
		{Name: "lanes and every idle slot", Ratio: config.MaxFirstTokenRatio},
		{Name: "lanes, reserve of 1 slot", Limit: lane.BatchLimit{ReservedSlots: 1}},
		{Name: "lanes, no preemption", Policy: lane.NonPreemptivePriority},
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

// SchemeNames returns the names of the schemes.
func SchemeNames() []string {
	var names []string
	for _, s := range Schemes() {
		names = append(names, s.Name)
	}
	return names
}

// greedy multiplies the request rate of the first customer by 5.
func greedy(p *load.Plan) { p.Customers[0].Rate *= 5 }

func key(customer string) string { return "experiment-key-of-" + customer }

// Parameters of the default customers. Their rate limits admit even a customer at 5 times
// its rate in full, so that the scheduling policy, not the limits, determines the results.
const (
	defaultSends = 6    // requests per second sent by each customer
	defaultRate  = 1000 // requests per second
	defaultBurst = 1000 // requests
)

// batchItems is the number of items of each default batch per engine and second of load.
// It exceeds the capacity of an engine, so that slots are never idle for lack of items.
const batchItems = 40

// Options configures an experiment.
type Options struct {
	settings.Experiment
}

// NewOptions returns the options for s, with default customers and batches if s has
// none.
func NewOptions(s *settings.Experiment) Options {
	o := Options{*s}
	if len(o.Customers) == 0 {
		for _, name := range []string{"a", "b", "c", "d"} {
			c := settings.ExperimentCustomer{Name: name, Rate: defaultRate, Burst: defaultBurst, Sends: defaultSends}
			o.Customers = append(o.Customers, c)
		}
	}
	if len(o.Batches) == 0 {
		items := max(1, int(time.Duration(o.Duration).Seconds()*batchItems)*o.Engines)
		for n := range min(2, len(o.Customers)) {
			o.Batches = append(o.Batches, settings.ExperimentBatch{Customer: o.Customers[n].Name, Items: items})
		}
	}
	return o
}

// plan returns the load that is common to all schemes.
func (o Options) plan() *load.Plan {
	p := &load.Plan{
		Seed:         o.Seed,
		Duration:     time.Duration(o.Duration),
		Prefixes:     4,
		PrefixTokens: 400,
		PromptTokens: 60,
		MaxTokens:    48,
	}
	for _, c := range o.Customers {
		p.Customers = append(p.Customers, load.Customer{
			Name: c.Name, Key: key(c.Name), Model: model, Rate: c.Sends, Limit: c.Rate, Burst: float64(c.Burst),
		})
	}
	for _, b := range o.Batches {
		p.Batches = append(p.Batches, load.Batch{Customer: b.Customer, At: time.Duration(b.At), Items: b.Items})
	}
	return p
}

// state returns the configuration of the fleet under scheme.
func (o Options) state(scheme Scheme) *config.State {
	d := config.Deployment{Kind: config.KindModel, Model: model, Slots: slots, CanResume: true, FirstTokenRatio: scheme.Ratio}
	d.ColdRate, d.ColdTime = o.ColdRate, o.ColdTime
	s := &config.State{
		Customers:   make(map[string]config.Customer),
		Keys:        make(map[string]config.Key),
		Routes:      map[string]config.Route{"r": {Model: model, Deployment: deployment, Idempotent: true}},
		Deployments: map[string]config.Deployment{deployment: d},
	}
	for _, c := range o.Customers {
		s.Customers[c.Name] = config.Customer{Rate: c.Rate, Burst: float64(c.Burst)}
		s.Keys[c.Name] = config.Key{Customer: c.Name, Digest: authn.Digest(key(c.Name))}
	}
	return s
}

// Run runs the schemes in o.Schemes, or all if there are none, one after the other. It
// writes the start of each scheme and fault to progress. If a scheme fails, it returns
// the results of those before it and the error.
func Run(ctx context.Context, o Options, progress io.Writer) ([]load.SchemeResult, error) {
	var results []load.SchemeResult
	for _, s := range Schemes() {
		if len(o.Schemes) > 0 && !slices.Contains(o.Schemes, s.Name) {
			continue
		}
		fmt.Fprintf(progress, "%s: %s\n", s.Name, time.Duration(o.Duration))
		r, err := o.run(ctx, s, progress)
		if err != nil {
			return results, fmt.Errorf("%s: %w", s.Name, err)
		}
		results = append(results, load.SchemeResult{Scheme: s.Name, Result: r})
	}
	return results, nil
}

// run runs the load under one scheme on a new fleet.
func (o Options) run(ctx context.Context, s Scheme, progress io.Writer) (*load.Result, error) {
	tb := newTestbed(progress)
	f, err := fleet.New(ctx, fleet.Options{
		Network:    tb.network,
		State:      o.state(s),
		Engine:     engine.Options{Model: model, MaxRunning: 4 * slots, ColdRate: o.ColdRate, ColdTime: time.Duration(o.ColdTime)},
		Seed:       o.Seed,
		Logger:     zerolog.Nop(),
		Policy:     s.Policy,
		BatchLimit: s.Limit,
	})
	if err != nil {
		return nil, err
	}
	defer f.Close()
	tb.fleet = f
	if err := tb.start(ctx, o.Engines, o.Entries); err != nil {
		return nil, err
	}
	p := o.plan()
	if s.Load != nil {
		s.Load(p)
	}
	loadCtx, stop := context.WithCancel(ctx)
	faultErr := make(chan error, 1)
	go func() { faultErr <- tb.runFaults(loadCtx, o.Faults) }()
	result := load.Run(ctx, p, load.Target{Client: f.Client(), Entries: tb.urls}, 0)
	stop()
	err = <-faultErr
	if o.ColdRate > 0 {
		fmt.Fprintf(progress, "  most requests at a cold engine within a second: %d, of %g\n", tb.coldPeak(), o.ColdRate)
	}
	return result, err
}

// start starts the instances and waits until they are ready and the entries have read
// the instance list.
func (tb *testbed) start(ctx context.Context, engines, entries int) error {
	var instances []*fleet.Instance
	for range engines {
		i, e, err := tb.fleet.AddEngine(deployment)
		if err != nil {
			return err
		}
		tb.endpoints = append(tb.endpoints, endpoint{i, e})
		instances = append(instances, i)
	}
	for range entries {
		i, err := tb.fleet.AddEntry()
		if err != nil {
			return err
		}
		tb.entries = append(tb.entries, i)
		tb.inRotation = append(tb.inRotation, true)
		instances = append(instances, i)
	}
	for _, i := range instances {
		if err := awaitReady(ctx, i); err != nil {
			return err
		}
	}
	// Entries read the instance list once a second.
	sleep.For(ctx, 2*time.Second)
	return nil
}

// awaitReady waits until an instance is ready, at most for readyTimeout.
func awaitReady(ctx context.Context, i *fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	return i.AwaitReady(ctx)
}
