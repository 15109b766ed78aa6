// Package cli implements the command line: the roles, the operator's commands,
// the stand-ins, the demonstration and the experiment.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// Exit codes of all commands.
const (
	ExitOK       = 0
	ExitFailure  = 1 // the command failed
	ExitUsage    = 2 // the command line is invalid
	ExitFindings = 3 // the input is invalid; all findings were printed
	ExitConflict = 4 // another operator's change came first
	// ExitIndeterminate means that it is not known whether the change takes effect.
	// The operator repeats it by its ID, or looks it up in the audit trail.
	ExitIndeterminate = 5
)

// description is the head of the help text.
const description = `Serves online and batch inference on one fleet.

Exit codes: 0 done; 1 the work could not be done; 2 the command line is wrong; 3 the input has faults, all of which were printed; 4 somebody else's change came first; 5 it is not known whether a change takes effect.`

// App is the grammar of the command line, from which kong derives commands and
// flags.
type App struct {
	VersionFlag versionFlag `name:"version" help:"Print the version."`

	Entry      EntryCmd      `cmd:"" help:"Run an entry: it admits callers' requests and sends them to endpoints." group:"Roles"`
	Sidecar    SidecarCmd    `cmd:"" help:"Run a sidecar beside an endpoint." group:"Roles"`
	Gateway    GatewayCmd    `cmd:"" help:"Run an entry on a platform that provides configuration, endpoints and a store." group:"Roles"`
	Standin    StandinCmd    `cmd:"" help:"Run a stand-in for the platform or for an endpoint (tests, demonstrations)." group:"Stand-ins"`
	Demo       DemoCmd       `cmd:"" help:"Run the whole system in one process on loopback and show what it does." group:"Stand-ins"`
	Experiment ExperimentCmd `cmd:"" help:"Measure this system beside its baselines, on stand-ins." group:"Stand-ins"`

	Init       InitCmd       `cmd:"" help:"Write configuration files to start from." group:"Operator"`
	Validate   ValidateCmd   `cmd:"" help:"Check configuration files." group:"Operator"`
	Plan       PlanCmd       `cmd:"" help:"Show what applying configuration files would change." group:"Operator"`
	Apply      ApplyCmd      `cmd:"" help:"Make configuration files the desired state." group:"Operator"`
	Key        KeyCmd        `cmd:"" help:"Issue and withdraw callers' keys." group:"Operator"`
	Evacuate   EvacuateCmd   `cmd:"" help:"Send nothing more to the endpoints of a data centre, or end that." group:"Operator"`
	Audit      AuditCmd      `cmd:"" help:"Show accepted and rejected changes." group:"Operator"`
	Trace      TraceCmd      `cmd:"" help:"Collect what processes logged of one request or job." group:"Operator"`
	Explain    ExplainCmd    `cmd:"" help:"Show where a gateway would send a request or job now, and why." group:"Operator"`
	Failures   FailuresCmd   `cmd:"" help:"Group the requests that failed, by cause." group:"Operator"`
	Status     StatusCmd     `cmd:"" help:"Show what an entry knows of the configuration." group:"Operator"`
	Jobs       JobsCmd       `cmd:"" help:"List batch jobs and their progress." group:"Operator"`
	Quarantine QuarantineCmd `cmd:"" help:"List requests that crashed endpoints, and lift their quarantine." group:"Operator"`
	State      StateCmd      `cmd:"" help:"Print the state in force." group:"Operator"`
	Token      TokenCmd      `cmd:"" help:"Make an operator's token." group:"Operator"`
	Version    VersionCmd    `cmd:"" help:"Print the version." group:"Operator"`
}

// Env holds the context and the output streams of a command.
type Env struct {
	Ctx    context.Context
	Stdout io.Writer
	Stderr io.Writer
}

// exitError is an error that sets the exit code of the command.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }
func (e *exitError) Unwrap() error { return e.err }

// Run parses args, executes the command and returns its exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	env := &Env{Ctx: ctx, Stdout: stdout, Stderr: stderr}
	var app App
	exited := false // set when kong would exit, after printing the help or the version
	parser, err := kong.New(&app,
		kong.Name("dandelionrelay"),
		kong.Description(description),
		kong.Writers(stdout, stderr),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.Bind(env),
		kong.Vars{"schemes": schemeNames()},
		kong.Exit(func(int) { exited = true }),
	)
	if err != nil {
		panic(err) // a programming error: the grammar is constant
	}
	parsed, err := parser.Parse(args)
	if exited {
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(stderr, "dandelionrelay: %v\n", err)
		return ExitUsage
	}
	return exitCode(parsed.Run(env), stderr)
}

// exitCode prints err and returns the exit code for it.
func exitCode(err error, stderr io.Writer) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(stderr, "dandelionrelay: %v\n", err)
	var coded *exitError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailure
}

// Main runs the command line of this process and exits with its exit code.
func Main() {
	os.Exit(Run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}
