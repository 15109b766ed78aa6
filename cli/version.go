package cli

import (
	"fmt"
	"runtime"
	"runtime/debug"

	"github.com/alecthomas/kong"
)

// VersionCmd prints the version.
type VersionCmd struct {
	JSON bool `name:"json" help:"Print the version as JSON."`
}

// versionOutput is the JSON output of "version".
type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"` // version of the compiler
}

// Help implements kong.HelpProvider.
func (VersionCmd) Help() string { return "Example: dandelionrelay version" }

// Run executes the command.
func (c VersionCmd) Run(env *Env) error {
	if c.JSON {
		return printJSON(env, versionOutput{Version: version(), Go: runtime.Version()})
	}
	_, err := fmt.Fprintln(env.Stdout, "dandelionrelay", version())
	return err
}

// version returns the module version that the program was built from, or "devel"
// if that is unknown.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// versionFlag is a flag that prints the version and exits.
type versionFlag bool

// BeforeReset implements kong's hook. It runs before kong reports missing
// arguments, so that --version needs no command.
func (versionFlag) BeforeReset(app *kong.Kong, env *Env) error {
	if err := (VersionCmd{}).Run(env); err != nil {
		return err
	}
	app.Exit(ExitOK)
	return nil
}
