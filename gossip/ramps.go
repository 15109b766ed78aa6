package gossip

import (
	"encoding/binary"

	"dandelionrelay/placement"
)

// maxReportedRamp is the largest bound or growth of a ramp that is accepted, in concurrent
// requests. No endpoint runs as many.
const maxReportedRamp = 1 << 16

// appendRamps appends the encoding of ramps to b and returns the result.
func appendRamps(b []byte, ramps map[placement.Key]placement.Ramp) []byte {
	b = binary.AppendUvarint(b, uint64(len(ramps)))
	for key, r := range ramps {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
		b = binary.BigEndian.AppendUint32(b, r.Round)
		b = binary.AppendUvarint(b, uint64(r.Base))
		b = binary.AppendUvarint(b, uint64(r.Grown))
	}
	return b
}

// ramps reads the ramps of endpoints; nil if there are none. It fails if a bound is out of
// range.
func (d *decoder) ramps() map[placement.Key]placement.Ramp {
	n := d.listLength(10)
	if n == 0 {
		return nil
	}
	ramps := make(map[placement.Key]placement.Ramp, n)
	for range n {
		key := placement.Key(d.uint32())
		r := placement.Ramp{Round: d.uint32(), Base: d.uvarint(), Grown: d.uvarint()}
		if r.Base > maxReportedRamp || r.Grown > maxReportedRamp {
			d.failed = true
		}
		ramps[key] = r
	}
	return ramps
}
