package cli

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/experiment"
	"dandelionrelay/load"
	"dandelionrelay/settings"
)

// ExperimentCmd measures this system and its baselines under the same load.
type ExperimentCmd struct {
	Settings string         `type:"path" placeholder:"FILE" help:"Settings file (JSON): customers, batch jobs and a schedule of faults. The flags below override it."`
	Duration *time.Duration `placeholder:"20s" help:"Length of the load under each scheme."`
	Engines  *int           `placeholder:"3" help:"Stand-in engines."`
	Entries  *int           `placeholder:"2" help:"Entries."`
	Seed     *uint64        `placeholder:"1" help:"Seed of arrivals."`
	Scheme   []string       `placeholder:"NAME" sep:"none" help:"Run this scheme only; may be repeated. Names: ${schemes}."`
	CSV      string         `type:"path" placeholder:"FILE" help:"Write the table as comma-separated values too."`
}

// Help implements kong.HelpProvider.
func (ExperimentCmd) Help() string {
	return `Runs one load under several schemes, each on a fresh fleet of stand-ins on loopback.

Example: dandelionrelay experiment --duration 20s --csv result.csv

Example: dandelionrelay experiment --scheme "online alone" --scheme lanes

Example: dandelionrelay experiment --settings examples/experiment/faults.json`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *ExperimentCmd) Validate() error {
	switch {
	case c.Duration != nil && *c.Duration <= 0:
		return fmt.Errorf("--duration must be above 0, not %s", *c.Duration)
	case c.Engines != nil && *c.Engines < 1:
		return fmt.Errorf("--engines must be at least 1, not %d", *c.Engines)
	case c.Entries != nil && *c.Entries < 1:
		return fmt.Errorf("--entries must be at least 1, not %d", *c.Entries)
	}
	for _, name := range c.Scheme {
		if !slices.Contains(experiment.SchemeNames(), name) {
			return fmt.Errorf("--scheme must be one of %s, not %q", schemeNames(), name)
		}
	}
	return nil
}

// schemeNames returns the quoted names of the schemes for help texts and errors.
func schemeNames() string {
	names := experiment.SchemeNames()
	for i := range names {
		names[i] = strconv.Quote(names[i])
	}
	return strings.Join(names, "; ")
}

// Run executes the command.
func (c *ExperimentCmd) Run(env *Env) error {
	s, err := c.settings()
	if err != nil {
		return err
	}
	options := experiment.NewOptions(s)
	if c.CSV == "" {
		_, err := measure(env, options)
		return err
	}
	// The file is created before the measurement, so that an invalid path is
	// reported before it and not after it.
	file, err := os.Create(c.CSV)
	if err != nil {
		return err
	}
	results, err := measure(env, options)
	return errors.Join(err, load.WriteCSV(file, results), file.Close())
}

// settings returns the settings of the file, if one is given, overridden by the
// flags.
func (c *ExperimentCmd) settings() (*settings.Experiment, error) {
	s := new(settings.Experiment)
	if c.Settings != "" {
		loaded, err := settings.LoadExperiment(c.Settings)
		if err != nil {
			return nil, findingsExitError(err)
		}
		s = loaded
	}
	if c.Duration != nil {
		s.Duration = config.Duration(*c.Duration)
	}
	override(&s.Engines, c.Engines)
	override(&s.Entries, c.Entries)
	override(&s.Seed, c.Seed)
	if len(c.Scheme) > 0 {
		s.Schemes = c.Scheme
	}
	if err := s.Check(c.Settings, experiment.SchemeNames()); err != nil {
		return nil, findingsExitError(err)
	}
	return s, nil
}

// override sets value to the value of the flag, if the flag was given.
func override[T any](value, flag *T) {
	if flag != nil {
		*value = *flag
	}
}

// measure runs the schemes and prints the table of those that completed.
func measure(env *Env, options experiment.Options) ([]load.SchemeResult, error) {
	results, err := experiment.Run(env.Ctx, options, env.Stderr)
	if len(results) == 0 {
		return nil, err
	}
	return results, errors.Join(err, load.WriteTable(env.Stdout, results))
}
