// Package gossip lets entries tell one another what they run and admit, and
// who is alive. Entries find one another through a keyed partition and then
// exchange datagrams, which may get lost.
package gossip

import (
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

// Report is what an entry tells the others of itself, or with Cell set what its
// whole cell admits.
type Report struct {
	Endpoints      placement.Report
	Counts         Counts        // admissions of this entry, or of its cell
	OtherCells     Counts        // of a relay: admissions of the other cells
	CoveredEntries int           // entries of the cell, or of a relay those of other cells, whose admissions are counted
	CellTotals     bool          // sent from relay to relay
	LogLostFor     time.Duration // for how long it has not reached the log; 0: it does
	Leaving        bool          // it ends soon
	Uptime         time.Duration // since it started
}

// message is one datagram.
type message struct {
	Incarnation uint64
	Sequence    uint32
	Name        string
	Report
	HearsYou bool // the sender hears the receiver
}

// formatVersion is the first byte of each datagram.
const formatVersion = 6

// maxDatagram bounds a datagram in bytes: the largest that UDP carries.
const maxDatagram = 65_507

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("gossip")

// Malformed says that a datagram can't be read.
var Malformed = Errors.NewType("malformed")

// append encodes m.
func (m *message) append(b []byte) []byte {
	b = append(b, formatVersion)
	b = binary.BigEndian.AppendUint64(b, m.Incarnation)
	b = binary.BigEndian.AppendUint32(b, m.Sequence)
	b = binary.AppendUvarint(b, uint64(len(m.Name)))
	b = append(b, m.Name...)
	b = binary.AppendUvarint(b, uint64(len(m.Endpoints.Failing)))
	for _, key := range m.Endpoints.Failing {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
	}
	b = binary.AppendUvarint(b, uint64(len(m.Endpoints.Loads)))
	for key, l := range m.Endpoints.Loads {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
		b = binary.AppendUvarint(b, uint64(l.Online))
		b = binary.AppendUvarint(b, uint64(l.Batch))
	}
	b = m.Counts.append(b)
	b = m.OtherCells.append(b)
	b = binary.AppendUvarint(b, uint64(m.CoveredEntries))
	b = binary.AppendUvarint(b, uint64(m.LogLostFor.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(m.Uptime.Milliseconds()))
	return append(b, flag(m.CellTotals), flag(m.Leaving), flag(m.HearsYou))
}

func (c Counts) append(b []byte) []byte {
	b = append(b, flag(c.Full))
	b = binary.AppendUvarint(b, uint64(len(c.ByCustomer)))
	for key, count := range c.ByCustomer {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
		b = binary.BigEndian.AppendUint32(b, uint32(count))
	}
	return b
}

func flag(yes bool) byte {
	if yes {
		return 1
	}
	return 0
}

// decoder reads a datagram piece by piece; after a failure all is zero.
type decoder struct {
	b      []byte
	failed bool
}

func (d *decoder) take(n int) []byte {
	if n < 0 || n > len(d.b) {
		d.failed = true
		d.b = nil
		return make([]byte, 8)
	}
	part := d.b[:n]
	d.b = d.b[n:]
	return part
}

func (d *decoder) uint32() uint32 { return binary.BigEndian.Uint32(d.take(4)) }
func (d *decoder) uint64() uint64 { return binary.BigEndian.Uint64(d.take(8)) }

func (d *decoder) uvarint() int {
	v, n := binary.Uvarint(d.b)
	if n <= 0 || v > 1<<40 {
		d.failed = true
		d.b = nil
		return 0
	}
	d.b = d.b[n:]
	return int(v)
}

// count reads the length of a list whose items take at least size bytes.
func (d *decoder) count(size int) int {
	n := d.uvarint()
	if n > len(d.b)/size {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) counts() Counts {
	c := Counts{Full: d.take(1)[0] != 0, ByCustomer: make(map[quota.Key]quota.Count)}
	for range d.count(8) {
		key := quota.Key(d.uint32())
		c.ByCustomer[key] = quota.Count(d.uint32())
	}
	return c
}

// decode reads a datagram.
func decode(b []byte) (*message, error) {
	if len(b) == 0 || b[0] != formatVersion {
		return nil, Malformed.New("unknown format")
	}
	d := &decoder{b: b[1:]}
	m := &message{Incarnation: d.uint64(), Sequence: d.uint32()}
	n := d.uvarint()
	if n > len(d.b) {
		return nil, Malformed.New("cut short")
	}
	m.Name = string(d.take(n))
	for range d.count(4) {
		m.Endpoints.Failing = append(m.Endpoints.Failing, placement.Key(d.uint32()))
	}
	m.Endpoints.Loads = make(map[placement.Key]placement.Load)
	for range d.count(6) {
		key := placement.Key(d.uint32())
		m.Endpoints.Loads[key] = placement.Load{Online: d.uvarint(), Batch: d.uvarint()}
	}
	m.Counts = d.counts()
	m.OtherCells = d.counts()
	m.CoveredEntries = d.uvarint()
	m.LogLostFor = time.Duration(d.uvarint()) * time.Millisecond
	m.Uptime = time.Duration(d.uvarint()) * time.Millisecond
	flags := d.take(3)
	m.CellTotals, m.Leaving, m.HearsYou = flags[0] != 0, flags[1] != 0, flags[2] != 0
	if d.failed {
		return nil, Malformed.New("cut short")
	}
	return m, nil
}
