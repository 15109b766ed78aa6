package cli

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
)

// starter holds the files that InitCmd writes.
//
//go:embed starter/*.json
var starter embed.FS

// InitCmd writes a directory of example configuration files.
type InitCmd struct {
	Dir string `arg:"" type:"path" help:"Directory to write to; it is made if it is missing."`
}

// Help implements kong.HelpProvider.
func (InitCmd) Help() string {
	return `Writes customers.json, keys.json, routes.json and deployments.json with one customer, one model and no key. Files that exist are left alone, and nothing is written then.

Example: dandelionrelay init ./config`
}

// Run executes the command.
func (c *InitCmd) Run(env *Env) error {
	names, err := fs.Glob(starter, "starter/*.json")
	if err != nil {
		return err
	}
	for _, name := range names {
		if _, err := os.Stat(c.target(name)); err == nil {
			return fmt.Errorf("%s exists already; nothing was written", c.target(name))
		}
	}
	if err := os.MkdirAll(c.Dir, 0o755); err != nil {
		return err
	}
	for _, name := range names {
		b, err := starter.ReadFile(name)
		if err != nil {
			return err
		}
		if err := os.WriteFile(c.target(name), b, 0o644); err != nil {
			return err
		}
	}
	_, err = fmt.Fprintf(env.Stdout, "wrote %d files; next: dandelionrelay key new example --dir %s\n", len(names), c.Dir)
	return err
}

// target returns the path that the embedded file name is written to.
func (c *InitCmd) target(name string) string { return filepath.Join(c.Dir, filepath.Base(name)) }
