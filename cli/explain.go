package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/joomcode/errorx"

	"dandelionrelay/admin"
	"dandelionrelay/explain"
)

// ExplainCmd asks an entry of package gateway where a request or job would go now.
type ExplainCmd struct {
	Server
	Route    string `help:"ID of the route, in place of --host and --path." placeholder:"ID"`
	Host     string `help:"Host name that the caller uses." placeholder:"NAME"`
	Path     string `help:"Path that the caller uses." placeholder:"/PATH"`
	Customer string `help:"Name of the customer, not a key. Without it the request has no key." placeholder:"NAME"`
	Software string `help:"Version of the endpoint software that began the response, of a stream that is taken up." placeholder:"VERSION"`
	Job      bool   `help:"It is a job: fail if the route takes none."`
	JSON     bool   `name:"json" help:"Print the reply of the entry as JSON."`
}

// Help implements kong.HelpProvider.
func (ExplainCmd) Help() string {
	return `Asks a running gateway, at its metrics_addr, where a request or the items of a job would go now, and why. Nothing is sent, and nothing at the entry changes. The reply holds at that entry only: others have other loads and levels. The settings of the entry need operator_token_digest, the digest of the token.

Example: dandelionrelay explain --host lm.example --path /v1/chat --customer garden --server http://10.0.0.5:9464

Example: dandelionrelay explain --route nightly --customer garden --job --json`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *ExplainCmd) Validate() error { return c.query().Check() }

func (c *ExplainCmd) query() explain.Query {
	return explain.Query{Route: c.Route, Host: c.Host, Path: c.Path, Customer: c.Customer, Version: c.Software, Job: c.Job}
}

// Run executes the command.
func (c *ExplainCmd) Run(env *Env) error {
	var raw json.RawMessage
	err := c.call(env, func(ctx context.Context, client *admin.Client) (err error) {
		raw, err = client.Explain(ctx, c.query())
		if errorx.IsOfType(err, admin.Unreachable) {
			err = admin.Unreachable.New("%s (explain needs the metrics_addr of a gateway with operator_token_digest)", userMessage(err))
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(env, raw)
	}
	var reply explain.Reply
	if err := json.Unmarshal(raw, &reply); err != nil {
		return fmt.Errorf("the reply of the entry can't be read: %w", err)
	}
	return printExplanation(env.Stdout, &reply)
}
