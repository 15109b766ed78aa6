package cli

import (
	"errors"
	"fmt"

	"dandelionrelay/authn"
	"dandelionrelay/config"
)

// KeyCmd issues and withdraws callers' keys.
type KeyCmd struct {
	New      KeyNewCmd      `cmd:"" help:"Make a key for a customer; its text is shown once."`
	Withdraw KeyWithdrawCmd `cmd:"" help:"Withdraw a key; its calls end within seconds of the change."`
}

// KeyNewCmd generates a key and adds its digest to the configuration files.
type KeyNewCmd struct {
	Server
	Customer string  `arg:"" help:"Customer that the key is for."`
	Dir      string  `required:"" type:"path" placeholder:"DIR" help:"Directory of the configuration files."`
	ID       string  `name:"id" help:"ID of the key; default: the customer and a number."`
	Apply    bool    `help:"Apply the directory at once."`
	Base     *uint64 `placeholder:"VERSION" help:"With --apply: version that the files were made from; default: the one in force."`
	JSON     bool    `name:"json" help:"Print the key as JSON."`
}

// Help implements kong.HelpProvider.
func (KeyNewCmd) Help() string {
	return `Writes the digest of a new key to keys.json in the directory and prints the key itself, which is kept nowhere. Give it to the customer, and apply the directory.

Example: dandelionrelay key new north --dir ./config --apply`
}

// keyNewOutput is the JSON output of "key new".
type keyNewOutput struct {
	ID       string `json:"id"`
	Customer string `json:"customer"`
	Key      string `json:"key"`
}

// Run executes the command.
func (c *KeyNewCmd) Run(env *Env) error {
	state, findings := config.LoadDir(c.Dir)
	if err := findingsError(env, findings); err != nil {
		return err
	}
	if _, ok := state.Customers[c.Customer]; !ok {
		return fmt.Errorf("customer %q is not in %s", c.Customer, c.Dir)
	}
	id := c.ID
	if id == "" {
		id = freeKeyID(state, c.Customer)
	}
	if !config.ValidID(id) {
		return &exitError{ExitUsage, fmt.Errorf("the ID of the key must be %s, not %q: set another with --id", config.IDForm, id)}
	}
	if _, taken := state.Keys[id]; taken {
		return fmt.Errorf("key %q exists already", id)
	}
	key := authn.NewKey()
	if err := config.SetKey(c.Dir, id, config.Key{Customer: c.Customer, Digest: authn.Digest(key)}); err != nil {
		return err
	}
	if err := c.show(env, keyNewOutput{ID: id, Customer: c.Customer, Key: key}); err != nil {
		return err
	}
	stderrEnv := *env
	stderrEnv.Stdout = env.Stderr // stdout holds the key only
	return applyOrRemind(c.Apply, &stderrEnv, &c.Server, c.Dir, c.Base)
}

// show prints the key to stdout; it is not stored anywhere.
func (c *KeyNewCmd) show(env *Env, k keyNewOutput) error {
	if c.JSON {
		return printJSON(env, k)
	}
	_, err := fmt.Fprintf(env.Stdout, "%s\n", k.Key)
	fmt.Fprintf(env.Stderr, "key %s of customer %s; it is shown only now\n", k.ID, k.Customer)
	return err
}

// freeKeyID returns the first unused ID of the form CUSTOMER-NUMBER.
func freeKeyID(state *config.State, customer string) string {
	for n := 1; ; n++ {
		id := fmt.Sprintf("%s-%d", customer, n)
		if _, taken := state.Keys[id]; !taken {
			return id
		}
	}
}

// KeyWithdrawCmd marks a key as withdrawn in the configuration files.
type KeyWithdrawCmd struct {
	Server
	ID    string  `arg:"" name:"id" help:"ID of the key."`
	Dir   string  `required:"" type:"path" placeholder:"DIR" help:"Directory of the configuration files."`
	Apply bool    `help:"Apply the directory at once."`
	Base  *uint64 `placeholder:"VERSION" help:"With --apply: version that the files were made from; default: the one in force."`
	JSON  bool    `name:"json" help:"Print the key's ID, customer and state as JSON."`
}

// Help implements kong.HelpProvider.
func (KeyWithdrawCmd) Help() string {
	return `Marks the key as withdrawn in the directory. Once that is applied, the key is refused everywhere within seconds, running streams are stopped and their connections closed. It cannot be undone: make a new key instead.

Example: dandelionrelay key withdraw north-1 --dir ./config --apply`
}

// keyWithdrawOutput is the JSON output of "key withdraw".
type keyWithdrawOutput struct {
	ID        string `json:"id"`
	Customer  string `json:"customer"`
	Withdrawn bool   `json:"withdrawn"`
}

// Run executes the command.
func (c *KeyWithdrawCmd) Run(env *Env) error {
	state, findings := config.LoadDir(c.Dir)
	if err := findingsError(env, findings); err != nil {
		return err
	}
	key, ok := state.Keys[c.ID]
	if !ok {
		return fmt.Errorf("key %q is not in %s", c.ID, c.Dir)
	}
	if !key.Withdrawn {
		key.Withdrawn = true
		if err := config.SetKey(c.Dir, c.ID, key); err != nil {
			return err
		}
	}
	fmt.Fprintf(env.Stderr, "key %s of customer %s is marked as withdrawn in %s\n", c.ID, key.Customer, c.Dir)
	if !c.JSON {
		return applyOrRemind(c.Apply, env, &c.Server, c.Dir, c.Base)
	}
	if err := printJSON(env, keyWithdrawOutput{ID: c.ID, Customer: key.Customer, Withdrawn: true}); err != nil {
		return err
	}
	stderrEnv := *env
	stderrEnv.Stdout = env.Stderr // stdout holds the JSON output only
	return applyOrRemind(c.Apply, &stderrEnv, &c.Server, c.Dir, c.Base)
}

// applyOrRemind applies the directory if applyNow is set, and otherwise prints the
// command that applies it.
func applyOrRemind(applyNow bool, env *Env, s *Server, dir string, base *uint64) error {
	if !applyNow {
		fmt.Fprintf(env.Stderr, "apply it with: dandelionrelay apply %s\n", dir)
		return nil
	}
	files, err := readFiles(env, dir)
	if err != nil {
		return err
	}
	err = apply(env, s, changeInput{dir: dir, files: files, base: base}, false)
	if err != nil {
		fmt.Fprintf(env.Stderr, "the key is written to %s, but it is not known to be in force; apply it with: dandelionrelay apply %s\n", dir, dir)
	}
	return err
}

// TokenCmd generates an operator's token.
type TokenCmd struct {
	Name string `arg:"" help:"Name of the operator, as the audit trail shows it."`
	JSON bool   `name:"json" help:"Print the token and its digest as JSON."`
}

// tokenOutput is the JSON output of "token".
type tokenOutput struct {
	Name   string `json:"name"`
	Digest string `json:"digest"`
	Token  string `json:"token"`
}

// Help implements kong.HelpProvider.
func (TokenCmd) Help() string {
	return `Prints a new token, which is kept nowhere, and the entry for "operators" in the settings of each entry.

Example: dandelionrelay token ann`
}

// Validate implements kong's hook that checks the parsed flags.
func (c *TokenCmd) Validate() error {
	if c.Name == "" {
		return errors.New("the name must not be empty")
	}
	return nil
}

// Run executes the command.
func (c *TokenCmd) Run(env *Env) error {
	token := authn.NewToken()
	if c.JSON {
		return printJSON(env, tokenOutput{Name: c.Name, Digest: authn.Digest(token), Token: token})
	}
	fmt.Fprintf(env.Stdout, "%s\n", token)
	_, err := fmt.Fprintf(env.Stderr, "settings of each entry: \"operators\": [{\"name\": %q, \"digest\": %q}]\n", c.Name, authn.Digest(token))
	return err
}
