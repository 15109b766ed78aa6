package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionrelay/admin"
	"dandelionrelay/config"
)

// AuditCmd lists accepted and rejected changes of the configuration.
type AuditCmd struct {
	Server
	Limit int  `default:"20" help:"Number of changes to show, the latest ones."`
	Diff  bool `help:"Show what each change set or removed."`
	JSON  bool `name:"json" help:"Print the changes as JSON, with their differences."`
}

// Help implements kong.HelpProvider.
func (AuditCmd) Help() string {
	return `Shows who changed the configuration when, from which version, and which changes were rejected.

Example: dandelionrelay audit --limit 50 --diff --server http://10.0.0.5:7203`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *AuditCmd) Validate() error {
	if c.Limit < 1 {
		return fmt.Errorf("--limit must be at least 1, not %d", c.Limit)
	}
	return nil
}

// Run executes the command.
func (c *AuditCmd) Run(env *Env) error {
	var reply *admin.AuditReply
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = client.Audit(ctx, c.Limit)
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, reply)
	}
	for _, e := range reply.Entries {
		fmt.Fprintln(env.Stdout, auditLine(e))
		if c.Diff && e.Delta != nil {
			printDelta(env, e.Delta)
		}
	}
	return nil
}

// auditLine formats one entry of the audit trail.
func auditLine(e config.AuditEntry) string {
	line := fmt.Sprintf("%s  %-9s  %s  base %d", e.Time.UTC().Format(time.RFC3339), e.Verdict, e.Operator, e.Base)
	switch e.Verdict {
	case config.Accepted:
		line += fmt.Sprintf(" -> version %d", e.Version)
	case config.Conflict:
		line += fmt.Sprintf(", in force was %d", e.InForce)
		if e.Winner != "" {
			line += fmt.Sprintf(" (first: %s)", e.Winner)
		}
	}
	return line + "  change " + e.ID
}

// printDelta prints what a change set or removed, by section.
func printDelta(env *Env, d *config.Delta) {
	printChanges(env, "customers", d.Customers)
	printChanges(env, "keys", d.Keys)
	printChanges(env, "deployments", d.Deployments)
	printChanges(env, "routes", d.Routes)
	printChanges(env, "evacuations", d.Evacuations)
}

// printChanges prints the changes of one section: first what was set, then what
// was removed, each sorted by ID.
func printChanges[T any](env *Env, section string, c config.Changes[T]) {
	for _, id := range slices.Sorted(maps.Keys(c.Set)) {
		// The error is nil: the values are structs or booleans, which always marshal.
		b, _ := json.Marshal(c.Set[id])
		fmt.Fprintf(env.Stdout, "    set    %s/%s %s\n", section, id, b)
	}
	for _, id := range c.Remove {
		fmt.Fprintf(env.Stdout, "    remove %s/%s\n", section, id)
	}
}

// StatusCmd shows the version of the configuration in force at an entry.
type StatusCmd struct {
	Server
	JSON bool `name:"json" help:"Print the status as JSON."`
}

// Help implements kong.HelpProvider.
func (StatusCmd) Help() string {
	return `Shows the version in force at an entry, for how long it has not heard from the log, and the evacuated data centres.

Example: dandelionrelay status --server http://10.0.0.5:7203`
}

// Run executes the command.
func (c *StatusCmd) Run(env *Env) error {
	var reply *admin.StatusReply
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = client.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, reply)
	}
	s := reply.Config
	age := time.Duration(s.Age).Round(time.Millisecond).String() + " ago"
	if s.Age < 0 {
		age = "never"
	}
	_, err = fmt.Fprintf(env.Stdout, "entry            %s in %s, knows %d entries\nversion          %d, known: %t\noffset           %d\nlog last heard   %s\n",
		reply.Instance, reply.DataCentre, reply.Entries, s.Version, s.Known, s.Through, age)
	if err == nil && len(reply.Evacuations) > 0 {
		_, err = fmt.Fprintf(env.Stdout, "evacuated        %s\n", strings.Join(reply.Evacuations, ", "))
	}
	return err
}

// StateCmd prints the state in force.
type StateCmd struct {
	Server
	JSON bool `name:"json" help:"Print the state as JSON, which is done anyway."`
}

// Help implements kong.HelpProvider.
func (StateCmd) Help() string {
	return `Prints the state in force as JSON, without the digests of keys.

Example: dandelionrelay state --server http://10.0.0.5:7203`
}

// Run executes the command.
func (c *StateCmd) Run(env *Env) error {
	var reply *admin.StateReply
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = client.State(ctx)
		return err
	})
	if err != nil {
		return err
	}
	initNilSections(reply.State)
	return printJSON(env, reply)
}

// initNilSections replaces nil sections by empty ones, so that the JSON output
// always holds an object for each.
func initNilSections(s *config.State) {
	initIfNil(&s.Customers)
	initIfNil(&s.Keys)
	initIfNil(&s.Routes)
	initIfNil(&s.Deployments)
}

// initIfNil replaces a nil section by an empty one.
func initIfNil[T any](section *map[string]T) {
	if *section == nil {
		*section = make(map[string]T)
	}
}
