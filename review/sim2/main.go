//go:build review

// Command sim2 runs the scripted cases of the second review: a small deployment on loopback
// addresses, with gateways as separate processes and stand-ins of the platform's store, the
// workers and the clients.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxCaseTime is the time after which a case is given up.
const maxCaseTime = 115 * time.Second

// cases holds the cases by name. Each returns the breaches of its rule that were seen.
var cases = map[string]func(c *cluster, trouble bool) ([]string, error){
	"contents-down":   contentsDown,
	"long-output":     longOutput,
	"many-results":    manyResults,
	"unframed-batch":  unframedBatch,
	"unframed-stream": unframedStream,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "worker" {
		runWorker(os.Args[2])
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: sim2 CASE FOLDER | sim2 worker SETTINGS")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[1], os.Args[2]))
}

// runCase runs a case and writes record.txt in its folder.
func runCase(name, folder string) int {
	c, err := newCluster(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer c.close()
	time.AfterFunc(maxCaseTime, func() {
		c.note("the case took over %s and is given up", maxCaseTime)
		c.close()
		os.Exit(exitNotRun)
	})
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		c.close()
		os.Exit(exitNotRun)
	}()
	trouble := os.Getenv("TROUBLE") != "0"
	c.note("case %s, trouble: %t", name, trouble)
	breaches, err := cases[name](c, trouble)
	if err != nil {
		c.note("the case could not run: %v", err)
		return exitNotRun
	}
	for _, b := range breaches {
		c.note("BROKEN: %s", b)
	}
	if len(breaches) > 0 {
		return exitBroken
	}
	c.note("the rule held")
	return exitHeld
}
