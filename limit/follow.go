package limit

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"

	"dandelionrelay/infra"
	"dandelionrelay/sleep"
)

// Times and bounds of following the log.
const (
	pollWait    = 300 * time.Millisecond // of one read at the end of the log
	pollPause   = 100 * time.Millisecond // between reads that reached the end
	callTimeout = time.Second            // of one call to the platform
	readLimit   = 256                    // records in one read
	listEvery   = 500 * time.Millisecond // between reads of the instance list
)

// follower replays the stream into the table and records what the table
// plans. It belongs to one goroutine.
type follower struct {
	s      *Service
	next   infra.Offset // 0: to be looked up
	listed time.Time    // when the list was last read
	due    bool         // the list was read, and nothing planned since
}

func newFollower(s *Service) *follower { return &follower{s: s} }

func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		f.list(ctx)
		if err := f.round(ctx); err != nil {
			f.s.table.ReadFailed(time.Now())
		}
		sleep.For(ctx, pollPause)
	}
}

// round reads to the end of the log and records what is due.
func (f *follower) round(ctx context.Context) error {
	if f.next == 0 {
		if err := f.locate(ctx); err != nil {
			return err
		}
	}
	if err := f.read(ctx); err != nil {
		return err
	}
	if !f.due {
		return nil
	}
	f.due = false
	return f.record(ctx)
}

// list reads the platform's list when it is time to, after which what is
// planned is due to be recorded.
func (f *follower) list(ctx context.Context) {
	if !f.s.leaving.Load() && time.Since(f.listed) < listEvery {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := f.s.Instances.List(ctx)
	if err != nil {
		return // nobody is known to be gone
	}
	f.listed = time.Now()
	f.s.table.SetInstances(f.listed, list)
	f.due = true
}

// locate starts the replay at the oldest record kept.
func (f *follower) locate(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	oldest, _, err := f.s.Log.Bounds(ctx, Stream)
	if err != nil {
		return err
	}
	f.next = oldest
	f.s.table.StartReplay(time.Now(), oldest == 1)
	return nil
}

// read applies records until a read finds none, which confirms that the end
// was reached.
func (f *follower) read(ctx context.Context) error {
	wait := pollWait
	if f.s.leaving.Load() {
		wait = 0
	}
	for {
		start := time.Now()
		records, err := f.readOnce(ctx, wait)
		if err != nil {
			return err
		}
		if len(records) == 0 {
			f.s.table.ConfirmRead(start, time.Now())
			return nil
		}
		wait = 0
		for _, r := range records {
			f.apply(r)
		}
	}
}

func (f *follower) readOnce(ctx context.Context, wait time.Duration) ([]infra.Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	records, err := f.s.Log.Read(ctx, Stream, f.next, readLimit, wait)
	var expired *infra.ExpiredError
	if errors.As(err, &expired) {
		f.next = 0
	}
	return records, err
}

func (f *follower) apply(r infra.Record) {
	f.next = r.Offset + 1
	record, err := DecodeRecord(r.Data)
	if err != nil {
		return // nobody can read it: all readers pass over it alike
	}
	f.s.table.Apply(time.Now(), record)
}

// record appends what the table plans. A lost answer needs no care: the
// record is read back, or planned again.
func (f *follower) record(ctx context.Context) error {
	plan := f.s.table.Plan(time.Now(), f.s.leaving.Load())
	plan.Takeovers = f.unanswered(ctx, plan.Takeovers)
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r := prepare(time.Now(), plan, f.s.table, f.s.minter)
	if len(r.Claims) == 0 {
		return nil
	}
	data, err := r.Encode()
	if err != nil {
		return err
	}
	if _, err = f.s.Log.Append(ctx, Stream, uuid.NewString(), data); err != nil {
		return err
	}
	return f.read(ctx)
}

// unanswered returns the takeovers whose previous holder does not answer. One
// that does is alive, whatever the list says.
func (f *follower) unanswered(ctx context.Context, takeovers []Takeover) []Takeover {
	alive := make(map[string]bool)
	var out []Takeover
	for _, t := range takeovers {
		answered, asked := alive[t.PreviousAddr]
		if !asked {
			answered = f.ping(ctx, t)
			alive[t.PreviousAddr] = answered
		}
		if !answered {
			out = append(out, t)
		}
	}
	return out
}

func (f *follower) ping(ctx context.Context, t Takeover) bool {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var reply PingReply
	err := f.s.Pool.Call(ctx, t.PreviousAddr, MethodPing, PingArgs{}, &reply)
	return err == nil && reply.ID == t.Previous
}

// prepare closes the shares that are to be handed over and returns the record.
func prepare(now time.Time, p Plan, table *Table, minter *Granter) *Record {
	r := &Record{Claims: p.Claims}
	for _, t := range p.Takeovers {
		r.Claims = append(r.Claims, t.Claim)
	}
	for _, h := range p.Handovers {
		tenure, epoch, ok := table.StartHandover(now, h.Partition)
		if !ok {
			continue
		}
		carry := minter.Close(now, h.Partition, tenure)
		r.Claims = append(r.Claims, Claim{
			Partition: h.Partition, Epoch: epoch + 1, Holder: h.To, Addr: h.Addr, Carry: carry,
		})
	}
	return r
}
