package batch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/config"
	"dandelionrelay/eventstream"
	"dandelionrelay/placement"
	"dandelionrelay/quarantine"
	"dandelionrelay/upstream"
)

// Bounds of one run of an item.
const (
	// firstPatience is how long the begin of an answer is awaited; the
	// endpoint may have online requests in its queue.
	firstPatience = 4 * time.Second
	// eventPatience is how long the next event is awaited.
	eventPatience = 1500 * time.Millisecond
	// lostPause is the time before an item runs again after an endpoint was
	// lost; it doubles with each loss in a row.
	lostPause    = 50 * time.Millisecond
	maxLostPause = 2 * time.Second
	// avoidFor is for how long an item does not run where it failed: by then it
	// has run elsewhere if it can.
	avoidFor = 3 * time.Second
	// condemnedPause is the time between runs of an item that endpoints died of:
	// it may not be given up before its time, but does little harm so.
	condemnedPause = 15 * time.Second
	// contentTimeout bounds reading a body and storing an output.
	contentTimeout = 2 * time.Second
)

// outcome says how a run of an item ended.
type outcome string

// The outcomes of a run.
const (
	runCompleted outcome = "completed"
	runFailed    outcome = "failed"   // a failed attempt
	runHopeless  outcome = "hopeless" // no endpoint can do it
	runLost      outcome = "lost"     // the endpoint was lost; the item resumes
	runNot       outcome = "not_run"
	runYielded   outcome = "yielded"
)

// runItem runs an item once at the endpoint of grant.
func (r *runner) runItem(ctx context.Context, cancel context.CancelFunc, c candidate, route config.Route, grant *placement.Grant) {
	defer cancel()
	p := c.progress
	started := time.Now()
	from := p.events
	p.pace = eventstream.IntervalMeter{}
	end, result, err := r.exchange(ctx, c, grant)
	if ctx.Err() != nil && end != runCompleted {
		end, result = runYielded, placement.Aborted
	}
	grant.Release(r.Clock(), result, p.pace.Mean(minPaceEvents))
	r.Metrics.runs.WithLabelValues(string(end)).Inc()
	event := r.Log.Info().Str("job", c.job.ID).Str("request", c.job.Items[p.id.item].ID).Str("customer", c.job.Customer).
		Str("endpoint", grant.Endpoint.ID).Int("at_endpoint_online", grant.Load.Online).Int("at_endpoint_batch", grant.Load.Batch).
		Str("outcome", string(end)).Int("from_event", from).Int("events", p.events).Dur("took_ms", time.Since(started)).
		Dur("until_due_ms", time.Until(c.due))
	if err != nil {
		event = event.AnErr("cause", err)
	}
	event.Msg("item ran")
	if end == runLost && upstream.ClosedByEndpoint(err) {
		quarantine.Blame(r.Suspects, r.Pool, r.death(c, grant), grant.Endpoint.Address)
	}
	if end == runCompleted && !r.Suspects.Empty() {
		r.Suspects.Finished(r.digest(c))
	}
	if end == runFailed {
		p.avoid = avoided{endpoint: grant.Key(), until: r.Clock() + avoidFor}
	}
	r.settle(c, end, route)
	poke(r.wake)
}

// minPaceEvents is the number of events from which their pace tells something
// of the endpoint: an item often resumes for a few events only.
const minPaceEvents = 8

// settle decides what follows a run.
func (r *runner) settle(c candidate, end outcome, route config.Route) {
	p := c.progress
	r.mu.Lock()
	defer r.mu.Unlock()
	p.cancel = nil
	p.phase = waiting
	switch end {
	case runCompleted:
		p.phase = ended
		p.result = Result{State: Completed}
	case runHopeless:
		p.phase = ended
		p.result = Result{State: Errored, Reason: "endpoints can't do it"}
	case runFailed:
		p.failures++
		p.forget()
		if p.failures >= route.Provided.Batch.Attempts {
			p.phase = ended
			p.result = Result{State: Errored, Reason: "all attempts failed"}
		}
	case runLost:
		p.notUntil = r.Clock() + r.lostPause(c)
		p.lost++
	case runNot:
		p.notUntil = r.Clock() + lostPause
	}
	if p.phase == ended {
		poke(r.done)
	}
}

// lostPause returns how long an item waits whose endpoint was lost.
func (r *runner) lostPause(c candidate) time.Duration {
	if !r.Suspects.Empty() && r.Suspects.Verdict(r.digest(c), c.job.Customer) == quarantine.Quarantined {
		return condemnedPause
	}
	return min(lostPause<<min(c.lost, 6), maxLostPause)
}

// digest returns the digest of an item. Ids of items are never used twice.
func (r *runner) digest(c candidate) quarantine.Digest {
	item := c.job.Items[c.id.item]
	return quarantine.DigestOf(c.job.Customer, c.job.ID, []byte(item.ID))
}

func (r *runner) death(c candidate, grant *placement.Grant) quarantine.Death {
	return quarantine.Death{
		Digest:   r.digest(c),
		Customer: c.job.Customer,
		Request:  c.job.Items[c.id.item].ID,
		Endpoint: grant.Endpoint.ID,
	}
}

// exchange sends an item to the endpoint of grant and collects its output.
func (r *runner) exchange(ctx context.Context, c candidate, grant *placement.Grant) (outcome, placement.Result, error) {
	request, err := r.request(ctx, c, grant)
	if err != nil {
		return runNot, placement.Aborted, err
	}
	x, err := r.Pool.Do(ctx, grant.Endpoint.Address, request, time.Now().Add(firstPatience))
	if errorx.IsOfType(err, upstream.NotSent) {
		r.Pool.CloseIdle(grant.Endpoint.Address)
		return runNot, placement.Failed, err
	}
	if err != nil {
		return runLost, placement.Failed, err
	}
	switch a := x.Response; {
	case r.Dialect.Elsewhere(a):
		return r.refused(x, runNot, placement.Replaced)
	case r.Dialect.NotRun(a):
		return r.refused(x, runNot, placement.Full)
	case a.StatusCode == http.StatusUnprocessableEntity:
		return r.refused(x, runHopeless, placement.Done)
	case a.StatusCode == http.StatusInternalServerError:
		return r.refused(x, runFailed, placement.ErrorResponse)
	case a.StatusCode != http.StatusOK || !r.Dialect.Vouched(a):
		x.Close()
		return runLost, placement.ErrorResponse, errorx.ExternalError.New("status %d", a.StatusCode)
	}
	return r.collect(c.progress, x)
}

// refused reads the rest of a short answer.
func (r *runner) refused(x *upstream.Exchange, end outcome, result placement.Result) (outcome, placement.Result, error) {
	status := x.Response.StatusCode
	if _, err := x.ReadAll(time.Now().Add(eventPatience)); err != nil {
		return runLost, placement.Failed, err
	}
	return end, result, errorx.ExternalError.New("status %d", status)
}

// request returns what an endpoint is sent for an item.
func (r *runner) request(ctx context.Context, c candidate, grant *placement.Grant) (*upstream.Request, error) {
	ctx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	item := c.job.Items[c.id.item]
	stored, err := r.contents.request(ctx, item.Ref)
	if err != nil {
		return nil, err
	}
	sent := make(http.Header, len(stored.Header))
	for name, value := range stored.Header {
		sent.Set(name, value)
	}
	h := upstream.HeaderFor(sent, r.Dialect, upstream.RequestMetadata{
		Request:   item.ID,
		Endpoint:  grant.Endpoint.ID,
		Customer:  c.job.Customer,
		Resume:    c.cursor.HasID,
		LastEvent: c.cursor.LastID,
	})
	return &upstream.Request{
		Method: http.MethodPost,
		URI:    stored.Path,
		Host:   c.job.Host,
		Header: h,
		Body:   stored.Body,
		ID:     item.ID,
	}, nil
}

// collect adds the events of an answer to the item's output.
func (r *runner) collect(p *progress, x *upstream.Exchange) (outcome, placement.Result, error) {
	reader := eventstream.NewReader(x.Response.Body)
	for n := 0; ; n++ {
		patience := eventPatience
		if n == 0 {
			patience = firstPatience
		}
		x.SetReadDeadline(time.Now().Add(patience))
		e, err := reader.Next()
		if err == io.EOF && p.events > 0 {
			x.Finish()
			return runCompleted, placement.Done, nil
		}
		if err != nil {
			x.Close()
			return runLost, placement.Failed, err
		}
		if p.cursor.IsDuplicate(e) {
			continue
		}
		if p.cursor.HasGap(e) {
			x.Close()
			return runLost, placement.Done, errorx.IllegalState.New("event %d came after event %d", e.ID, p.cursor.LastID)
		}
		p.add(e)
	}
}

// add appends the data of an event.
func (p *progress) add(e eventstream.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.events > 0 {
		p.output = append(p.output, '\n')
	}
	p.output = e.AppendData(p.output)
	p.events++
	p.lost = 0
	p.pace.Observe()
	p.cursor.Advance(e)
}
