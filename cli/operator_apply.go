package cli

import (
	"context"
	"errors"
	"fmt"

	"github.com/google/uuid"

	"dandelionrelay/admin"
	"dandelionrelay/api"
	"dandelionrelay/config"
)

// ValidateCmd checks a configuration directory locally, without calling an entry.
type ValidateCmd struct {
	Dir  string `arg:"" type:"path" help:"Directory of the configuration files."`
	JSON bool   `name:"json" help:"Print the findings as JSON."`
}

// Help implements kong.HelpProvider.
func (ValidateCmd) Help() string {
	return `Prints every finding with its file, line and JSON pointer. Exit code 3 if there are any.

Example: dandelionrelay validate ./config`
}

// Run executes the command.
func (c *ValidateCmd) Run(env *Env) error {
	state, findings := config.LoadDir(c.Dir)
	if c.JSON {
		if err := printJSON(env, append([]api.Finding{}, findings...)); err != nil {
			return err
		}
	}
	if err := findingsError(env, findings); err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(env.Stdout, "valid: %s, %s, %s, %s\n",
			countNoun(len(state.Customers), "customer"), countNoun(len(state.Keys), "key"),
			countNoun(len(state.Routes), "route"), countNoun(len(state.Deployments), "deployment"))
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

// Run executes the command.
func (c *PlanCmd) Run(env *Env) error {
	files, err := readFiles(env, c.Dir)
	if err != nil {
		return err
	}
	_, err = plan(env, &c.Server, files, c.JSON)
	return err
}

// plan requests the plan of files from an entry and prints it.
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
		reply.Changes = nonNilChanges(reply.Changes)
		return reply, printJSON(env, reply)
	}
	for _, change := range reply.Changes {
		fmt.Fprintln(env.Stdout, change.String())
	}
	fmt.Fprintf(env.Stdout, "%s to version %d\n", countNoun(len(reply.Changes), "change"), reply.Base)
	return reply, nil
}

// nonNilChanges returns a copy of changes that is never nil, so that the JSON
// output always holds a list.
func nonNilChanges(changes []config.EntryChange) []config.EntryChange {
	return append([]config.EntryChange{}, changes...)
}

// countNoun returns n followed by noun in the singular or plural.
func countNoun(n int, noun string) string {
	if n == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", n, noun)
}

// ApplyCmd makes a directory the desired state.
type ApplyCmd struct {
	Server
	Dir    string  `arg:"" type:"path" help:"Directory of the configuration files."`
	DryRun bool    `help:"Show the plan only."`
	Base   *uint64 `placeholder:"VERSION" help:"Version that the files were made from; default: the one in force when the plan is made."`
	ID     string  `name:"id" placeholder:"UUID" help:"ID of the change. The ID of an earlier attempt repeats that change. Default: a new ID."`
	JSON   bool    `name:"json" help:"Print the result as JSON, without the plan."`
}

// Help implements kong.HelpProvider.
func (ApplyCmd) Help() string {
	return `Shows the plan, then applies the whole directory as one change. Exit code 3 if the files have faults, 4 if another operator was first, 5 if the log did not answer in time: the change may still take effect, and the command that repeats it safely is printed.

Without --base the files win over whatever is in force when the plan is made. Two operators who change files at the same time each give the version that their files were made from.

Example: dandelionrelay apply ./config --server http://10.0.0.5:7203

Example: dandelionrelay apply ./config --base 41 --json`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *ApplyCmd) Validate() error {
	if c.ID == "" {
		return nil
	}
	if _, err := uuid.Parse(c.ID); err != nil {
		return fmt.Errorf("--id must be a UUID, not %q", c.ID)
	}
	return nil
}

// Run executes the command.
func (c *ApplyCmd) Run(env *Env) error {
	files, err := readFiles(env, c.Dir)
	if err != nil {
		return err
	}
	if c.DryRun {
		_, err := plan(env, &c.Server, files, c.JSON)
		return err
	}
	return apply(env, &c.Server, changeInput{dir: c.Dir, files: files, base: c.Base, id: c.ID}, c.JSON)
}

// changeInput is the change that apply makes.
type changeInput struct {
	dir   string
	files map[string]string
	base  *uint64 // nil: the version in force when the plan is made
	id    string  // empty: a new ID
}

// apply prints the plan of a change, applies it and prints the result. If asJSON
// is set, it prints the result only, as JSON.
func apply(env *Env, s *Server, c changeInput, asJSON bool) error {
	base := c.base
	if !asJSON || base == nil {
		planEnv := *env
		if asJSON {
			planEnv.Stdout = discard{}
		}
		planned, err := plan(&planEnv, s, c.files, false)
		if err != nil {
			return err
		}
		if base == nil {
			base = &planned.Base
		}
	}
	if c.id == "" {
		c.id = uuid.NewString()
	}
	req := admin.ApplyRequest{ID: c.id, Base: *base, Files: c.files}
	var reply *admin.ApplyReply
	err := s.call(env, func(ctx context.Context, c *admin.Client) (err error) {
		reply, err = c.Apply(ctx, req)
		return err
	})
	if mayTakeEffect(err) {
		fmt.Fprintf(env.Stderr, "to repeat this change: dandelionrelay apply %s --base %d --id %s\n", c.dir, req.Base, req.ID)
	}
	if err != nil {
		return err
	}
	if asJSON {
		reply.Changes = nonNilChanges(reply.Changes)
		return printJSON(env, reply)
	}
	if reply.Offset == 0 {
		_, err = fmt.Fprintf(env.Stdout, "nothing to change, version %d is in force\n", reply.Version)
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "applied: version %d is in force (change %s)\n", reply.Version, reply.ID)
	return err
}

// mayTakeEffect reports whether err has ExitIndeterminate: the entry responded that
// the change may still take effect.
func mayTakeEffect(err error) bool {
	var coded *exitError
	return errors.As(err, &coded) && coded.code == ExitIndeterminate
}

// discard is a writer that discards what is written to it.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }
