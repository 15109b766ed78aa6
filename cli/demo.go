package cli

// DemoCmd runs the whole system in one process.
type DemoCmd struct{}

// Run implements the verb.
func (DemoCmd) Run(*Env) error { return notYet("demo") }
