package config

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"dandelionrelay/sleep"
)

// Viewer keeps a Holder up to date with the part of the state that concerns a
// sidecar, from an entry of its data centre if there is one. Sidecars run one
// each; they neither read the log nor learn of keys.
type Viewer struct {
	fleet    Fleet
	holder   *Holder
	onChange func(*Snapshot)
	feed     *SourceSelector
	hash     Hash         // of the view in force
	version  uint64       // highest at which the view was seen
	heard    atomic.Int64 // Unix time in nanoseconds of an entry's last answer; 0: none
}

// NewViewer returns a Viewer for the sidecar fleet.Self that puts new views
// into holder and then hands them to onChange, which may be nil.
func NewViewer(fleet Fleet, holder *Holder, onChange func(*Snapshot)) *Viewer {
	return &Viewer{fleet: fleet, holder: holder, onChange: onChange, feed: NewSourceSelector(fleet.Self)}
}

// Run follows an entry until ctx ends.
func (v *Viewer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		source := v.feed.NextPeer(time.Now(), v.fleet.Members.Entries())
		if err := v.poll(ctx, source); err != nil {
			v.feed.MarkFailed(time.Now(), source)
			sleep.For(ctx, retryPause)
		}
	}
}

var errNoEntry = Errors.NewType("no_entry").New("no entry is known")

func (v *Viewer) poll(ctx context.Context, source RecordSource) error {
	if source.Peer.ID == "" {
		return errNoEntry
	}
	ctx, cancel := context.WithTimeout(ctx, followWait+callMargin)
	defer cancel()
	args := ViewArgs{Deployment: v.fleet.Self.Deployment, Version: v.version, Hash: v.hash, Wait: followWait}
	var reply ViewReply
	if err := v.fleet.Peers.Call(ctx, source.Peer.RPCAddr, MethodView, args, &reply); err != nil {
		return err
	}
	v.heard.Store(time.Now().UnixNano())
	return v.take(reply)
}

// take puts a newer view in force. An entry that is behind another one which
// was asked before must not turn the view back.
func (v *Viewer) take(reply ViewReply) error {
	if reply.Version <= v.version {
		if reply.State != nil {
			return errUseless
		}
		return nil
	}
	state, changed := v.holder.Current().State, reply.State != nil
	if changed {
		state = new(State)
		if err := json.Unmarshal(reply.State, state); err != nil {
			return err
		}
		v.hash = HashOf(state)
	}
	v.version = reply.Version
	snapshot := NewSnapshot(reply.Version, state)
	snapshot.ChangeID = reply.Change
	v.holder.Set(snapshot)
	if changed && v.onChange != nil {
		v.onChange(snapshot)
	}
	return nil
}
