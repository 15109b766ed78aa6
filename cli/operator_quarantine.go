package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"dandelionrelay/admin"
	"dandelionrelay/quarantine"
)

// QuarantineCmd lists requests that crashed endpoints and lifts their quarantine.
type QuarantineCmd struct {
	List QuarantineListCmd `cmd:"" help:"List the requests that crashed endpoints."`
	Lift QuarantineLiftCmd `cmd:"" help:"Let a request run again."`
}

// QuarantineListCmd lists the requests that crashed endpoints.
type QuarantineListCmd struct {
	Server
	JSON bool `name:"json" help:"Print the requests as JSON."`
}

// Help implements kong.HelpProvider.
func (QuarantineListCmd) Help() string {
	return `Lists requests by digest, the latest crash first: suspects, which run alone, and quarantined ones, which are refused with 422.

Example: dandelionrelay quarantine list --server http://10.0.0.5:7203`
}

// Run executes the command.
func (c *QuarantineListCmd) Run(env *Env) error {
	return c.showQuarantine(env, c.JSON, func(ctx context.Context, client *admin.Client) (*admin.QuarantineReply, error) {
		return client.Quarantine(ctx)
	})
}

// QuarantineLiftCmd clears the crash record of a request, so that it runs again.
type QuarantineLiftCmd struct {
	Server
	Digest quarantine.Digest `arg:"" help:"Digest of the request, as quarantine list shows it."`
	JSON   bool              `name:"json" help:"Print the remaining requests as JSON."`
}

// Help implements kong.HelpProvider.
func (QuarantineLiftCmd) Help() string {
	return `Clears the crash record of a request in the whole fleet and lists the remaining requests. A request that crashes endpoints again is quarantined again.

Example: dandelionrelay quarantine lift 0123456789abcdef0123456789abcdef --server http://10.0.0.5:7203`
}

// Run executes the command.
func (c *QuarantineLiftCmd) Run(env *Env) error {
	return c.showQuarantine(env, c.JSON, func(ctx context.Context, client *admin.Client) (*admin.QuarantineReply, error) {
		return client.Lift(ctx, c.Digest)
	})
}

// showQuarantine runs call with an entry and prints the crash records that it
// returns.
func (s *Server) showQuarantine(env *Env, asJSON bool, call func(context.Context, *admin.Client) (*admin.QuarantineReply, error)) error {
	var reply *admin.QuarantineReply
	err := s.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = call(ctx, client)
		return err
	})
	if err != nil {
		return err
	}
	if asJSON {
		return printJSON(env, reply)
	}
	t := tabwriter.NewWriter(env.Stdout, 0, 8, 2, ' ', 0)
	// The column heading deaths (crashes) is kept for tools that read the output.
	fmt.Fprintln(t, "digest\tcustomer\tstate\tdeaths\talone\tlast")
	for _, r := range reply.Requests {
		state := "suspect"
		if r.Quarantined {
			state = "quarantined"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%s\n",
			r.Digest, r.Customer, state, r.Crashes, r.Alone, r.Last.UTC().Format(time.RFC3339))
	}
	return t.Flush()
}
