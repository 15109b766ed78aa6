package sidecar_test

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"dandelionrelay/standin/engine"
)

// Times of the stand-in engine's steps by default.
const (
	stepSlope       = 250 * time.Microsecond
	prefillPerToken = 20 * time.Microsecond
)

// stepLog keeps the steps of an engine.
type stepLog struct {
	mu    sync.Mutex
	steps []engine.Step
}

func (l *stepLog) add(s engine.Step) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.steps = append(l.steps, s)
}

func (l *stepLog) all() []engine.Step {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.steps)
}

// firstToken is the time to the first token of one online request.
type firstTokenSample struct {
	id   string
	sent time.Time
	time time.Duration
}

// parts break the time to the first token down by what it was spent on.
type latencyParts struct {
	total              time.Duration
	queue              time.Duration // until the engine had it: the sidecar, the cut of an item
	currentStep        time.Duration // rest of the step under way, without its batch
	currentStepBatch   time.Duration // ... more for the streams of batch in it
	currentStepPrefill time.Duration // ... more for the prompts of batch in it
	ownSteps           time.Duration // steps of its own, without their batch
	ownStepsBatch      time.Duration // ... more for the streams of batch in them
	ownStepsPrefill    time.Duration // ... more for the prompts of batch in them
}

// breakDown returns the parts of each request by the engine's steps.
func breakDownAll(requests []firstTokenSample, steps []engine.Step) []latencyParts {
	out := make([]latencyParts, 0, len(requests))
	for _, r := range requests {
		if p, ok := breakDownOne(r, steps); ok {
			out = append(out, p)
		}
	}
	return out
}

func breakDownOne(r firstTokenSample, steps []engine.Step) (latencyParts, bool) {
	end := r.sent.Add(r.time)
	p := latencyParts{total: r.time}
	i, _ := slices.BinarySearchFunc(steps, r.sent, func(s engine.Step, t time.Time) int { return s.Began.Compare(t) })
	var admitted time.Time
	for j := max(0, i-1); j < len(steps) && steps[j].Began.Before(end); j++ {
		s := steps[j]
		streams, prompts, mine := batchTime(s, r.id)
		left := min(s.Time, s.Began.Add(s.Time).Sub(r.sent))
		switch {
		case left <= 0:
			continue
		case mine:
			if admitted.IsZero() {
				admitted = s.Began
			}
			p.ownSteps += s.Time - streams - prompts
			p.ownStepsBatch += streams
			p.ownStepsPrefill += prompts
		case s.Began.After(r.sent):
			p.queue += s.Time // it could have been in this step
		default:
			part := float64(left) / float64(s.Time)
			p.currentStep += time.Duration(part * float64(s.Time-streams-prompts))
			p.currentStepBatch += time.Duration(part * float64(streams))
			p.currentStepPrefill += time.Duration(part * float64(prompts))
		}
	}
	return p, !admitted.IsZero()
}

// batchTime returns the time that a step takes more for batch, and whether the
// request is in it.
func batchTime(s engine.Step, id string) (streams, prompts time.Duration, mine bool) {
	for _, run := range s.Runs {
		mine = mine || run.ID == id
		if strings.HasPrefix(run.ID, "batch/") {
			streams += stepSlope
			prompts += time.Duration(run.Prefill) * prefillPerToken
		}
	}
	return streams, prompts, mine
}

// tailParts returns the mean parts of the requests around the 99th percentile,
// from the 98.5th to the 99.5th.
func tailParts(all []latencyParts) string {
	slices.SortFunc(all, func(a, b latencyParts) int { return cmp.Compare(a.total, b.total) })
	tail := all[len(all)*985/1000 : len(all)*995/1000]
	var sum latencyParts
	for _, p := range tail {
		sum.total += p.total
		sum.queue += p.queue
		sum.currentStep += p.currentStep
		sum.currentStepBatch += p.currentStepBatch
		sum.currentStepPrefill += p.currentStepPrefill
		sum.ownSteps += p.ownSteps
		sum.ownStepsBatch += p.ownStepsBatch
		sum.ownStepsPrefill += p.ownStepsPrefill
	}
	mean := func(d time.Duration) float64 { return ms(d) / float64(len(tail)) }
	return fmt.Sprintf("tail %.1f ms: queue and cut %.1f | step under way %.1f, batch streams %.1f, batch prompts %.1f | own steps %.1f, batch streams %.1f, batch prompts %.1f",
		mean(sum.total), mean(sum.queue), mean(sum.currentStep), mean(sum.currentStepBatch), mean(sum.currentStepPrefill),
		mean(sum.ownSteps), mean(sum.ownStepsBatch), mean(sum.ownStepsPrefill))
}
