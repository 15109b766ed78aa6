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
	// callTimeout bounds each call of the engine and the platform.
	callTimeout = 2 * time.Second
	// readLimit is the number of records in one read of the log.
	readLimit = 512
)

// Runner carries out the steps of a Keeper.
type Runner struct {
	Endpoint string // instance id of the sidecar
	Engine   Engine
	Log      infra.Log
	Weights  infra.Weights
	// Target returns what the engine should serve now.
	Target func() Target
	// Leaving is closed once the sidecar may give no more orders.
	Leaving <-chan struct{}

	keeper Reconciler
}

// Run gives orders until ctx ends or the sidecar is leaving.
func (r *Runner) Run(ctx context.Context) {
	for ctx.Err() == nil && !r.isLeaving() {
		now := time.Now()
		r.keeper.SetTarget(now, r.Target())
		r.do(ctx, r.keeper.Next(now))
	}
}

func (r *Runner) isLeaving() bool {
	select {
	case <-r.Leaving:
		return true
	default:
		return false
	}
}

func (r *Runner) do(ctx context.Context, step Step) {
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

// sleep waits until t, but looks at the target every pollInterval.
func (r *Runner) sleep(ctx context.Context, t time.Time) {
	timer := time.NewTimer(min(time.Until(t), pollInterval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Leaving:
	case <-ctx.Done():
	}
}

func (r *Runner) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	state, err := r.Engine.State(ctx)
	if err != nil {
		r.fail(ctx)
		return
	}
	r.keeper.StateRead(asked, time.Now(), state)
}

func (r *Runner) send(ctx context.Context, o Order) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := r.Engine.Order(ctx, o)
	if errorx.IsOfType(err, Refused) {
		r.keeper.Refused(time.Now())
		return
	}
	r.keeper.Sent(time.Now())
}

// announce appends a record and works out when its order may be sent. If the
// answer is lost the next announcement has another id; the lost one delays the
// orders after it by one gap.
func (r *Runner) announce(ctx context.Context) {
	t := r.keeper.target
	data, err := json.Marshal(Announcement{Endpoint: r.Endpoint, Model: t.Model, Version: t.Version})
	if err != nil {
		r.fail(ctx)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	perMinute, err := r.Weights.LoadsPerMinute(ctx)
	if err != nil {
		r.fail(ctx)
		return
	}
	appended := time.Now()
	own, err := r.Log.Append(ctx, Stream, uuid.NewString(), data)
	if err != nil {
		r.fail(ctx)
		return
	}
	records, err := r.before(ctx, own)
	if err != nil {
		r.fail(ctx)
		return
	}
	// The record was stored after appended. Counting from now makes the order
	// late by the time that the reads took, which Lateness covers.
	if time.Since(appended) > MaxLateness/2 {
		r.fail(ctx)
		return
	}
	r.keeper.Announced(uint64(own), time.Now().Add(SendDelay(records, MinOrderInterval(perMinute))))
}

// before reads the announcements up to own.
func (r *Runner) before(ctx context.Context, own infra.Offset) ([]infra.Record, error) {
	oldest, _, err := r.Log.Bounds(ctx, Stream)
	if err != nil {
		return nil, err
	}
	from := oldest
	if own > MaxPriorAnnouncements && own-MaxPriorAnnouncements > from {
		from = own - MaxPriorAnnouncements
	}
	var records []infra.Record
	for from <= own {
		limit := min(readLimit, int(own-from)+1)
		part, err := r.Log.Read(ctx, Stream, from, limit, 0)
		if err != nil {
			return nil, err
		}
		if len(part) == 0 {
			return nil, infra.Unavailable.New("own announcement is not readable")
		}
		records = append(records, part...)
		from += infra.Offset(len(part))
	}
	return records, nil
}

// fail pauses after a failure.
func (r *Runner) fail(ctx context.Context) {
	now := time.Now()
	r.keeper.Failed(now)
	r.sleep(ctx, now.Add(pollInterval))
}
