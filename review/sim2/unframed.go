//go:build review

package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Sizes of unframedBatch and, of the workers, of unframedStream.
const (
	unframedWorkers = 6
	unframedItems   = 10
	unframedEvents  = 232
)

// unframedBatch has workers whose answers have no length. One of six workers is taken away while
// it runs items of a batch job: it drains and exits.
func unframedBatch(c *cluster, trouble bool) ([]string, error) {
	c.configure(1)
	if err := c.startWorkers(unframedWorkers, workerSettings{Slots: 8, Events: unframedEvents, EventMs: 15, Unframed: true}); err != nil {
		return nil, err
	}
	if err := c.startGateways(3); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const job = "7c41e09b52d6a3f8"
	ids, err := c.submit(customers[0], job, unframedItems, 400)
	if err != nil {
		return nil, err
	}
	time.Sleep(300 * time.Millisecond)
	if trouble {
		p := c.busiest()
		_ = p.cmd.Process.Signal(syscall.SIGTERM)
		c.note("worker %s is told to drain and leave", p.name)
	}
	results := c.readAll(customers[0], job, unframedItems, 40*time.Second)
	c.noteRuns()
	if len(results) < len(ids) {
		return nil, fmt.Errorf("%d of %d items are listed", len(results), len(ids))
	}
	var breaches []string
	for position, r := range results {
		whole := wholeOutput(r.ID, unframedEvents, 0)
		events := strings.Count(r.Output, "\n") + 1
		c.note("position %d: item %s %s, %d events, whole: %t", position, r.ID, r.State, events, r.Output == whole)
		if r.State == "completed" && r.Output != whole {
			breaches = append(breaches, fmt.Sprintf("MIXED: item %s is completed, and its text has %d of %d events", r.ID, events, unframedEvents))
		}
	}
	return breaches, nil
}

// busiest returns the worker that has begun the most runs that have not ended.
func (c *cluster) busiest() *process {
	b, _ := os.ReadFile(filepath.Join(c.dir, "runs.log"))
	running := make(map[string]int)
	for _, line := range strings.Split(string(b), "\n") {
		f := strings.Fields(line)
		if len(f) > 1 && f[1] == "runs" {
			running[f[0]]++
		} else if len(f) > 1 && f[1] == "ends" {
			running[f[0]]--
		}
	}
	best := c.workers[0]
	for _, p := range c.workers {
		if running[p.name] > running[best.name] {
			best = p
		}
	}
	return best
}

// runsBegun returns how many runs the workers have begun.
func (c *cluster) runsBegun() int {
	b, _ := os.ReadFile(filepath.Join(c.dir, "runs.log"))
	return strings.Count(string(b), " runs ")
}

// awaitQuiet waits until the workers have begun no run for 6 s, for 18 s at most.
func (c *cluster) awaitQuiet() bool {
	const quiet, limit = 6 * time.Second, 18 * time.Second
	begun, since := c.runsBegun(), time.Now()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(time.Second) {
		if time.Since(since) > quiet {
			return true
		}
		if now := c.runsBegun(); now != begun {
			begun, since = now, time.Now()
		}
	}
	return false
}

// noteRetries copies the last line about a retry of each gateway's log to the record.
func (c *cluster) noteRetries() {
	for _, p := range c.gateways {
		b, _ := os.ReadFile(p.log)
		lines := strings.Split(string(b), "\n")
		for i := len(lines) - 1; i >= 0; i-- {
			if strings.Contains(lines[i], "will retry") {
				c.note("%s logs %s", p.name, lines[i])
				break
			}
		}
	}
}

// noteRuns copies what the workers ran to the record.
func (c *cluster) noteRuns() {
	b, _ := os.ReadFile(filepath.Join(c.dir, "runs.log"))
	for _, line := range strings.Split(strings.TrimSpace(string(b)), "\n") {
		c.note("worker %s", line)
	}
}
