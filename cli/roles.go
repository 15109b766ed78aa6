package cli

import (
	"net/http"

	"dandelionrelay/daemon"
	"dandelionrelay/entry"
	"dandelionrelay/settings"
	"dandelionrelay/sidecar"
)

// EntryCmd runs an entry.
type EntryCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (EntryCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then finishes the requests under way. docs/SETTINGS.md lists the settings.

Example: dandelionrelay entry --settings examples/local/entry-1.json`
}

// Run implements the verb.
func (c *EntryCmd) Run(env *Env) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return findingsExit(err)
	}
	if err := checkTLS(c.Settings, s.TLS); err != nil {
		return err
	}
	ctx, stop := daemon.UntilSignal(env.Ctx)
	defer stop()
	return entry.Main(ctx, s, daemon.Logger(s.LogLevel, "entry", s.ID))
}

// SidecarCmd runs a sidecar.
type SidecarCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (SidecarCmd) Help() string {
	return `Runs until SIGTERM or SIGINT, then gives batch items back and finishes its streams. docs/SETTINGS.md lists the settings.

Example: dandelionrelay sidecar --settings examples/local/sidecar-1.json`
}

// Run implements the verb.
func (c *SidecarCmd) Run(env *Env) error {
	s, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return findingsExit(err)
	}
	if err := checkTLS(c.Settings, s.TLS); err != nil {
		return err
	}
	ctx, stop := daemon.UntilSignal(env.Ctx)
	defer stop()
	return sidecar.Main(ctx, s, daemon.Logger(s.LogLevel, "sidecar", s.ID))
}

// checkTLS reports certificates that can't be used as a finding of the settings
// file at path.
func checkTLS(path string, t *settings.TLS) error {
	if _, err := daemon.Security(t); err != nil {
		return findingsExit(settings.FindingsError{{File: path, Pointer: "/tls", Message: plainText(err)}})
	}
	return nil
}

// serveStandin serves handler on addr until the process is told to end.
func serveStandin(env *Env, addr string, handler http.Handler) error {
	listener, err := daemon.Listen(addr)
	if err != nil {
		return err
	}
	ctx, stop := daemon.UntilSignal(env.Ctx)
	defer stop()
	server := daemon.Serve(listener, handler)
	defer server.Close()
	return daemon.Wait(ctx, server)
}
