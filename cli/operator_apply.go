package cli

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"dandelionrelay/admin"
	"dandelionrelay/config"
)

// ValidateCmd checks a configuration directory without asking an entry.
type ValidateCmd struct {
	Dir  string `arg:"" type:"path" help:"Directory of the configuration files."`
	JSON bool   `name:"json" help:"Print the findings as JSON."`
}

// Help implements kong.HelpProvider.
func (ValidateCmd) Help() string {
	return `Prints every finding with its file, line and JSON pointer. Exit code 3 if there are any.

Example: dandelionrelay validate ./config`
}

// Run implements the verb.
func (c *ValidateCmd) Run(env *Env) error {
	state, findings := config.LoadDir(c.Dir)
	if c.JSON {
		if err := printJSON(env, findings); err != nil {
			return err
		}
	}
	if err := findingsError(env, findings); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(env.Stdout, "valid: %d customers, %d keys, %d routes, %d deployments\n",
			len(state.Customers), len(state.Keys), len(state.Routes), len(state.Deployments))
	}
	return nil
}

// PlanCmd shows what applying a directory would change.
type PlanCmd struct {
	Server
	Dir  string `arg:"" type:"path" help:"Directory of the configuration files."`
	JSON bool   `name:"json" help:"Print the plan as JSON."`
}

// Help implements kong.HelpProvider.
func (PlanCmd) Help() string {
	return `Compares the directory with the state in force. Nothing is changed.

Example: dandelionrelay plan ./config --server http://10.0.0.5:7203`
}

// Run implements the verb.
func (c *PlanCmd) Run(env *Env) error {
	files, err := readFiles(env, c.Dir)
	if err != nil {
		return err
	}
	_, err = plan(env, &c.Server, files, c.JSON)
	return err
}

// plan asks for the plan of files and prints it.
func plan(env *Env, s *Server, files map[string]string, asJSON bool) (*admin.PlanReply, error) {
	var reply *admin.PlanReply
	err := s.call(env, func(ctx context.Context, c *admin.Client) (err error) {
		reply, err = c.Plan(ctx, files)
		return err
	})
	if err != nil {
		return nil, err
	}
	if asJSON {
		return reply, printJSON(env, reply)
	}
	for _, change := range reply.Changes {
		fmt.Fprintln(env.Stdout, change.String())
	}
	fmt.Fprintf(env.Stdout, "%s to version %d\n", count(len(reply.Changes), "change"), reply.Base)
	return reply, nil
}

// count words a number of things.
func count(n int, thing string) string {
	if n == 1 {
		return "1 " + thing
	}
	return fmt.Sprintf("%d %ss", n, thing)
}

// ApplyCmd makes a directory the desired state.
type ApplyCmd struct {
	Server
	Dir    string  `arg:"" type:"path" help:"Directory of the configuration files."`
	DryRun bool    `help:"Show the plan only."`
	Base   *uint64 `placeholder:"VERSION" help:"Version that the files were made from; default: the one in force when the plan is made."`
	JSON   bool    `name:"json" help:"Print the result as JSON, without the plan."`
}

// Help implements kong.HelpProvider.
func (ApplyCmd) Help() string {
	return `Shows the plan, then applies the whole directory as one change. Exit code 3 if the files have faults, 4 if another operator was first, 5 if the log did not answer in time.

Example: dandelionrelay apply ./config --server http://10.0.0.5:7203
Example: dandelionrelay apply ./config --base 41 --json`
}

// Run implements the verb.
func (c *ApplyCmd) Run(env *Env) error {
	files, err := readFiles(env, c.Dir)
	if err != nil {
		return err
	}
	if c.DryRun {
		_, err := plan(env, &c.Server, files, c.JSON)
		return err
	}
	return apply(env, &c.Server, files, c.Base, c.JSON)
}

// apply shows the plan of files and applies them.
func apply(env *Env, s *Server, files map[string]string, base *uint64, asJSON bool) error {
	if !asJSON || base == nil {
		quiet := *env
		if asJSON {
			quiet.Stdout = discard{}
		}
		planned, err := plan(&quiet, s, files, false)
		if err != nil {
			return err
		}
		if base == nil {
			base = &planned.Base
		}
	}
	req := admin.ApplyRequest{ID: uuid.NewString(), Base: *base, Files: files}
	var reply *admin.ApplyReply
	err := s.call(env, func(ctx context.Context, c *admin.Client) (err error) {
		reply, err = c.Apply(ctx, req)
		return err
	})
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(env, reply)
	}
	if reply.Offset == 0 {
		_, err = fmt.Fprintf(env.Stdout, "nothing to change, version %d is in force\n", reply.Version)
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "applied: version %d is in force (change %s)\n", reply.Version, reply.ID)
	return err
}

// discard is a writer that drops what it gets.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
