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

// versionInfo is the output of version.
type versionInfo struct {
	Version string `json:"version"`
	Go      string `json:"go"` // version of the compiler
}

// Help implements kong.HelpProvider.
func (VersionCmd) Help() string { return "Example: dandelionrelay version" }

// Run implements the verb.
func (c VersionCmd) Run(env *Env) error {
	if c.JSON {
		return printJSON(env, versionInfo{Version: version(), Go: runtime.Version()})
	}
	_, err := fmt.Fprintln(env.Stdout, "dandelionrelay", version())
	return err
}

// version returns the version that the program was built from.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "devel"
	}
	return info.Main.Version
}

// versionFlag prints the version and ends the command.
type versionFlag bool

// BeforeReset implements kong's hook, which runs before missing arguments are
// complained of.
func (versionFlag) BeforeReset(app *kong.Kong, env *Env) error {
	if err := (VersionCmd{}).Run(env); err != nil {
		return err
	}
	app.Exit(ExitOK)
	return nil
}
