package cli

import (
	"fmt"
	"runtime/debug"
)

// VersionCmd prints the version.
type VersionCmd struct{}

// Run implements the verb.
func (VersionCmd) Run(env *Env) error {
	version := "devel"
	if info, ok := debug.ReadBuildInfo(); ok && info.Main.Version != "" {
		version = info.Main.Version
	}
	_, err := fmt.Fprintln(env.Stdout, "dandelionrelay", version)
	return err
}
