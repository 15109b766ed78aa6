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

// Run implements the verb.
func (c *EntryCmd) Run(env *Env) error {
	s, err := settings.LoadEntry(c.Settings)
	if err != nil {
		return findingsExit(err)
	}
	ctx, stop := daemon.UntilSignal(env.Ctx)
	defer stop()
	return entry.Main(ctx, s, daemon.Logger(s.LogLevel, "entry", s.ID))
}

// SidecarCmd runs a sidecar.
type SidecarCmd struct {
	Settings string `required:"" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Run implements the verb.
func (c *SidecarCmd) Run(env *Env) error {
	s, err := settings.LoadSidecar(c.Settings)
	if err != nil {
		return findingsExit(err)
	}
	ctx, stop := daemon.UntilSignal(env.Ctx)
	defer stop()
	return sidecar.Main(ctx, s, daemon.Logger(s.LogLevel, "sidecar", s.ID))
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
