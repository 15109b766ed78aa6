package cli

import "dandelionrelay/demo"

// DemoCmd runs the whole system in one process.
type DemoCmd struct{}

// Run implements the verb.
func (DemoCmd) Run(env *Env) error { return demo.Run(env.Ctx, env.Stdout) }
