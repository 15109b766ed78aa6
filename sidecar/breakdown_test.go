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

// Default step times of the stand-in engine: stepPerSequence for each stream in a
// step, prefillPerToken for each token of a prompt that is processed.
const (
	stepPerSequence = 250 * time.Microsecond
	prefillPerToken = 20 * time.Microsecond
)

// stepLog records the steps of an engine.
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

// firstTokenSample is the time to first token of one online request.
type firstTokenSample struct {
	id   string
	sent time.Time
	time time.Duration
}

// latencyParts breaks down the time to first token of a request, or sums of such
// times.
type latencyParts struct {
	total              time.Duration
	queue              time.Duration // until the engine admits the request: queueing at the sidecar and preemption of an item
	currentStep        time.Duration // rest of the step that runs when the request is sent, without the time for batch
	currentStepBatch   time.Duration // additional time of that step for batch streams
	currentStepPrefill time.Duration // additional time of that step for batch prompts
	ownSteps           time.Duration // steps that include the request, without the time for batch
	ownStepsBatch      time.Duration // additional time of these steps for batch streams
	ownStepsPrefill    time.Duration // additional time of these steps for batch prompts
}

// breakDownAll breaks down the latency of each request by the engine's steps. It
// omits requests that are in none of the steps.
func breakDownAll(requests []firstTokenSample, steps []engine.Step) []latencyParts {
	out := make([]latencyParts, 0, len(requests))
	for _, r := range requests {
		if p, ok := breakDownOne(r, steps); ok {
			out = append(out, p)
		}
	}
	return out
}

// breakDownOne breaks down the latency of one request. It returns false if the
// request is in none of the steps.
func breakDownOne(r firstTokenSample, steps []engine.Step) (latencyParts, bool) {
	end := r.sent.Add(r.time)
	p := latencyParts{total: r.time}
	i, _ := slices.BinarySearchFunc(steps, r.sent, func(s engine.Step, t time.Time) int { return s.Began.Compare(t) })
	var admitted time.Time
	for j := max(0, i-1); j < len(steps) && steps[j].Began.Before(end); j++ {
		s := steps[j]
		streams, prompts, included := batchTime(s, r.id)
		remaining := min(s.Duration, s.Began.Add(s.Duration).Sub(r.sent))
		switch {
		case remaining <= 0:
			continue
		case included:
			if admitted.IsZero() {
				admitted = s.Began
			}
			p.ownSteps += s.Duration - streams - prompts
			p.ownStepsBatch += streams
			p.ownStepsPrefill += prompts
		case s.Began.After(r.sent):
			p.queue += s.Duration // a step that started without the request
		default:
			part := float64(remaining) / float64(s.Duration)
			p.currentStep += time.Duration(part * float64(s.Duration-streams-prompts))
			p.currentStepBatch += time.Duration(part * float64(streams))
			p.currentStepPrefill += time.Duration(part * float64(prompts))
		}
	}
	return p, !admitted.IsZero()
}

// batchTime returns the additional time of a step for batch streams and batch
// prompts, and whether the step includes the request with the given ID.
func batchTime(s engine.Step, id string) (streams, prompts time.Duration, included bool) {
	for _, seq := range s.Sequences {
		included = included || seq.ID == id
		if strings.HasPrefix(seq.ID, "batch/") {
			streams += stepPerSequence
			prompts += time.Duration(seq.Prefill) * prefillPerToken
		}
	}
	return streams, prompts, included
}

// tailParts formats the mean latencyParts of the requests around the 99th
// percentile, from the 98.5th to the 99.5th.
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
	return fmt.Sprintf("tail %.1f ms: queue and preemption %.1f | current step %.1f, batch streams %.1f, batch prompts %.1f | own steps %.1f, batch streams %.1f, batch prompts %.1f",
		mean(sum.total), mean(sum.queue), mean(sum.currentStep), mean(sum.currentStepBatch), mean(sum.currentStepPrefill),
		mean(sum.ownSteps), mean(sum.ownStepsBatch), mean(sum.ownStepsPrefill))
}
