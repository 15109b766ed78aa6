//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Sizes of manyResults. The index record of a result takes 160 bytes, and the records of one
// call to the store 2 MB at most (callBytes).
const (
	manyJobs   = 90 // of three customers
	manyItems  = 200
	manyTokens = 100 // of an item
	manyEvents = 1
	manyOutage = 9 * time.Second
	allParts   = "*"
)

// manyResults takes the whole store down while short items run, and up again. All batch jobs
// come from one client, whose connections the platform forwards to one gateway.
func manyResults(c *cluster, trouble bool) ([]string, error) {
	c.configure(1)
	if err := c.startWorkers(fillWorkers, workerSettings{Slots: 8, Events: manyEvents, EventMs: 3}); err != nil {
		return nil, err
	}
	if err := c.startGateways(3); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if err := c.submitShort(); err != nil {
		return nil, err
	}
	if trouble {
		c.store.setDown(allParts)
		c.note("the store is down (503)")
	}
	for end := time.Now().Add(manyOutage); time.Now().Before(end); time.Sleep(time.Second) {
		c.note("workers have begun %d runs", c.runsBegun())
	}
	c.store.setDown("")
	c.note("the store is up")
	time.Sleep(completion)
	if !c.awaitQuiet() {
		return nil, errors.New("the workers were still at work")
	}
	c.note("workers have begun %d runs", c.runsBegun())
	c.noteRetries()
	return c.checkShort()
}

// submitShort submits the batch jobs, eight at a time.
func (c *cluster) submitShort() error {
	var jobs sync.WaitGroup
	var mu sync.Mutex
	var failure error
	gate := make(chan struct{}, 8)
	for i := range manyJobs {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			gate <- struct{}{}
			defer func() { <-gate }()
			if _, err := c.submitTo(0, customers[i%3], jobID(customers[i%3], i), manyItems, manyTokens-10, 10); err != nil {
				mu.Lock()
				failure = err
				mu.Unlock()
			}
		}()
	}
	jobs.Wait()
	return failure
}

// checkShort reads all batch jobs at the same time and counts the items that are listed.
func (c *cluster) checkShort() ([]string, error) {
	var jobs sync.WaitGroup
	var mu sync.Mutex
	listed := 0
	for i := range manyJobs {
		jobs.Add(1)
		go func() {
			defer jobs.Done()
			results := c.readAll(customers[i%3], jobID(customers[i%3], i), manyItems, 5*time.Second)
			mu.Lock()
			listed += len(results)
			mu.Unlock()
		}()
	}
	jobs.Wait()
	if listed < manyJobs*manyItems {
		return []string{fmt.Sprintf("LOST: %d of %d items are listed %s after the store was up again", listed, manyJobs*manyItems, completion)}, nil
	}
	c.note("all %d items are listed", listed)
	return nil, nil
}
