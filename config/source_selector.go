package config

import (
	"slices"
	"time"

	"dandelionrelay/infra"
	"dandelionrelay/membership"
)

// Limits on the selection of the source of configuration.
const (
	// ReadersPerDataCentre is the number of entries in each data centre
	// that read the log; the others follow these readers.
	ReadersPerDataCentre = 2

	// sourceRetryDelay is the time for which a source is not used after a
	// failure.
	sourceRetryDelay = 5 * time.Second

	// maxPeerAge is the age above which a peer's state is considered stale,
	// so that another source is tried.
	maxPeerAge = 15 * time.Second
)

// RecordSource is the source from which a process gets the next records: the
// log or a peer.
type RecordSource struct {
	Log  bool
	Peer infra.Instance // if Log is false; the zero value means that there is no source
}

// SourceSelector decides whether a process reads the log or follows a peer, and
// which peer. It does no I/O and is not safe for concurrent use.
type SourceSelector struct {
	self        infra.Instance
	lastFailure map[string]time.Time // instance ID or logID -> time of its last failure
}

// logID is the key of the log in SourceSelector.lastFailure.
const logID = "\x00log"

// NewSourceSelector returns a SourceSelector for the instance self.
func NewSourceSelector(self infra.Instance) *SourceSelector {
	return &SourceSelector{self: self, lastFailure: make(map[string]time.Time)}
}

// Next returns the source to use now; entries are the entries of the member
// list that are not gone.
func (s *SourceSelector) Next(now time.Time, entries []infra.Instance) RecordSource {
	s.dropGone(entries)
	others := slices.DeleteFunc(slices.Clone(entries), func(i infra.Instance) bool { return i.ID == s.self.ID })
	if len(others) == 0 {
		return RecordSource{Log: true}
	}
	isReader := s.isLogReader(entries)
	if isReader && !s.inRetryDelay(now, logID) {
		return RecordSource{Log: true}
	}
	peers := s.orderPeers(others, isReader)
	for _, p := range peers {
		if !s.inRetryDelay(now, p.ID) {
			return RecordSource{Peer: p}
		}
	}
	// All peers failed recently: even a process that is not a reader tries the
	// log.
	if !s.inRetryDelay(now, logID) {
		return RecordSource{Log: true}
	}
	return RecordSource{Peer: s.leastRecentlyFailed(peers)}
}

// NextPeer returns the peer to follow now for a process that never reads the
// log. Such processes are distributed over all entries of their data centre,
// not only its readers.
func (s *SourceSelector) NextPeer(now time.Time, entries []infra.Instance) RecordSource {
	s.dropGone(entries)
	if len(entries) == 0 {
		return RecordSource{}
	}
	ranked := membership.Rank("config-view/"+s.self.ID, entries)
	isLocal := func(p infra.Instance) bool { return p.DataCentre == s.self.DataCentre }
	slices.SortStableFunc(ranked, func(a, b infra.Instance) int {
		return boolToInt(isLocal(b)) - boolToInt(isLocal(a))
	})
	for _, p := range ranked {
		if !s.inRetryDelay(now, p.ID) {
			return RecordSource{Peer: p}
		}
	}
	return RecordSource{Peer: s.leastRecentlyFailed(ranked)}
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// MarkFailed records that a source did not respond or is stale.
func (s *SourceSelector) MarkFailed(now time.Time, source RecordSource) {
	if source.Log {
		s.lastFailure[logID] = now
		return
	}
	s.lastFailure[source.Peer.ID] = now
}

func (s *SourceSelector) inRetryDelay(now time.Time, id string) bool {
	t, ok := s.lastFailure[id]
	return ok && now.Sub(t) < sourceRetryDelay
}

// isLogReader reports whether this process is one of the log readers of its
// data centre.
func (s *SourceSelector) isLogReader(entries []infra.Instance) bool {
	return slices.ContainsFunc(logReaders(s.self.DataCentre, entries), func(i infra.Instance) bool { return i.ID == s.self.ID })
}

// logReaders returns the entries of a data centre that read the log: the first
// ReadersPerDataCentre of its live entries by rank.
func logReaders(dataCentre string, entries []infra.Instance) []infra.Instance {
	var local []infra.Instance
	for _, i := range entries {
		if i.DataCentre == dataCentre && i.State == infra.Live {
			local = append(local, i)
		}
	}
	ranked := membership.Rank("config-readers", local)
	return ranked[:min(len(ranked), ReadersPerDataCentre)]
}

// orderPeers returns the peers in the order in which they are tried. A process
// that is not a reader tries the readers of its own data centre first. A reader
// that cannot reach the log tries the readers of other data centres first, as the
// other reader of its own data centre is likely to have lost the log too.
func (s *SourceSelector) orderPeers(others []infra.Instance, isReader bool) []infra.Instance {
	var local, remote, rest []infra.Instance
	for _, p := range membership.Rank("config-feed/"+s.self.ID, others) {
		readsLog := slices.ContainsFunc(logReaders(p.DataCentre, others), func(i infra.Instance) bool { return i.ID == p.ID })
		switch {
		case !readsLog:
			rest = append(rest, p)
		case p.DataCentre == s.self.DataCentre:
			local = append(local, p)
		default:
			remote = append(remote, p)
		}
	}
	if isReader {
		local, remote = remote, local
	}
	return slices.Concat(local, remote, rest)
}

func (s *SourceSelector) leastRecentlyFailed(peers []infra.Instance) infra.Instance {
	return slices.MinFunc(peers, func(a, b infra.Instance) int {
		return s.lastFailure[a.ID].Compare(s.lastFailure[b.ID])
	})
}

// dropGone removes the failures of entries that are gone.
func (s *SourceSelector) dropGone(entries []infra.Instance) {
	for id := range s.lastFailure {
		gone := !slices.ContainsFunc(entries, func(i infra.Instance) bool { return i.ID == id })
		if gone && id != logID {
			delete(s.lastFailure, id)
		}
	}
}
