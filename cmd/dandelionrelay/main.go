// Command dandelionrelay runs the roles of the system, the operator's commands
// and the stand-ins.
package main

import "dandelionrelay/cli"

func main() { cli.Main() }
