package config

import (
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Limits on where configuration comes from.
const (
	// ReadersPerDataCentre is the number of entries in each data centre
	// that read the log; the others follow them.
	ReadersPerDataCentre = 2

	// sourceRetry is the time for which a source that failed is avoided.
	sourceRetry = 5 * time.Second

	// peerStaleAfter is the age from which a peer's state is taken for
	// stale, so that another peer is tried.
	peerStaleAfter = 15 * time.Second
)

// RecordSource is where a process gets the next records from.
type RecordSource struct {
	Log  bool
	Peer infra.Instance // if Log is false; the zero value: nowhere
}

// SourceSelector decides whether a process reads the log or follows a peer, and which
// one. It is passive.
type SourceSelector struct {
	self   infra.Instance
	failed map[string]time.Time // id, or logID -> when it failed last
}

// logID stands for the log among the sources that failed.
const logID = "\x00log"

// NewSourceSelector returns the Feed of the instance self.
func NewSourceSelector(self infra.Instance) *SourceSelector {
	return &SourceSelector{self: self, failed: make(map[string]time.Time)}
}

// Next returns the source to use now, given the entries that are not gone.
func (f *SourceSelector) Next(now time.Time, entries []infra.Instance) RecordSource {
	f.forget(entries)
	others := slices.DeleteFunc(slices.Clone(entries), func(i infra.Instance) bool { return i.ID == f.self.ID })
	if len(others) == 0 {
		return RecordSource{Log: true}
	}
	reads := f.reads(entries)
	if reads && !f.avoided(now, logID) {
		return RecordSource{Log: true}
	}
	peers := f.order(others, reads)
	for _, p := range peers {
		if !f.avoided(now, p.ID) {
			return RecordSource{Peer: p}
		}
	}
	// All have failed: with no peer left the log is worth a try.
	if !f.avoided(now, logID) {
		return RecordSource{Log: true}
	}
	return RecordSource{Peer: f.longestAgo(peers)}
}

// NextPeer returns the peer to follow now for a process that never reads the
// log. It is spread over all entries of the data centre, not only readers.
func (f *SourceSelector) NextPeer(now time.Time, entries []infra.Instance) RecordSource {
	f.forget(entries)
	if len(entries) == 0 {
		return RecordSource{}
	}
	ranked := membership.Rank("config-view/"+f.self.ID, entries)
	isNear := func(p infra.Instance) bool { return p.DataCentre == f.self.DataCentre }
	slices.SortStableFunc(ranked, func(a, b infra.Instance) int {
		return boolRank(isNear(b)) - boolRank(isNear(a))
	})
	for _, p := range ranked {
		if !f.avoided(now, p.ID) {
			return RecordSource{Peer: p}
		}
	}
	return RecordSource{Peer: f.longestAgo(ranked)}
}

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// MarkFailed notes that a source did not answer or is stale.
func (f *SourceSelector) MarkFailed(now time.Time, s RecordSource) {
	if s.Log {
		f.failed[logID] = now
		return
	}
	f.failed[s.Peer.ID] = now
}

func (f *SourceSelector) avoided(now time.Time, id string) bool {
	t, ok := f.failed[id]
	return ok && now.Sub(t) < sourceRetry
}

// reads reports whether this process is one of the readers of its data centre.
func (f *SourceSelector) reads(entries []infra.Instance) bool {
	return slices.ContainsFunc(readers(f.self.DataCentre, entries), func(i infra.Instance) bool { return i.ID == f.self.ID })
}

// readers returns the entries of a data centre that read the log.
func readers(dataCentre string, entries []infra.Instance) []infra.Instance {
	var local []infra.Instance
	for _, i := range entries {
		if i.DataCentre == dataCentre && i.State == infra.Live {
			local = append(local, i)
		}
	}
	ranked := membership.Rank("config-readers", local)
	return ranked[:min(len(ranked), ReadersPerDataCentre)]
}

// order returns the peers in the order in which they are tried. A follower
// asks a reader of its own data centre first. A reader that cannot reach the
// log asks readers of other data centres first, as its own fellow reader is
// likely to be cut off too.
func (f *SourceSelector) order(others []infra.Instance, reads bool) []infra.Instance {
	var near, far, rest []infra.Instance
	for _, p := range membership.Rank("config-feed/"+f.self.ID, others) {
		isReader := slices.ContainsFunc(readers(p.DataCentre, others), func(i infra.Instance) bool { return i.ID == p.ID })
		switch {
		case !isReader:
			rest = append(rest, p)
		case p.DataCentre == f.self.DataCentre:
			near = append(near, p)
		default:
			far = append(far, p)
		}
	}
	if reads {
		near, far = far, near
	}
	return slices.Concat(near, far, rest)
}

func (f *SourceSelector) longestAgo(peers []infra.Instance) infra.Instance {
	return slices.MinFunc(peers, func(a, b infra.Instance) int {
		return f.failed[a.ID].Compare(f.failed[b.ID])
	})
}

// forget drops what is known of entries that are gone.
func (f *SourceSelector) forget(entries []infra.Instance) {
	for id := range f.failed {
		gone := !slices.ContainsFunc(entries, func(i infra.Instance) bool { return i.ID == id })
		if gone && id != logID {
			delete(f.failed, id)
		}
	}
}
