package cli

import (
	"context"
	"fmt"

	"github.com/google/uuid"

	"dandelionrelay/admin"
	"dandelionrelay/config"
)

// EvacuateCmd starts or ends the evacuation of a data centre.
type EvacuateCmd struct {
	Server
	DataCentre string `arg:"" help:"Name of the data centre, as on the platform's instance list."`
	End        bool   `help:"End the evacuation."`
	ID         string `name:"id" placeholder:"UUID" help:"ID of the change. The ID of an earlier attempt repeats that change. Default: a new ID."`
	JSON       bool   `name:"json" help:"Print the result as JSON."`
}

// Help implements kong.HelpProvider.
func (EvacuateCmd) Help() string {
	return `Nothing more is sent to the endpoints of an evacuated data centre: requests run elsewhere, and batch items that run there move. Streams in progress continue. The evacuation holds until it is ended; applying a directory neither starts nor ends one. Exit code 5 if the log did not answer in time: the change may still take effect, and the command that repeats it safely is printed.

Example: dandelionrelay evacuate frankfurt-1 --server http://10.0.0.5:7203

Example: dandelionrelay evacuate --end frankfurt-1`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *EvacuateCmd) Validate() error {
	if !config.ValidID(c.DataCentre) {
		return fmt.Errorf("the name of a data centre must be %s, not %q", config.IDForm, c.DataCentre)
	}
	if _, err := uuid.Parse(c.ID); c.ID != "" && err != nil {
		return fmt.Errorf("--id must be a UUID, not %q", c.ID)
	}
	return nil
}

// Run executes the command.
func (c *EvacuateCmd) Run(env *Env) error {
	req := admin.EvacuateRequest{ID: c.ID, DataCentre: c.DataCentre, End: c.End}
	if req.ID == "" {
		req.ID = uuid.NewString()
	}
	var reply *admin.EvacuateReply
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		reply, err = client.Evacuate(ctx, req)
		return err
	})
	if mayTakeEffect(err) {
		fmt.Fprintf(env.Stderr, "to repeat this change: dandelionrelay %s --id %s\n", c.verb(), req.ID)
	}
	if err != nil {
		return err
	}
	if reply.Instances == 0 {
		fmt.Fprintf(env.Stderr, "no instance is known in a data centre named %s: check the name\n", c.DataCentre)
	}
	if c.JSON {
		return printJSON(env, reply)
	}
	state := "is evacuated"
	if c.End {
		state = "is not evacuated"
	}
	if reply.Offset == 0 {
		_, err = fmt.Fprintf(env.Stdout, "nothing to change, %s %s in version %d\n", c.DataCentre, state, reply.Version)
		return err
	}
	_, err = fmt.Fprintf(env.Stdout, "%s %s: version %d is in force (change %s)\n", c.DataCentre, state, reply.Version, reply.ID)
	return err
}

// verb returns the command without its ID.
func (c *EvacuateCmd) verb() string {
	if c.End {
		return "evacuate --end " + c.DataCentre
	}
	return "evacuate " + c.DataCentre
}
