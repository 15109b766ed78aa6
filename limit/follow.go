package limit

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// Timing and bounds of log and list reads.
const (
	longPollWait    = 300 * time.Millisecond // how long a read at the end of the log waits for records
	pollDelay       = 100 * time.Millisecond // between polls of the log
	platformTimeout = time.Second            // of one call to the platform
	maxReadRecords  = 256                    // records in one read
	listInterval    = 500 * time.Millisecond // between reads of the instance list
)

// follower replays the stream into the table and appends the claims that the
// table plans. It must be used by one goroutine only.
type follower struct {
	service    *Service
	nextOffset infra.Offset // of the next read; 0: start at the oldest record kept
	listedAt   time.Time    // when the instance list was last read
	planDue    bool         // the instance list was read, and no plan made since
}

func newFollower(s *Service) *follower { return &follower{service: s} }

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.refreshInstances(ctx)
		if err := f.poll(ctx); err != nil {
			f.service.table.LogFailed(time.Now())
		}
		sleep.For(ctx, pollDelay)
	}
}

// poll reads to the end of the log and appends what the table plans, if a plan
// is due.
func (f *follower) poll(ctx context.Context) error {
	if f.nextOffset == 0 {
		if err := f.startReplay(ctx); err != nil {
			return err
		}
	}
	if err := f.readToEnd(ctx); err != nil {
		return err
	}
	if !f.planDue {
		return nil
	}
	f.planDue = false
	return f.recordPlan(ctx)
}

// refreshInstances reads the instance list if listInterval has passed, or on
// each call if this entry is draining. A successful read makes a plan due.
func (f *follower) refreshInstances(ctx context.Context) {
	if !f.service.draining.Load() && time.Since(f.listedAt) < listInterval {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	list, err := f.service.Instances.List(ctx)
	if err != nil {
		return // the previous list stays: a failed read does not show that an entry has been removed
	}
	f.listedAt = time.Now()
	f.service.table.SetInstances(f.listedAt, list)
	f.planDue = true
}

// startReplay starts the replay at the oldest record kept.
func (f *follower) startReplay(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	oldest, _, err := f.service.Log.Bounds(ctx, Stream)
	if err != nil {
		return err
	}
	f.nextOffset = oldest
	f.service.table.StartReplay(time.Now(), oldest == 1)
	return nil
}

// readToEnd applies records until a read returns none, which confirms that the
// end of the log was reached.
func (f *follower) readToEnd(ctx context.Context) error {
	wait := longPollWait
	if f.service.draining.Load() {
		wait = 0
	}
	for {
		start := time.Now()
		records, err := f.readNext(ctx, wait)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			f.service.table.ConfirmRead(start, time.Now())
			return nil
		}
		wait = 0
		for _, r := range records {
			f.apply(r)
		}
	}
}

func (f *follower) readNext(ctx context.Context, wait time.Duration) ([]infra.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	records, err := f.service.Log.Read(ctx, Stream, f.nextOffset, maxReadRecords, wait)
	var expired *infra.ExpiredError
	if errors.As(err, &expired) {
		f.nextOffset = 0
	}
	return records, err
}

func (f *follower) apply(r infra.Record) {
	f.nextOffset = r.Offset + 1
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return // no entry can decode it, so that all of them skip it
	}
	f.service.table.Apply(time.Now(), record)
}

// recordPlan appends the claims that the table plans. If the response to
// the append is lost, the record is either read back or planned again.
func (f *follower) recordPlan(ctx context.Context) error {
	plan := f.service.table.Plan(time.Now(), f.service.draining.Load())
	plan.Takeovers = f.unreachable(ctx, plan.Takeovers)
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	r := prepareRecord(time.Now(), plan, f.service.table, f.service.granter)
	if len(r.Claims) == 0 {
		return nil
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	if _, err = f.service.Log.Append(ctx, Stream, uuid.NewString(), data); err != nil {
		return err
	}
	return f.readToEnd(ctx)
}

// unreachable returns the takeovers whose previous holder does not reply to
// Limit.Ping. A holder that replies is running, even if it is not listed.
func (f *follower) unreachable(ctx context.Context, takeovers []Takeover) []Takeover {
	alive := make(map[string]bool)
	var out []Takeover
	for _, t := range takeovers {
		replied, pinged := alive[t.PreviousAddr]
		if !pinged {
			replied = f.ping(ctx, t)
			alive[t.PreviousAddr] = replied
		}
		if !replied {
			out = append(out, t)
		}
	}
	return out
}

// ping reports whether the previous holder of t replies.
func (f *follower) ping(ctx context.Context, t Takeover) bool {
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	var reply PingReply
	err := f.service.Pool.Call(ctx, t.PreviousAddr, MethodPing, PingArgs{}, &reply)
	return err == nil && reply.ID == t.Previous
}

// prepareRecord closes the shares of the partitions to hand over and returns
// the record to append.
func prepareRecord(now time.Time, p Plan, table *Table, granter *Granter) *Record {
	r := &Record{Claims: p.Claims}
	for _, t := range p.Takeovers {
		r.Claims = append(r.Claims, t.Claim)
	}
	for _, h := range p.Handovers {
		tenure, epoch, ok := table.StartHandover(now, h.Partition)
		if !ok {
			continue
		}
		carry := granter.Close(now, h.Partition, tenure)
		r.Claims = append(r.Claims, Claim{
			Partition: h.Partition, Epoch: epoch + 1, Holder: h.To, Addr: h.Addr, Carry: carry,
		})
	}
	return r
}
