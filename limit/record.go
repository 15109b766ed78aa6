package limit

import "encoding/json"

// Record is one entry of the stream Stream. For each partition the record
// with the highest epoch is in force; of several with one epoch it is the one
// at the lowest offset.
type Record struct {
	Claims []Claim `json:"claims"`
}

// Claim gives a partition to a holder.
type Claim struct {
	Partition int    `json:"partition"`
	Epoch     uint64 `json:"epoch"`
	Holder    string `json:"holder"` // instance id
	Addr      string `json:"addr"`   // ip:port of the holder for peers
	// Carry is set by the previous holder when it hands the partition over.
	// It has stopped minting for good.
	Carry *Carry `json:"carry,omitempty"`
}

// Encode returns r as JSON.
func (r *Record) Encode() ([]byte, error) { return json.Marshal(r) }

// DecodeRecord reads what Encode wrote.
func DecodeRecord(b []byte) (*Record, error) {
	var r Record
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, err
	}
	return &r, nil
}
