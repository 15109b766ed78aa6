// Command dandelionrelay runs every role of the system and the operator's
// verbs.
package main

import "dandelionrelay/cli"

func main() { cli.Main() }
