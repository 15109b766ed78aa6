package settings

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"dandelionrelay/config"
	"dandelionrelay/locality"
)

// Gateway holds the settings of an entry of package gateway: its configuration
// and list of endpoints come from providers (gateway.Providers), and its store is
// a keyed log. Package reload changes the tagged fields in a running process.
type Gateway struct {
	ID              string          `json:"id"`                                       // unique in the fleet
	DataCentre      string          `json:"data_centre"`                              // data centre in which the entry runs
	CallersAddr     string          `json:"callers_addr"`                             // ip:port, serves callers
	ReadyAddr       string          `json:"ready_addr"`                               // ip:port, serves readiness
	MetricsAddr     string          `json:"metrics_addr"`                             // ip:port, serves metrics and profiles
	PeersAddr       string          `json:"peers_addr"`                               // ip:port, receives datagrams (UDP) and calls (TCP) of other entries
	StoreAddr       string          `json:"store_addr" reload:"true"`                 // ip:port of the store
	StoreParts      int             `json:"store_parts,omitempty" reload:"true"`      // maximum number of partitions of a topic of the store; 0: no maximum
	ContentParts    int             `json:"content_parts,omitempty"`                  // partitions of the topic of batch bodies and outputs; default 4, but at most store_parts
	CallBytes       int             `json:"call_bytes,omitempty" reload:"true"`       // maximum total size of the records in one append, in bytes; default 1 MiB
	RecordBytes     int             `json:"record_bytes,omitempty" reload:"true"`     // maximum size of one record, in bytes; default 256 KiB
	WithdrawalBound config.Duration `json:"withdrawal_bound,omitempty" reload:"true"` // maximum time from the withdrawal of a key to the end of its last request; 0: no bound
	LimitWindow     config.Duration `json:"limit_window,omitempty" reload:"true"`     // length of the time windows to which limit_excess and limit_slack apply
	LimitExcess     float64         `json:"limit_excess,omitempty" reload:"true"`     // tolerated excess in a window, as a fraction of the requests that rate and burst allow in it
	LimitSlack      float64         `json:"limit_slack,omitempty" reload:"true"`      // tolerated excess in a window in requests, added to limit_excess
	ColdExcess      float64         `json:"cold_excess,omitempty" reload:"true"`      // bound on the requests to a cold endpoint in any second, as a multiple of its cold rate, at least 1; default 1
	ColdSlack       float64         `json:"cold_slack,omitempty" reload:"true"`       // requests that a cold endpoint may get in any second beyond that
	EndGrace        config.Duration `json:"end_grace,omitempty" reload:"true"`        // time between SIGTERM and SIGKILL, within which the entry drains; default 8s
	KeepJobs        config.Duration `json:"keep_jobs,omitempty" reload:"true"`        // retention time of finished batch jobs, counted from their submission; default 1h
	GoneAfter       config.Duration `json:"gone_after,omitempty" reload:"true"`       // time after an outage of the store until which endpoints are kept whose registration is deleted by then; default 2s
	EndpointRamp    bool            `json:"endpoint_ramp,omitempty"`                  // endpoints that start or recover begin with few concurrent requests, see docs/design/ramps.md
	LogLevel        string          `json:"log_level,omitempty" reload:"true"`        // debug, info, warn or error; default info

	Machine

	// OperatorTokenDigest is the lower-case hex SHA-256 of the token with which operators ask
	// for explanations at MetricsAddr; empty: nobody may.
	OperatorTokenDigest string `json:"operator_token_digest,omitempty"`

	Region          string           `json:"region,omitempty" reload:"true"`           // region of data_centre; default the one that regions names
	Regions         locality.Regions `json:"regions,omitempty" reload:"true"`          // region by data centre; homes allow nothing in others
	EvacuationBound config.Duration  `json:"evacuation_bound,omitempty" reload:"true"` // maximum time from an evacuation to the last request to its data centre; 0: no bound
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
		f.add("/content_parts", fmt.Sprintf("must be at most %d (store_parts), not %d", g.StoreParts, g.ContentParts))
	}
	f.notNegative("/call_bytes", float64(g.CallBytes))
	f.notNegative("/record_bytes", float64(g.RecordBytes))
	f.notNegative("/withdrawal_bound", float64(g.WithdrawalBound))
	f.notNegative("/limit_window", float64(g.LimitWindow))
	f.notNegative("/limit_excess", g.LimitExcess)
	f.notNegative("/limit_slack", g.LimitSlack)
	f.coldExcess("/cold_excess", &g.ColdExcess)
	f.finiteNotNegative("/cold_slack", g.ColdSlack)
	f.notNegative("/end_grace", float64(g.EndGrace))
	f.notNegative("/keep_jobs", float64(g.KeepJobs))
	f.notNegative("/gone_after", float64(g.GoneAfter))
	f.notNegative("/evacuation_bound", float64(g.EvacuationBound))
	f.optionalDigest("/operator_token_digest", g.OperatorTokenDigest)
	g.checkRegions(f)
	setDefault(&g.ContentParts, g.defaultContentParts())
	setDefault(&g.CallBytes, DefaultCallBytes)
	setDefault(&g.RecordBytes, DefaultRecordBytes)
	setDefault(&g.EndGrace, config.Duration(DefaultEndGrace))
	setDefault(&g.KeepJobs, config.Duration(DefaultKeepJobs))
	setDefault(&g.GoneAfter, config.Duration(DefaultGoneAfter))
	f.level("/log_level", &g.LogLevel)
	g.Machine.check(f)
}

// checkRegions checks the regions, of which none must be empty, and of which that of the
// entry's own data centre must be Region if both are set.
func (g *Gateway) checkRegions(f *findings) {
	for _, dataCentre := range slices.Sorted(maps.Keys(g.Regions)) {
		pointer := "/regions/" + strings.NewReplacer("~", "~0", "/", "~1").Replace(dataCentre)
		if dataCentre == "" {
			f.add(pointer, "the name of the data centre must not be empty")
		}
		if g.Regions[dataCentre] == "" {
			f.add(pointer, "the region must not be empty")
		}
	}
	if listed := g.Regions[g.DataCentre]; listed != "" && g.Region != "" && listed != g.Region {
		f.add("/region", fmt.Sprintf("must be %q, which /regions names for the data centre %q, not %q", listed, g.DataCentre, g.Region))
	}
}

func (g *Gateway) defaultContentParts() int {
	if g.StoreParts > 0 {
		return min(DefaultContentParts, g.StoreParts)
	}
	return DefaultContentParts
}
