// Package experiment runs one load under several schemes, each on a fresh
// fleet of stand-ins on loopback, and reports them side by side. The schemes
// are this system and its own baselines.
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
	slots      = 8 // of one endpoint
	// warmUp is the longest wait for a fleet to serve its first request.
	warmUp = 30 * time.Second
)

// Scheme is one way to serve the load.
type Scheme struct {
	Name   string
	Policy lane.Policy
	Limit  lane.BatchLimit
	Ratio  float64 // first_token_ratio of the deployment
	// Load changes the common plan.
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

// greedy has the first customer send 5 times as much.
func greedy(p *load.Plan) { p.Customers[0].Rate *= 5 }

func key(customer string) string { return "experiment-key-of-" + customer }

// The customers of an experiment without any in its settings. Their rates leave
// room for the greedy customer, so that queues and not limits decide its fate.
const (
	defaultSends = 6    // requests per second of each
	defaultRate  = 1000 // requests per second
	defaultBurst = 1000 // requests
)

// batchItems is the number of items of each batch for a second of load and an
// engine: more than can be done, so that idle time is never for want of work.
const batchItems = 40

// Options is what an experiment runs by.
type Options struct {
	settings.Experiment
}

// NewOptions returns the options by s, with customers and batches if there are
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

// plan returns the common load.
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

// state returns the configuration of the fleet.
func (o Options) state(scheme Scheme) *config.State {
	d := config.Deployment{Kind: config.KindModel, Model: model, Slots: slots, CanResume: true, FirstTokenRatio: scheme.Ratio}
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

// Run runs the schemes one after the other and tells progress on progress.
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

// run measures one scheme.
func (o Options) run(ctx context.Context, s Scheme, progress io.Writer) (*load.Result, error) {
	w := &world{network: newNetwork(), progress: progress}
	f, err := fleet.New(ctx, fleet.Options{
		Network:    w.network,
		State:      o.state(s),
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
	w.fleet = f
	if err := w.start(ctx, o.Engines, o.Entries); err != nil {
		return nil, err
	}
	p := o.plan()
	if s.Load != nil {
		s.Load(p)
	}
	underLoad, stop := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() { failed <- w.schedule(underLoad, o.Faults) }()
	result := load.Run(ctx, p, load.Target{Client: f.Client(), Entries: w.urls}, 0)
	stop()
	return result, <-failed
}

// start starts the instances and waits until they are ready.
func (w *world) start(ctx context.Context, engines, entries int) error {
	var instances []*fleet.Instance
	for range engines {
		i, e, err := w.fleet.AddEngine(deployment)
		if err != nil {
			return err
		}
		w.endpoints = append(w.endpoints, endpoint{i, e})
		instances = append(instances, i)
	}
	for range entries {
		i, err := w.fleet.AddEntry()
		if err != nil {
			return err
		}
		w.entries = append(w.entries, i)
		w.balanced = append(w.balanced, true)
		instances = append(instances, i)
	}
	for _, i := range instances {
		if err := ready(ctx, i); err != nil {
			return err
		}
	}
	// Entries look at the instance list once a second.
	sleep.For(ctx, 2*time.Second)
	return nil
}

// ready waits until an instance says that it is.
func ready(ctx context.Context, i *fleet.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, warmUp)
	defer cancel()
	return i.AwaitReady(ctx)
}
