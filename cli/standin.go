package cli

import (
	"fmt"
	"net/netip"
	"time"

	"dandelionrelay/settings"
	"dandelionrelay/standin/engine"
	"dandelionrelay/standin/plain"
	standin "dandelionrelay/standin/platform"
)

// StandinCmd groups the commands that run stand-ins.
type StandinCmd struct {
	Platform StandinPlatformCmd `cmd:"" help:"Stand-in platform: log, instance list and weight store in memory."`
	Engine   StandinEngineCmd   `cmd:"" help:"Stand-in model engine with continuous batching."`
	Plain    StandinPlainCmd    `cmd:"" help:"Stand-in plain service."`
}

// StandinPlatformCmd runs the stand-in platform.
type StandinPlatformCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (StandinPlatformCmd) Help() string {
	return `PUT /standin/faults takes the log down or slows it, PUT /v1/instances replaces the instance list: see docs/API.md.

Example: dandelionrelay standin platform --settings examples/local/platform.json`
}

// Run executes the command.
func (c *StandinPlatformCmd) Run(env *Env) error {
	s, err := settings.LoadPlatform(c.Settings)
	if err != nil {
		return findingsExitError(err)
	}
	log := standin.NewLog(time.Duration(s.Retention), s.Seed)
	instances := standin.NewInstances(time.Duration(s.ListLag))
	instances.Set(s.Instances)
	return serveStandin(env, s.HTTPAddr, standin.NewServer(log, instances, s.LoadsPerMinute))
}

// StandinEngineCmd runs a stand-in engine.
type StandinEngineCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (StandinEngineCmd) Help() string {
	return "Example: dandelionrelay standin engine --settings examples/local/engine-1.json"
}

// Run executes the command.
func (c *StandinEngineCmd) Run(env *Env) error {
	s, err := settings.LoadEngine(c.Settings)
	if err != nil {
		return findingsExitError(err)
	}
	e := engine.New(engine.Options{
		Model:           s.Model,
		StepBase:        time.Duration(s.StepBase),
		StepPerSequence: time.Duration(s.StepPerSlot),
		ObeysFencing:    s.ObeysFencing,
		ColdRate:        s.ColdRate,
		ColdTime:        time.Duration(s.ColdTime),
		ColdCrash:       s.ColdCrash,
	})
	defer e.Close()
	return serveStandin(env, s.HTTPAddr, e)
}

// StandinPlainCmd runs a stand-in plain service.
type StandinPlainCmd struct {
	Addr string `required:"" help:"Address to serve on." placeholder:"IP:PORT"`
}

// Help implements kong.HelpProvider.
func (StandinPlainCmd) Help() string {
	return `Answers every call with what it was sent.

Example: dandelionrelay standin plain --addr 127.0.0.1:7130`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *StandinPlainCmd) Validate() error {
	if _, err := netip.ParseAddrPort(c.Addr); err != nil {
		return fmt.Errorf("--addr must be ip:port, not %q", c.Addr)
	}
	return nil
}

// Run executes the command.
func (c *StandinPlainCmd) Run(env *Env) error {
	return serveStandin(env, c.Addr, plain.New())
}

// findingsExitError returns err, the findings about an input, with ExitFindings.
func findingsExitError(err error) error {
	return &exitError{code: ExitFindings, err: err}
}
