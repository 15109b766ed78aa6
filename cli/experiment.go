package cli

import (
	"os"
	"time"

	"dandelionrelay/experiment"
	"dandelionrelay/load"
)

// ExperimentCmd measures this system beside its baselines.
type ExperimentCmd struct {
	Duration time.Duration `default:"20s" help:"Length of the load under each scheme."`
	Engines  int           `default:"3" help:"Stand-in engines."`
	Entries  int           `default:"2" help:"Entries."`
	Seed     uint64        `default:"1" help:"Seed of arrivals."`
	Scheme   []string      `placeholder:"NAME" help:"Run this scheme only; may be repeated."`
	CSV      string        `type:"path" placeholder:"FILE" help:"Write the table as comma-separated values too."`
}

// Help implements kong.HelpProvider.
func (ExperimentCmd) Help() string {
	return `Runs one load under several schemes, each on a fresh fleet of stand-ins on loopback.

Example: dandelionrelay experiment --duration 20s --csv result.csv`
}

// Run implements the verb.
func (c *ExperimentCmd) Run(env *Env) error {
	options := experiment.Options{
		Duration: c.Duration, Engines: c.Engines, Entries: c.Entries, Seed: c.Seed, Only: c.Scheme,
	}
	results, err := experiment.Run(env.Ctx, options, env.Stderr)
	if err != nil {
		return err
	}
	if err := load.WriteTable(env.Stdout, results); err != nil {
		return err
	}
	if c.CSV == "" {
		return nil
	}
	file, err := os.Create(c.CSV)
	if err != nil {
		return err
	}
	defer file.Close()
	return load.WriteCSV(file, results)
}
