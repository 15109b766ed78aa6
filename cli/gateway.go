package cli

import (
	"dandelionrelay/platform"
	"dandelionrelay/settings"
)

// GatewayCmd runs an entry on a platform that provides configuration, endpoints
// and a store.
type GatewayCmd struct {
	Settings string `required:"" env:"DANDELIONRELAY_CONFIG" help:"Settings file (JSON)." placeholder:"FILE"`
}

// Help implements kong.HelpProvider.
func (GatewayCmd) Help() string {
	return `Takes its configuration and its endpoints from the platform's store and keeps batch jobs there. Runs until SIGTERM, then finishes the requests under way. docs/SETTINGS.md lists the settings.

Example: dandelionrelay gateway --settings gateway.json`
}

// Run executes the command.
func (c *GatewayCmd) Run(env *Env) error {
	s, err := settings.LoadGateway(c.Settings)
	if err != nil {
		return findingsExitError(err)
	}
	return platform.Main(env.Ctx, c.Settings, s, env.Stdout)
}
