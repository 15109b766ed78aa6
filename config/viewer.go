package config

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"dandelionrelay/sleep"
)

// Viewer keeps a Holder up to date with the part of the state that concerns a
// sidecar. It polls an entry, of its own data centre if there is one. Each sidecar
// runs one Viewer; sidecars neither read the log nor receive keys.
type Viewer struct {
	fleet     Fleet
	holder    *Holder
	onChange  func(*Snapshot)
	selector  *SourceSelector
	hash      Hash         // of the view in force
	version   uint64       // highest version at which the view was received
	lastReply atomic.Int64 // Unix time in nanoseconds of the last reply of an entry; 0: none
}

// NewViewer returns a Viewer for the sidecar fleet.Self that puts new views
// into holder and then passes them to onChange, which may be nil.
func NewViewer(fleet Fleet, holder *Holder, onChange func(*Snapshot)) *Viewer {
	return &Viewer{fleet: fleet, holder: holder, onChange: onChange, selector: NewSourceSelector(fleet.Self)}
}

// Run polls entries for the view until ctx ends.
func (v *Viewer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		source := v.selector.NextPeer(time.Now(), v.fleet.Members.Entries())
		if err := v.poll(ctx, source); err != nil {
			v.selector.MarkFailed(time.Now(), source)
			sleep.For(ctx, retryDelay)
		}
	}
}

var errNoEntry = Errors.NewType("no_entry").New("the member list has no entries")

func (v *Viewer) poll(ctx context.Context, source RecordSource) error {
	if source.Peer.ID == "" {
		return errNoEntry
	}
	ctx, cancel := context.WithTimeout(ctx, peerPollWait+responseMargin)
	defer cancel()
	args := ViewArgs{Deployment: v.fleet.Self.Deployment, Version: v.version, Hash: v.hash, Wait: peerPollWait}
	var reply ViewReply
	if err := v.fleet.Peers.Call(ctx, source.Peer.RPCAddr, MethodView, args, &reply); err != nil {
		return err
	}
	v.lastReply.Store(time.Now().UnixNano())
	return v.apply(reply)
}

// apply puts a newer view in force. An entry may be behind the one that was polled
// before: a view that is not newer is not applied, as the view must not revert, and
// is an error, so that another entry is polled next.
func (v *Viewer) apply(reply ViewReply) error {
	if reply.Version <= v.version {
		if reply.State != nil {
			return errNoProgress
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
