package settings

import (
	"time"

	"dandelionrelay/config"
)

// Gateway is the settings of an entry whose surroundings are a provider of
// configuration and endpoints and a keyed log.
type Gateway struct {
	ID              string          `json:"id"`                         // unique in the fleet
	DataCentre      string          `json:"data_centre"`                // where it runs
	CallersAddr     string          `json:"callers_addr"`               // ip:port, serves callers
	ReadyAddr       string          `json:"ready_addr"`                 // ip:port, says whether callers are welcome
	MetricsAddr     string          `json:"metrics_addr"`               // ip:port, serves metrics and profiles
	PeersAddr       string          `json:"peers_addr"`                 // ip:port of datagrams between entries
	StoreAddr       string          `json:"store_addr"`                 // ip:port of the store
	StoreParts      int             `json:"store_parts,omitempty"`      // partitions that a topic of the store may have; 0: any number
	ContentParts    int             `json:"content_parts,omitempty"`    // partitions of batch bodies and outputs; default 4, or store_parts if those are fewer
	CallBytes       int             `json:"call_bytes,omitempty"`       // of records in one append; default 1 MiB
	RecordBytes     int             `json:"record_bytes,omitempty"`     // of one record; default 256 KiB
	WithdrawalBound config.Duration `json:"withdrawal_bound,omitempty"` // after which no request with a withdrawn key may run; 0: no bound
	LimitWindow     config.Duration `json:"limit_window,omitempty"`     // the span in which a customer may exceed rate and burst by what follows
	LimitExcess     float64         `json:"limit_excess,omitempty"`     // as a part of what rate and burst allow
	LimitSlack      float64         `json:"limit_slack,omitempty"`      // and by as many requests
	EndGrace        config.Duration `json:"end_grace,omitempty"`        // from SIGTERM until the process is killed; default 8s
	KeepJobs        config.Duration `json:"keep_jobs,omitempty"`        // finished batch jobs are kept so long after their submission; default 1h
	GoneAfter       config.Duration `json:"gone_after,omitempty"`       // endpoints that lapsed with the store are kept so long after its return; default 2s
	LogLevel        string          `json:"log_level,omitempty"`        // debug, info, warn or error; default info
}

// Defaults of optional fields of a Gateway.
const (
	DefaultContentParts = 4
	DefaultCallBytes    = 1 << 20
	DefaultRecordBytes  = 256 << 10
	DefaultEndGrace     = 8 * time.Second
	DefaultKeepJobs     = time.Hour
	DefaultGoneAfter    = 2 * time.Second
)

func (g *Gateway) check(f *findings) {
	f.required("/id", g.ID)
	f.required("/data_centre", g.DataCentre)
	f.addr("/callers_addr", g.CallersAddr)
	f.addr("/ready_addr", g.ReadyAddr)
	f.addr("/metrics_addr", g.MetricsAddr)
	f.addr("/peers_addr", g.PeersAddr)
	f.addr("/store_addr", g.StoreAddr)
	f.notNegative("/store_parts", float64(g.StoreParts))
	f.notNegative("/content_parts", float64(g.ContentParts))
	if g.StoreParts > 0 && g.ContentParts > g.StoreParts {
		f.add("/content_parts", "must not be more than store_parts")
	}
	f.notNegative("/call_bytes", float64(g.CallBytes))
	f.notNegative("/record_bytes", float64(g.RecordBytes))
	f.notNegative("/withdrawal_bound", float64(g.WithdrawalBound))
	f.notNegative("/limit_window", float64(g.LimitWindow))
	f.notNegative("/limit_excess", g.LimitExcess)
	f.notNegative("/limit_slack", g.LimitSlack)
	f.notNegative("/end_grace", float64(g.EndGrace))
	f.notNegative("/keep_jobs", float64(g.KeepJobs))
	f.notNegative("/gone_after", float64(g.GoneAfter))
	orDefault(&g.ContentParts, g.defaultContentParts())
	orDefault(&g.CallBytes, DefaultCallBytes)
	orDefault(&g.RecordBytes, DefaultRecordBytes)
	orDefault(&g.EndGrace, config.Duration(DefaultEndGrace))
	orDefault(&g.KeepJobs, config.Duration(DefaultKeepJobs))
	orDefault(&g.GoneAfter, config.Duration(DefaultGoneAfter))
	f.level("/log_level", &g.LogLevel)
}

func (g *Gateway) defaultContentParts() int {
	if g.StoreParts > 0 {
		return min(DefaultContentParts, g.StoreParts)
	}
	return DefaultContentParts
}
