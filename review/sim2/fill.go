//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"
)

// Sizes of contentsDown. The batch jobs come at six times the rate of the sheet, as in the burst of
// the site file, and have the sheet's number of items and events. Events have up to 360 bytes in
// the site file.
const (
	fillWorkers    = 12
	fillInterval   = time.Second * 1000 / 4116 // between two batch jobs: 6 x 0.686 a second
	fillItems      = 10                        // of a job
	fillEvents     = 232
	fillEventBytes = 360
	fillEventMs    = 10
	fillLead       = 8 * time.Second
	maxFillOutage  = 30 * time.Second // the outage ends as the store is full
	fillPartition  = 2                // of the topic of contents
	completion     = 18 * time.Second // completionS
)

// acceptedJobs holds the batch jobs that were accepted.
type acceptedJobs struct {
	mu   sync.Mutex
	list []acceptedJob
}

type acceptedJob struct {
	customer customer
	id       string
}

// contentsDown takes one of the partitions in which outputs are stored down while items run, and
// up again.
func contentsDown(c *cluster, trouble bool) ([]string, error) {
	c.configure(1)
	if err := c.startWorkers(fillWorkers, workerSettings{Slots: 8, Events: fillEvents, EventMs: fillEventMs, EventBytes: fillEventBytes}); err != nil {
		return nil, err
	}
	if err := c.startGateways(7); err != nil {
		return nil, err
	}
	if err := c.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(3 * time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	var jobs acceptedJobs
	var submitter sync.WaitGroup
	submitter.Add(1)
	go func() {
		defer submitter.Done()
		c.submitAtRate(ctx, &jobs)
	}()
	time.Sleep(fillLead)
	if trouble {
		partition := fmt.Sprintf("%s/%d", names.Topics.Contents, fillPartition)
		c.store.setDown(partition)
		c.note("partition %s of the store is down (503); all others are up", partition)
	}
	c.watchFill(maxFillOutage)
	c.store.setDown("")
	c.note("the whole store is up")
	cancel()
	submitter.Wait()
	c.note("%d batch jobs were accepted", len(jobs.list))
	for end := time.Now().Add(completion); time.Now().Before(end); time.Sleep(3 * time.Second) {
		c.noteFill()
	}
	if !c.awaitQuiet() {
		return nil, errors.New("the workers were still at work")
	}
	return c.checkListed(jobs.list)
}

// checkListed reads all batch jobs and returns those that are not listed whole.
func (c *cluster) checkListed(jobs []acceptedJob) ([]string, error) {
	var mu sync.Mutex
	listed, whole := 0, 0
	var breaches []string
	var done sync.WaitGroup
	for _, job := range jobs {
		done.Add(1)
		go func() {
			defer done.Done()
			results := c.readAll(job.customer, job.id, fillItems, 3*time.Second)
			mu.Lock()
			defer mu.Unlock()
			listed += len(results)
			for _, r := range results {
				if r.State == "completed" && r.Output == wholeOutput(r.ID, fillEvents, fillEventBytes) {
					whole++
				}
			}
			if len(results) < fillItems {
				breaches = append(breaches, fmt.Sprintf("LOST: of batch job %s %d of %d items are listed, over %s after the store was up again", job.id, len(results), fillItems, completion))
			}
		}()
	}
	done.Wait()
	c.noteRetries()
	c.note("%d of %d items are listed, %d of them whole", listed, len(jobs)*fillItems, whole)
	return breaches, nil
}

// submitAtRate submits a batch job every fillInterval, the customers in turn, until ctx ends.
func (c *cluster) submitAtRate(ctx context.Context, jobs *acceptedJobs) {
	var under sync.WaitGroup
	defer under.Wait()
	tick := time.NewTicker(fillInterval)
	defer tick.Stop()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		t := customers[i%len(customers)]
		under.Add(1)
		go func() {
			defer under.Done()
			if _, err := c.submit(t, jobID(t, i), fillItems, 400); err == nil {
				jobs.mu.Lock()
				jobs.list = append(jobs.list, acceptedJob{t, jobID(t, i)})
				jobs.mu.Unlock()
			}
		}()
	}
}

func jobID(t customer, i int) string { return fmt.Sprintf("%s%06x%04x", t.name, 0xb52d6a, i) }

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
