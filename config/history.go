package config

import (
	"slices"

	"dandelionrelay/infra"
)

// Bounds of the records that a replica keeps for peers that follow it.
const (
	maxHistoryRecords = 1024
	maxHistoryBytes   = 1 << 20
)

// history keeps the last records that a replica decided on.
type history struct {
	records []infra.Record // offsets without gaps
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

// after returns the records after offset up to through, if all are kept.
func (h *history) after(offset, through infra.Offset) ([]infra.Record, bool) {
	missing := int(through - offset)
	if missing > len(h.records) {
		return nil, false
	}
	return slices.Clone(h.records[len(h.records)-missing:]), true
}

// snapshotMarker stands in for the data of snapshots between peers: who
// follows needs only to know that there was one.
var snapshotMarker = []byte(`{"kind":"snapshot"}`)

func withoutData(raw infra.Record) infra.Record {
	raw.Data = snapshotMarker
	return raw
}
