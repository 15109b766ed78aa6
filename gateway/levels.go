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

// levelsKey is the key of the record that hands the levels of customers' rates
// on to entries that start.
const levelsKey = "levels"

// Pace of handing levels on.
const (
	// levelsInterval is the interval of records: what customers use meanwhile is
	// not known to an entry that starts.
	levelsInterval = 1200 * time.Millisecond
	// levelsCheckInterval is the interval of looks at whether this entry knows the
	// levels yet, after its start.
	levelsCheckInterval = 50 * time.Millisecond
	// levelsRetryDelay is the pause after a failed read.
	levelsRetryDelay = 100 * time.Millisecond
)

// levelsRecord is the record under levelsKey.
type levelsRecord struct {
	Tokens map[quota.Key]int `json:"tokens"` // left of each rate; customers left out have all
}

// syncLevels takes the levels over that another entry has stored, then stores
// them now and then as long as that is up to this entry.
func (g *Gateway) syncLevels(ctx context.Context) {
	for !g.inheritLevels(ctx) {
		if !sleep.For(ctx, levelsRetryDelay) {
			return
		}
	}
	pace := levelsCheckInterval
	for sleep.For(ctx, pace) {
		if !g.storesLevels() {
			continue
		}
		levels, known := g.limits.Levels(g.Clock())
		if !known {
			continue
		}
		pace = levelsInterval
		if err := g.storeLevels(ctx, levels); err != nil && ctx.Err() == nil {
			g.Log.Debug().Err(err).Msg("levels of limits not stored")
		}
	}
}

// storesLevels reports whether it is up to this entry to store the levels: the
// first by name of those in its cell that can. Cells know the same levels.
func (g *Gateway) storesLevels() bool {
	return !g.Leaving() && g.jobsFollower.LostFor() == 0 && slices.Min(g.node.Candidates()) == g.Settings.ID
}

// inheritLevels takes the stored levels over, if there are any. It returns false
// if they could not be read.
func (g *Gateway) inheritLevels(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	page, _, err := g.Levels.Newest(ctx, "")
	if err != nil {
		g.Log.Debug().Err(err).Msg("levels of limits not read")
		return false
	}
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
		g.Log.Info().Int64("offset", r.Offset).Int("customers", len(stored.Tokens)).Msg("levels of limits taken over")
	}
	return true
}

func (g *Gateway) storeLevels(ctx context.Context, levels map[quota.Key]int) error {
	value, err := json.Marshal(levelsRecord{Tokens: levels})
	if err != nil {
		return errorx.Decorate(err, "encode levels")
	}
	ctx, cancel := context.WithTimeout(ctx, gossip.RegistrationInterval)
	defer cancel()
	_, err = g.Levels.Append(ctx, keyedlog.AnyOffset, []keyedlog.Record{{Key: levelsKey, Value: value}})
	return err
}
