package cli

import "dandelionrelay/demo"

// DemoCmd runs the whole system in one process and checks what it does.
type DemoCmd struct{}

// Help implements kong.HelpProvider.
func (DemoCmd) Help() string {
	return `Takes about 15 seconds. Exit code 1 if anything did not go as it should.

Example: dandelionrelay demo`
}

// Run executes the command.
func (DemoCmd) Run(env *Env) error { return demo.Run(env.Ctx, env.Stdout) }
