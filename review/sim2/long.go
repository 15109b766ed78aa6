//go:build review

package main

import (
	"fmt"
	"strings"
	"time"
)

// Sizes of longOutput. The site file has events of up to 360 bytes; the sheets have a mean of
// 232 events.
const (
	longItems       = 4
	longEvents      = 900
	ordinaryEvents  = 232
	longEventBytes  = 320
	longEventPeriod = 3 // ms, about one step of an engine
)

// longOutput submits a batch job whose items have an output of 288 KB or, without trouble, of
// 74 KB.
func longOutput(c *cluster, trouble bool) ([]string, error) {
	events := ordinaryEvents
	if trouble {
		events = longEvents
	}
	c.configure(1)
	if err := c.startWorkers(unframedWorkers, workerSettings{Slots: 8, Events: events, EventMs: longEventPeriod, EventBytes: longEventBytes}); err != nil {
		return nil, err
	}
	if err := c.startGateways(3); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	const job = "3f90aa17c05be2d4"
	ids, err := c.submit(customers[0], job, longItems, 1000)
	if err != nil {
		return nil, err
	}
	results := c.readAll(customers[0], job, longItems, 50*time.Second)
	c.noteRuns()
	if len(results) < len(ids) {
		return nil, fmt.Errorf("%d of %d items are listed", len(results), len(ids))
	}
	var breaches []string
	for position, r := range results {
		whole := wholeOutput(r.ID, events, longEventBytes)
		got := strings.Count(r.Output, "\n") + 1
		c.note("position %d: item %s %s, %d bytes of %d, whole: %t", position, r.ID, r.State, len(r.Output), len(whole), r.Output == whole)
		switch {
		case r.State == "errored":
			breaches = append(breaches, fmt.Sprintf("MIXED: item %s is errored, and no worker has answered it with 422 or 500", r.ID))
		case r.Output != whole:
			breaches = append(breaches, fmt.Sprintf("MIXED: item %s is completed, and its text has %d of %d events", r.ID, got, events))
		}
	}
	return breaches, nil
}
