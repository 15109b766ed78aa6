package limit

import "encoding/json"

// Record is one record of the stream Stream. For each partition the claim with
// the highest epoch is in force; of several claims with the same epoch it is
// the one at the lowest offset.
type Record struct {
	Claims []Claim `json:"claims"`
}

// Claim assigns a partition to a holder.
type Claim struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Holder    string `json:"holder"` // instance ID
	Addr      string `json:"addr"`   // ip:port at which peers reach the holder
	// Carry is set by the previous holder when it hands the partition over. That
	// holder grants no more tokens of the partition under the tenure that it has
	// closed.
	Carry *Carry `json:"carry,omitempty"`
}

// Encode returns r as JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord decodes a record that Encode encoded.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
