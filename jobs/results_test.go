package jobs

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"dandelionrelay/config"
	"dandelionrelay/infra"
	"dandelionrelay/membership"
	standin "dandelionrelay/standin/platform"
)

// laggingLog returns no records from Read while paused is set.
type laggingLog struct {
	*standin.Log
	paused atomic.Bool
}

func (l *laggingLog) Read(ctx context.Context, stream string, from infra.Offset, limit int, wait time.Duration) ([]infra.Record, error) {
	if l.paused.Load() {
		time.Sleep(100 * time.Millisecond)
		return nil, nil
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}

// TestPage_FailsWhileReplayLags guards against incomplete results that a caller
// takes for all: an entry whose replay lags must not return the results of a job
// that another entry may have reported as complete.
func TestPage_FailsWhileReplayLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		log := &laggingLog{Log: standin.NewLog(0, 1)}
		holder := new(config.Holder)
		holder.Set(config.NewSnapshot(1, &config.State{
			Routes: map[string]config.Route{"chat": {Model: "m", Deployment: "d", Idempotent: true}},
		}))
		self := infra.Instance{ID: "e", Role: infra.RoleEntry, State: infra.Live}
		s := NewService(Options{Self: "e", Log: log, Members: membership.Static{self}, Config: holder})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go s.Run(ctx)
		time.Sleep(time.Second)
		line := `{"custom_id":"1","method":"POST","url":"/v1/chat/completions","body":{"model":"m"}}` + "\n"
		_, job, fail := s.Accept(ctx, &Submission{Customer: "a", Key: "k", Body: strings.NewReader(line), Job: new(JobParams)})
		g.Expect(fail).To(gomega.BeNil())
		readPage := func() error {
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			_, err := s.Page(ctx, PageArgs{Customer: "a", Job: job.ID})
			return err
		}
		g.Expect(readPage()).To(gomega.Succeed())

		log.paused.Store(true)
		time.Sleep(time.Minute)
		n, _ := partitionOf(jobPrefix, job.ID)
		_, err := log.Append(ctx, streamName(n), "other", []byte("record of another entry"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(readPage()).NotTo(gomega.Succeed(), "the record that was not replayed may complete the job")

		log.paused.Store(false)
		time.Sleep(time.Second)
		g.Expect(readPage()).To(gomega.Succeed())
	})
}
