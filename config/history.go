package config

import (
	"slices"

	"dandelionrelay/infra"
)

// Limits on the records that a replica keeps for the peers that follow it.
const (
	maxHistoryRecords = 1024
	maxHistoryBytes   = 1 << 20
)

// history holds the most recent records that a replica applied, those of snapshots
// without their data.
type history struct {
	records []infra.Record // consecutive offsets, oldest first
	bytes   int
}

func (h *history) add(raw infra.Record) {
	h.records = append(h.records, raw)
	h.bytes += len(raw.Data)
	for len(h.records) > maxHistoryRecords || h.bytes > maxHistoryBytes && len(h.records) > 1 {
		h.bytes -= len(h.records[0].Data)
		h.records = h.records[1:]
	}
}

func (h *history) reset() {
	h.records = nil
	h.bytes = 0
}

// recordsAfter returns the records after offset up to through, the last offset
// applied. It reports false if not all of them are kept.
func (h *history) recordsAfter(offset, through infra.Offset) ([]infra.Record, bool) {
	count := int(through - offset)
	if count > len(h.records) {
		return nil, false
	}
	return slices.Clone(h.records[len(h.records)-count:]), true
}

// snapshotMarker replaces the data of snapshot records sent to peers: a
// follower needs to know only that there was a snapshot at that offset.
var snapshotMarker = []byte(`{"kind":"snapshot"}`)

// withSnapshotMarker returns raw with snapshotMarker as its data.
func withSnapshotMarker(raw infra.Record) infra.Record {
	raw.Data = snapshotMarker
	return raw
}
