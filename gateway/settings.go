package gateway

import (
	"time"

	"dandelionrelay/batch"
	"dandelionrelay/quota"
	"dandelionrelay/settings"
)

func tolerance(s *settings.Gateway) quota.Tolerance {
	return quota.Tolerance{Window: time.Duration(s.LimitWindow), Excess: s.LimitExcess, Slack: s.LimitSlack}
}

func batchLimits(s *settings.Gateway) batch.Limits {
	return batch.Limits{CallBytes: s.CallBytes, RecordBytes: s.RecordBytes, Retention: time.Duration(s.KeepJobs)}
}

// ApplySettings puts changed settings into force. Fields that can't change in a running
// process must have the values of Deps.Settings.
func (g *Gateway) ApplySettings(s *settings.Gateway) {
	g.settings.Store(s)
	g.limits.SetTolerance(g.Clock(), tolerance(s))
	g.setColdRates(nil)
	g.applyLocality(nil)
	g.jobs.SetLimits(batchLimits(s))
}

// EndGrace returns the time between SIGTERM and SIGKILL.
func (g *Gateway) EndGrace() time.Duration { return time.Duration(g.settings.Load().EndGrace) }
