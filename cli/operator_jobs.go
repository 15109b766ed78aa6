package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"dandelionrelay/admin"
)

// JobsCmd lists batch jobs.
type JobsCmd struct {
	Server
	Customer string `help:"Jobs of this customer only."`
	JSON     bool   `name:"json" help:"Print the jobs as JSON."`
}

// Help implements kong.HelpProvider.
func (JobsCmd) Help() string {
	return `Lists batch jobs with their progress, those due first first.

Example: dandelionrelay jobs --customer garden --server http://10.0.0.5:7203`
}

// Run executes the command.
func (c *JobsCmd) Run(env *Env) error {
	var reply *admin.JobsReply
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = client.Jobs(ctx, c.Customer)
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, reply)
	}
	t := tabwriter.NewWriter(env.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(t, "job\tcustomer\tstatus\ttotal\tcompleted\tfailed\tdue")
	for _, j := range reply.Jobs {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%d\t%d\t%s\n",
			j.ID, j.Customer, j.Status, j.Total, j.Completed, j.Failed, j.Due.UTC().Format(time.RFC3339))
	}
	return t.Flush()
}
