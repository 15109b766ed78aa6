package sidecar_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"dandelionrelay/standin/engine"
)

// workload is an open-loop run of online requests and batch items at one sidecar.
type workload struct {
	*fixture
	engine    *engine.Engine
	steps     stepLog
	rnd       *rand.Rand
	burstRate float64 // online requests per second in a burst
	mu        sync.Mutex
	measurements
	group sync.WaitGroup
}

// nextArrival returns the time until the next online request is sent, given the
// time elapsed since the start.
func (w *workload) nextArrival(elapsed time.Duration) time.Duration {
	rate := quietRate
	if elapsed%burstInterval < burstLength {
		rate = w.burstRate
	}
	return time.Duration(w.rnd.ExpFloat64() / rate * float64(time.Second))
}

// send sends one streamed request and, unless it is of the batch customer
// "ledger", records its time to first byte and its token gaps. It returns whether
// the complete response was received.
func (w *workload) send(ctx context.Context, id, customer string, tokens int) (ok bool) {
	body := streamed(chat("question "+id+strings.Repeat(" seed", 60), tokens))
	start := time.Now()
	resp, err := w.do(ctx, call{id: id, customer: customer, body: body})
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode != 200 {
		return false
	}
	r := bufio.NewReader(resp.Body)
	if _, err := r.ReadString('\n'); err != nil {
		return false
	}
	first := time.Since(start)
	gaps, ok := tokenGaps(r)
	if ok && customer != "ledger" {
		w.mu.Lock()
		w.perRequest = append(w.perRequest, firstTokenSample{id: id, sent: start, time: first})
		w.gaps = append(w.gaps, gaps...)
		w.onlineTokenCount += tokens
		w.mu.Unlock()
	}
	return ok
}

// tokenGaps reads the rest of a streamed response and returns the times between
// its tokens, and whether the response was complete.
func tokenGaps(r *bufio.Reader) (gaps []time.Duration, ok bool) {
	last := time.Now()
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return gaps, err == io.EOF
		}
		if !strings.HasPrefix(line, "data: {") {
			continue
		}
		now := time.Now()
		gaps = append(gaps, now.Sub(last))
		last = now
	}
}

// sendOnline sends online requests for measureDuration.
func (w *workload) sendOnline() {
	start := time.Now()
	for i := 0; time.Since(start) < measureDuration; i++ {
		w.group.Go(func() {
			if !w.send(w.t.Context(), fmt.Sprint("r", i), fmt.Sprint("c", i%8), onlineTokens) {
				w.mu.Lock()
				w.refused++
				w.mu.Unlock()
			}
		})
		time.Sleep(w.nextArrival(time.Since(start)))
	}
}

// sendBatchOnline sends batch items as online requests until ctx ends, two in
// flight for each slot.
func (w *workload) sendBatchOnline(ctx context.Context) {
	for sender := range 2 * measureSlots {
		w.group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				w.send(ctx, fmt.Sprintf("b%d-%d", sender, i), "ledger", batchTokens)
			}
		})
	}
}

// sampleSlots samples until ctx ends, and sums up the slots that online requests
// leave idle and those of them that batch uses.
func (w *workload) sampleSlots(ctx context.Context) {
	idle, used := 0, 0
	for ctx.Err() == nil {
		online, batch := w.sidecar.Load()
		idle += measureSlots - online
		used += min(batch, measureSlots-online)
		time.Sleep(sampleInterval)
	}
	w.idleSamples, w.usedSamples = idle, used
}
