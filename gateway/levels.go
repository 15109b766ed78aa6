package gateway

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/gossip"
	"dandelionrelay/keyedlog"
	"dandelionrelay/quota"
	"dandelionrelay/sleep"
)

// levelsKey is the key of the record from which entries read the token-bucket levels
// of customers at startup.
const levelsKey = "levels"

// Timing of the levels record.
const (
	// levelsInterval is the interval between two records. An entry that starts
	// does not know the tokens that customers have used since the last one.
	levelsInterval = 1200 * time.Millisecond
	// levelsCheckInterval is the interval between the checks, after startup, whether
	// this entry knows the levels and stores them.
	levelsCheckInterval = 50 * time.Millisecond
	// levelsRetryDelay is the delay before a failed read of the record is retried.
	levelsRetryDelay = 100 * time.Millisecond
)

// levelsRecord is the value of the record under levelsKey.
type levelsRecord struct {
	Tokens map[quota.Key]int `json:"tokens"` // tokens left by customer; customers that are not listed have a full bucket
}

// syncLevels loads the stored levels, then stores them every levelsInterval while this
// entry is the writer.
func (g *Gateway) syncLevels(ctx context.Context) {
	for !g.inheritLevels(ctx) {
		if !sleep.For(ctx, levelsRetryDelay) {
			return
		}
	}
	interval := levelsCheckInterval
	for sleep.For(ctx, interval) {
		if !g.isLevelsWriter() {
			continue
		}
		levels, known := g.limits.Levels(g.Clock())
		if !known {
			continue
		}
		interval = levelsInterval
		if err := g.storeLevels(ctx, levels); err != nil && ctx.Err() == nil {
			g.Log.Debug().Err(err).Msg("could not store token-bucket levels")
		}
	}
}

// isLevelsWriter reports whether this entry stores the levels: it is the first by name
// of the entries in its cell that can. The writers of all cells use the same key, as all
// cells know the same levels.
func (g *Gateway) isLevelsWriter() bool {
	return !g.Leaving() && g.jobsFollower.LostFor() == 0 && slices.Min(g.node.Candidates()) == g.Settings.ID
}

// inheritLevels loads the stored levels, if there are any. It returns false if the read
// failed and should be retried; a malformed record is skipped.
func (g *Gateway) inheritLevels(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	page, _, err := g.Levels.Newest(ctx, "")
	if err != nil {
		g.Log.Debug().Err(err).Msg("could not read token-bucket levels")
		return false
	}
	go g.inheritOrigins(context.WithoutCancel(ctx), page.Records)
	for _, r := range page.Records {
		if r.Key != levelsKey {
			continue
		}
		var stored levelsRecord
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			g.badRecordLogger("levels")(r.Key, err)
			return true
		}
		g.limits.InheritLevels(g.Clock(), stored.Tokens)
		g.Log.Info().Int64("offset", r.Offset).Int("customers", len(stored.Tokens)).Msg("loaded token-bucket levels")
	}
	return true
}

// storeLevels stores the levels and what is known of the versions of endpoints.
func (g *Gateway) storeLevels(ctx context.Context, levels map[quota.Key]int) error {
	value, err := json.Marshal(levelsRecord{Tokens: levels})
	if err != nil {
		return errorx.Decorate(err, "encode token-bucket levels")
	}
	records := []keyedlog.Record{{Key: levelsKey, Value: value}}
	if r, ok := g.originsRecord(); ok {
		records = append(records, r)
	}
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	_, err = g.Levels.Append(ctx, keyedlog.AnyOffset, records)
	return err
}
