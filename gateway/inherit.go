package gateway

import (
	"context"
	"encoding/json"
	"time"

	"dandelionrelay/keyedlog"
	"dandelionrelay/origin"
	"dandelionrelay/sleep"
)

// originsKey is the key of the record, beside that of the levels, from which entries that
// start learn which versions were listed before. Without it, no stream whose beginning
// isn't recorded could go on for a while after a start of all entries.
const originsKey = "origins"

// inheritTimeout bounds how long an entry that starts tries to use the record. Callers whose
// streams broke off before the start have mostly given up by then.
const inheritTimeout = 5 * time.Second

// originsRecord is the value of the record under originsKey.
type originsRecord struct {
	Next    int64         `json:"next"` // offset up to which the endpoints' partition was read, at least
	History origin.Stored `json:"history"`
}

// originsRecord returns the record to store; false if the list of endpoints is not known.
func (g *Gateway) originsRecord() (keyedlog.Record, bool) {
	// The offset is read first: the history then holds the records before it.
	next, loaded := g.EndpointFeed.NextOffset()
	history, known := g.listed.Stored()
	if !loaded || !known {
		return keyedlog.Record{}, false
	}
	value, err := json.Marshal(originsRecord{Next: next, History: history})
	if err != nil {
		g.Log.Warn().Err(err).Msg("could not encode the versions of endpoints")
		return keyedlog.Record{}, false
	}
	return keyedlog.Record{Key: originsKey, Value: value}, true
}

// inheritOrigins inherits the history that is stored in one of the records, if any, and
// sets originsInherited.
func (g *Gateway) inheritOrigins(ctx context.Context, records []keyedlog.Record) {
	defer g.originsInherited.Store(true)
	ctx, cancel := context.WithTimeout(ctx, inheritTimeout)
	defer cancel()
	for _, r := range records {
		if r.Key == originsKey {
			g.inheritHistory(ctx, r)
		}
	}
}

// inheritHistory adds the stored history to that of this entry, once it has loaded the
// configuration and the list of endpoints itself. The endpoints that registered between the
// two are read from the log.
func (g *Gateway) inheritHistory(ctx context.Context, r keyedlog.Record) {
	var stored originsRecord
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		g.badRecordLogger("levels")(r.Key, err)
		return
	}
	for !g.loadedEndpointsAndRoutes() {
		if !sleep.For(ctx, levelsCheckInterval) {
			return
		}
	}
	since, err := g.EndpointsSince(ctx, stored.Next)
	if err != nil {
		g.Log.Info().Err(err).Int64("from_offset", stored.Next).Msg("could not inherit the versions of endpoints")
		return
	}
	g.listed.Inherit(stored.History, origins(since))
	g.Log.Info().Int64("offset", r.Offset).Int("versions", len(stored.History.Versions)).Int("registered_since", len(since)).
		Dur("reaches_back_ms", stored.History.Age).Msg("inherited the versions of endpoints")
}

// loadedEndpointsAndRoutes reports whether this entry has loaded the list of endpoints and
// a configuration.
func (g *Gateway) loadedEndpointsAndRoutes() bool {
	_, loaded := g.EndpointFeed.NextOffset()
	return loaded && g.Config.Current().Version > 0
}
