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

// load is an open-loop run of the workload.
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

// next returns the time to the next online arrival, at elapsed.
func (l *workload) nextArrival(elapsed time.Duration) time.Duration {
	rate := quietRate
	if elapsed%burstInterval < burstLength {
		rate = l.burstRate
	}
	return time.Duration(l.rnd.ExpFloat64() / rate * float64(time.Second))
}

// send makes one streamed request and notes the time to its first byte.
func (l *workload) send(ctx context.Context, id, customer string, tokens int) (ok bool) {
	body := streamed(chat("question "+id+strings.Repeat(" seed", 60), tokens))
	start := time.Now()
	resp, err := l.do(ctx, call{id: id, customer: customer, body: body})
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
		l.mu.Lock()
		l.perRequest = append(l.perRequest, firstTokenSample{id: id, sent: start, time: first})
		l.gaps = append(l.gaps, gaps...)
		l.onlineTokenCount += tokens
		l.mu.Unlock()
	}
	return ok
}

// tokenGaps reads the rest of an answer and returns the times between its
// tokens.
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

// onlineLoad sends online requests for the time of the measurement.
func (l *workload) sendOnline() {
	start := time.Now()
	for i := 0; time.Since(start) < measureDuration; i++ {
		l.group.Go(func() {
			if !l.send(l.t.Context(), fmt.Sprint("r", i), fmt.Sprint("c", i%8), onlineTokens) {
				l.mu.Lock()
				l.refused++
				l.mu.Unlock()
			}
		})
		time.Sleep(l.nextArrival(time.Since(start)))
	}
}

// batchThrough keeps twice the slots of items in the online queue.
func (l *workload) sendBatchOnline(ctx context.Context) {
	for w := range 2 * measureSlots {
		l.group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.send(ctx, fmt.Sprintf("b%d-%d", w, i), "ledger", batchTokens)
			}
		})
	}
}

// sample adds up the slots that online requests leave and that batch uses.
func (l *workload) sampleSlots(ctx context.Context) {
	idle, used := 0, 0
	for ctx.Err() == nil {
		online, batch := l.sidecar.Load()
		idle += measureSlots - online
		used += min(batch, measureSlots-online)
		time.Sleep(sampleInterval)
	}
	l.idleSamples, l.usedSamples = idle, used
}
