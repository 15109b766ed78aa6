// Package gossip exchanges endpoint loads, admission counts and liveness between
// entries. Entries discover one another through registrations in a partition of the
// compacted log (see package keyedlog) and then exchange UDP datagrams, which may be
// lost.
package gossip

import (
	"encoding/binary"
	"time"

	"github.com/joomcode/errorx"

	"dandelionrelay/placement"
	"dandelionrelay/quota"
)

// Report is the content of a datagram: the state of one entry or, with CellTotals
// set, the admissions of the sender's whole cell.
type Report struct {
	Endpoints      placement.Report
	Counts         Counts        // admissions of the sender, or of its cell with CellTotals set
	OtherCells     Counts        // admissions of the other cells; only set by a relay
	CoveredEntries int           // number of entries whose admissions are counted: with CellTotals set those of the cell, else those of other cells that a relay reports
	CellTotals     bool          // sent by the relay of one cell to the relay of another
	LogLostFor     time.Duration // how long the sender has failed to reach the log; 0: the log is reachable
	Leaving        bool          // the sender is shutting down
	Uptime         time.Duration // of the sender's process
	Config         Confirmation  // of the sender's configuration

	// Uncounted is set by the receiving Node, while it starts up, if no report
	// that it passed on before can have held the same admissions.
	Uncounted bool
}

// Confirmation says up to which offset an entry has applied the partition of the
// configuration, and how long ago it was known that nothing came after that.
type Confirmation struct {
	Next int64         // offset after the newest applied record; 0: nothing is confirmed
	Age  time.Duration // since the start of the read that confirmed it
}

// echo tells the receiver of a datagram which of its own datagrams the sender has
// received last. With it the receiver determines a time on its own clock before which
// the datagram was not sent, however long the datagram was on its way.
type echo struct {
	Incarnation uint32        // low bits of the receiver's incarnation; 0: none was received
	Uptime      time.Duration // Report.Uptime of that datagram
	Age         time.Duration // since its receipt
}

// message is one datagram.
type message struct {
	Incarnation uint64
	Sequence    uint32
	Name        string
	Report
	receiverFields
}

// receiverFields are the fields that differ between the receivers of a datagram. They
// form its end.
type receiverFields struct {
	Echo          echo
	HearsReceiver bool // the sender's inContact for the receiver: it has received a datagram of it within contactTimeout
}

// receiverFieldsSize is the size of the encoded receiverFields in bytes.
const receiverFieldsSize = 4 + 8 + 4 + 1

// encode writes the fields to b, which has receiverFieldsSize bytes.
func (f receiverFields) encode(b []byte) {
	binary.BigEndian.PutUint32(b, f.Echo.Incarnation)
	binary.BigEndian.PutUint64(b[4:], uint64(f.Echo.Uptime/datagramTimeUnit))
	binary.BigEndian.PutUint32(b[12:], uint32(f.Echo.Age/datagramTimeUnit))
	b[16] = boolByte(f.HearsReceiver)
}

// datagram is an encoded message.
type datagram struct {
	bytes []byte
	// measuredAt is a time on the sender's clock before the ages in the message were
	// measured. Echo.Age is as of this time, so that a pause of the process between
	// the two can't make the sender's knowledge look younger than it is.
	measuredAt time.Duration
}

// setReceiverFields replaces the end of the datagram.
func (d datagram) setReceiverFields(f receiverFields) {
	f.encode(d.bytes[len(d.bytes)-receiverFieldsSize:])
}

func (d *decoder) receiverFields() receiverFields {
	return receiverFields{
		Echo: echo{
			Incarnation: d.uint32(),
			Uptime:      time.Duration(d.uint64()&(1<<40-1)) * time.Millisecond,
			Age:         time.Duration(d.uint32()) * time.Millisecond,
		},
		HearsReceiver: d.take(1)[0] != 0,
	}
}

// formatVersion is the first byte of each datagram. Datagrams of another version are
// rejected.
const formatVersion = 8

// datagramTimeUnit is the resolution of times in datagrams, which are rounded down.
const datagramTimeUnit = time.Millisecond

// maxDatagram is the largest size of a datagram in bytes, the limit of UDP over
// IPv4.
const maxDatagram = 65_507

// Errors is the namespace of the errors of this package.
var Errors = errorx.NewNamespace("gossip")

// Malformed is the type of errors for datagrams that can't be decoded.
var Malformed = Errors.NewType("malformed")

// append appends the encoding of m to b and returns the result.
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
		b = binary.AppendUvarint(b, uint64(l.Firm))
	}
	b = m.Counts.append(b)
	b = m.OtherCells.append(b)
	b = binary.AppendUvarint(b, uint64(m.CoveredEntries))
	b = binary.AppendUvarint(b, uint64(m.LogLostFor.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(m.Uptime.Milliseconds()))
	b = binary.AppendUvarint(b, uint64(m.Config.Next))
	b = binary.AppendUvarint(b, uint64(m.Config.Age.Milliseconds()))
	b = append(b, boolByte(m.CellTotals), boolByte(m.Leaving))
	b = appendRamps(b, m.Endpoints.Ramps)
	b = append(b, make([]byte, receiverFieldsSize)...)
	datagram{bytes: b}.setReceiverFields(m.receiverFields)
	return b
}

func (c Counts) append(b []byte) []byte {
	b = append(b, boolByte(c.Full))
	b = binary.AppendUvarint(b, uint64(len(c.ByCustomer)))
	for key, count := range c.ByCustomer {
		b = binary.BigEndian.AppendUint32(b, uint32(key))
		b = binary.BigEndian.AppendUint32(b, uint32(count))
	}
	return b
}

func boolByte(set bool) byte {
	if set {
		return 1
	}
	return 0
}

// decoder reads the fields of a datagram in order. Once a read has failed, failed is
// set and the values of further reads are meaningless.
type decoder struct {
	b      []byte
	failed bool
}

// take reads n bytes. If fewer remain, it fails and returns 8 zero bytes, enough for
// any caller that reads a field of fixed size.
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

// uvarint reads an unsigned varint. It fails if the value is larger than 1<<40.
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

// listLength reads the length of a list whose items take at least size bytes each.
// It fails if the remaining bytes can't hold that many items.
func (d *decoder) listLength(size int) int {
	n := d.uvarint()
	if n > len(d.b)/size {
		d.failed = true
		return 0
	}
	return n
}

func (d *decoder) counts() Counts {
	c := Counts{Full: d.take(1)[0] != 0, ByCustomer: make(map[quota.Key]quota.Count)}
	for range d.listLength(8) {
		key := quota.Key(d.uint32())
		c.ByCustomer[key] = quota.Count(d.uint32())
	}
	return c
}

// decode decodes a datagram. It fails with Malformed if the format version is
// unknown or the datagram is truncated or invalid.
func decode(b []byte) (*message, error) {
	if len(b) == 0 || b[0] != formatVersion {
		return nil, Malformed.New("unknown datagram format, want version %d", formatVersion)
	}
	d := &decoder{b: b[1:]}
	m := &message{Incarnation: d.uint64(), Sequence: d.uint32()}
	n := d.uvarint()
	if n > len(d.b) {
		return nil, Malformed.New("datagram of %d bytes truncated: %d bytes left for a name of %d", len(b), len(d.b), n)
	}
	m.Name = string(d.take(n))
	for range d.listLength(4) {
		m.Endpoints.Failing = append(m.Endpoints.Failing, placement.Key(d.uint32()))
	}
	m.Endpoints.Loads = make(map[placement.Key]placement.Load)
	for range d.listLength(6) {
		key := placement.Key(d.uint32())
		m.Endpoints.Loads[key] = placement.Load{Online: d.uvarint(), Batch: d.uvarint(), Firm: d.uvarint()}
	}
	m.Counts = d.counts()
	m.OtherCells = d.counts()
	m.CoveredEntries = d.uvarint()
	m.LogLostFor = time.Duration(d.uvarint()) * time.Millisecond
	m.Uptime = time.Duration(d.uvarint()) * time.Millisecond
	m.Config = Confirmation{Next: int64(d.uvarint()), Age: time.Duration(d.uvarint()) * time.Millisecond}
	flags := d.take(2)
	m.CellTotals, m.Leaving = flags[0] != 0, flags[1] != 0
	m.Endpoints.Ramps = d.ramps()
	m.receiverFields = d.receiverFields()
	if d.failed {
		return nil, Malformed.New("datagram of %d bytes truncated or invalid", len(b))
	}
	return m, nil
}
