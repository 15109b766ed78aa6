package cli

import (
	"context"
	"net/http"

	"github.com/rs/zerolog"

	"dandelionrelay/daemon"
	"dandelionrelay/entry"
	"dandelionrelay/settings"
	"dandelionrelay/sidecar"
)

// EntryCmd runs an entry until SIGTERM or SIGINT.
type EntryCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (EntryCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then finishes the requests under way. docs/SETTINGS.md lists the settings.

Example: dandelionrelay entry --settings examples/local/entry-1.json`
}

// Run executes the command.
func (c *EntryCmd) Run(env *Env) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return findingsExitError(err)
	}
	return runRole(env, c.Settings, "entry", &s.Process, func(ctx context.Context, log zerolog.Logger) error {
		return entry.Main(ctx, c.Settings, s, log)
	})
}

// SidecarCmd runs a sidecar until SIGTERM or SIGINT.
type SidecarCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (SidecarCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then gives batch items back and finishes its streams. docs/SETTINGS.md lists the settings.

Example: dandelionrelay sidecar --settings examples/local/sidecar-1.json`
}

// Run executes the command.
func (c *SidecarCmd) Run(env *Env) error {
	s, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return findingsExitError(err)
	}
	return runRole(env, c.Settings, "sidecar", &s.Process, func(ctx context.Context, log zerolog.Logger) error {
		return sidecar.Main(ctx, c.Settings, s, log)
	})
}

// runRole runs a role with the settings s, read from the file at path, until the
// process receives SIGTERM or SIGINT.
func runRole(env *Env, path, role string, s *settings.Process, run func(context.Context, zerolog.Logger) error) error {
	if err := checkTLS(path, s.TLS); err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext(env.Ctx)
	defer stop()
	daemon.SetLogLevel(s.LogLevel)
	return run(ctx, daemon.Logger(role, s.ID))
}

// checkTLS returns a finding about the settings file at path if its certificates
// can't be loaded.
func checkTLS(path string, t *settings.TLS) error {
	if _, err := daemon.LoadSecurity(t); err != nil {
		return findingsExitError(settings.FindingsError{{File: path, Pointer: "/tls", Message: userMessage(err)}})
	}
	return nil
}

// serveStandin serves handler on addr until the process receives SIGTERM or
// SIGINT.
func serveStandin(env *Env, addr string, handler http.Handler) error {
	listener, err := daemon.Listen(addr)
	if err != nil {
		return err
	}
	ctx, stop := daemon.SignalContext(env.Ctx)
	defer stop()
	server := daemon.Serve(listener, handler)
	defer server.Close()
	return daemon.Wait(ctx, server)
}
