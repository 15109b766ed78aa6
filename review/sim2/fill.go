//go:build review

package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

// Sizes of contentsDown. All outputs together take 178 MB, and the store holds 400 MB.
const (
	fillWorkers    = 12
	fillJobs       = 240 // of all customers
	fillItems      = 10  // of a job
	fillEvents     = 232
	fillEventBytes = 320
	maxFillOutages = 4 // on a slow machine; two suffice on the one of the sitting
	fillOutage     = 9 * time.Second
	fillPause      = 3 * time.Second
	fillPartition  = 2                // of the topic of contents
	completion     = 18 * time.Second // completionS
)

// contentsDown takes one of the partitions in which outputs are stored down while items run, and
// up again, until the store is full.
func contentsDown(c *cluster, trouble bool) ([]string, error) {
	c.configure(1)
	if err := c.startWorkers(fillWorkers, workerSettings{Slots: 8, Events: fillEvents, EventMs: 4, EventBytes: fillEventBytes}); err != nil {
		return nil, err
	}
	if err := c.startGateways(7); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	if err := c.submitMany(); err != nil {
		return nil, err
	}
	for outage := 0; outage < maxFillOutages && !c.full(); outage++ {
		if trouble {
			partition := fmt.Sprintf("%s/%d", names.Topics.Contents, fillPartition)
			c.store.setDown(partition)
			c.note("partition %s of the store is down (503); all others are up", partition)
		}
		c.watchFill(fillOutage)
		c.store.setDown("")
		c.note("the whole store is up")
		time.Sleep(fillPause)
	}
	for end := time.Now().Add(completion); time.Now().Before(end); time.Sleep(3 * time.Second) {
		c.noteFill()
	}
	if !c.awaitQuiet() {
		return nil, errors.New("the workers were still at work")
	}
	return c.checkListed()
}

// checkListed reads all jobs and returns those that are not listed whole.
func (c *cluster) checkListed() ([]string, error) {
	var mu sync.Mutex
	listed, whole := 0, 0
	var breaches []string
	var done sync.WaitGroup
	for _, t := range customers {
		for i := range fillJobs / len(customers) {
			done.Add(1)
			go func() {
				defer done.Done()
				results := c.readAll(t, jobID(t, i), fillItems, 3*time.Second)
				mu.Lock()
				defer mu.Unlock()
				listed += len(results)
				for _, r := range results {
					if r.State == "completed" && r.Output == wholeOutput(r.ID, fillEvents, fillEventBytes) {
						whole++
					}
				}
				if len(results) < fillItems {
					breaches = append(breaches, fmt.Sprintf("LOST: of batch job %s %d of %d items are listed %s after the store was up again", jobID(t, i), len(results), fillItems, completion))
				}
			}()
		}
	}
	done.Wait()
	c.noteRetries()
	c.note("%d of %d items are listed, %d of them whole", listed, fillJobs*fillItems, whole)
	return breaches, nil
}

func jobID(t customer, i int) string { return fmt.Sprintf("%s%06x%04x", t.name, 0xb52d6a, i) }

// submitMany submits the batch jobs of all customers.
func (c *cluster) submitMany() error {
	for i := range fillJobs / len(customers) {
		for _, t := range customers {
			if _, err := c.submit(t, jobID(t, i), fillItems, 400); err != nil {
				return err
			}
		}
	}
	return nil
}

// watchFill notes how full the store is, for some time or until it refuses appends.
func (c *cluster) watchFill(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && !c.full(); time.Sleep(time.Second) {
		c.noteFill()
	}
}

// full reports whether the store has refused an append with 507.
func (c *cluster) full() bool {
	_, refused := c.store.fill()
	return refused > 0
}

// noteFill notes how full the store is.
func (c *cluster) noteFill() {
	stored, refused := c.store.fill()
	c.note("the store keeps %d MB and has refused %d appends with 507; workers have begun %d runs", stored/1e6, refused, c.runsBegun())
}
