package order

import (
	"context"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/joomcode/errorx"

	"dandelionrelay/infra"
)

const (
	// callTimeout bounds each read, announcement and order.
	callTimeout = 2 * time.Second
	// maxReadRecords is the maximum number of records in one read of the log.
	maxReadRecords = 512
)

// Runner carries out the steps of a Reconciler.
type Runner struct {
	Endpoint string // instance ID of the sidecar
	Engine   Engine
	Log      infra.Log
	Weights  infra.Weights
	// Target returns what the engine should serve now.
	Target func() Target
	// Draining is closed once the sidecar may send no more orders.
	Draining <-chan struct{}

	reconciler Reconciler
}

// Run sends orders until ctx ends or Draining is closed.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil && !r.isDraining() {
		now := time.Now()
		r.reconciler.SetTarget(now, r.Target())
		r.execute(ctx, r.reconciler.Next(now))
	}
}

func (r *Runner) isDraining() bool {
	select {
	case <-r.Draining:
		return true
	default:
		return false
	}
}

func (r *Runner) execute(ctx context.Context, step Step) {
	switch step.Action {
	case Sleep:
		r.sleep(ctx, step.Until)
	case Read:
		r.read(ctx)
	case Announce:
		r.announce(ctx)
	case Send:
		r.send(ctx, step.Order)
	}
}

// sleep waits until t, but at most pollInterval, so that a change of the target
// is noticed.
func (r *Runner) sleep(ctx context.Context, t time.Time) {
	timer := time.NewTimer(min(time.Until(t), pollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Draining:
	case <-ctx.Done():
	}
}

func (r *Runner) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	requestedAt := time.Now()
	state, err := r.Engine.State(ctx)
	if err != nil {
		r.handleFailure(ctx)
		return
	}
	r.reconciler.StateRead(requestedAt, time.Now(), state)
}

func (r *Runner) send(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Engine.Order(ctx, o)
	if errorx.IsOfType(err, Refused) {
		r.reconciler.Refused(time.Now())
		return
	}
	r.reconciler.Sent(time.Now())
}

// announce appends an announcement and computes when its order may be sent. If
// the response to the append is lost, the next announcement has another ID; the
// lost one delays the orders after it by one interval.
func (r *Runner) announce(ctx context.Context) {
	t := r.reconciler.target
	data, err := json.Marshal(Announcement{Endpoint: r.Endpoint, Model: t.Model, Version: t.Version})
	if err != nil {
		r.handleFailure(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	perMinute, err := r.Weights.LoadsPerMinute(ctx)
	if err != nil {
		r.handleFailure(ctx)
		return
	}
	appendStart := time.Now()
	offset, err := r.Log.Append(ctx, Stream, uuid.NewString(), data)
	if err != nil {
		r.handleFailure(ctx)
		return
	}
	records, err := r.announcementsUpTo(ctx, offset)
	if err != nil {
		r.handleFailure(ctx)
		return
	}
	// The record was stored after appendStart. Counting from now makes the order
	// late by the time that the append and the reads took, which MaxLateness covers.
	if time.Since(appendStart) > MaxLateness/2 {
		r.handleFailure(ctx)
		return
	}
	r.reconciler.Announced(uint64(offset), time.Now().Add(SendDelay(records, MinOrderInterval(perMinute))))
}

// announcementsUpTo reads the announcement at offset last and up to
// MaxPriorAnnouncements before it.
func (r *Runner) announcementsUpTo(ctx context.Context, last infra.Offset) ([]infra.Record, error) {
	oldest, _, err := r.Log.Bounds(ctx, Stream)
	if err != nil {
		return nil, err
	}
	from := oldest
	if last > MaxPriorAnnouncements && last-MaxPriorAnnouncements > from {
		from = last - MaxPriorAnnouncements
	}
	var records []infra.Record
	for from <= last {
		limit := min(maxReadRecords, int(last-from)+1)
		page, err := r.Log.Read(ctx, Stream, from, limit, 0)
		if err != nil {
			return nil, err
		}
		if len(page) == 0 {
			return nil, infra.Unavailable.New("read of own announcement at offset %d returned no records from offset %d on", last, from)
		}
		records = append(records, page...)
		from += infra.Offset(len(page))
	}
	return records, nil
}

// handleFailure records a failure and waits for pollInterval.
func (r *Runner) handleFailure(ctx context.Context) {
	now := time.Now()
	r.reconciler.Failed(now)
	r.sleep(ctx, now.Add(pollInterval))
}
