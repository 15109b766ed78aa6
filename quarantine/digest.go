// Package quarantine finds requests that crash the endpoints that run them
// and keeps them from being run again, in the whole fleet.
//
// A request is known by a digest of its customer, path and body. When an
// endpoint dies, the requests in flight there become suspects; a suspect runs
// beside no other suspect, so that the next death tells which one it was. At
// two deaths it is quarantined. A suspect that finishes is cleared.
package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"

	"dandelionrelay/pipeline"
)

// Digest identifies a request's content within a customer.
type Digest [16]byte

// DigestOf returns the digest of a request. path includes the query.
func DigestOf(customer, path string, body []byte) Digest {
	h := sha256.New()
	h.Write([]byte(customer))
	h.Write([]byte{0})
	h.Write([]byte(path))
	h.Write([]byte{0})
	h.Write(body)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return Digest(sum[:len(Digest{})])
}

// String returns d in hex.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// MarshalText implements encoding.TextMarshaler.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Digest) UnmarshalText(b []byte) error {
	want := hex.EncodedLen(len(d))
	if len(b) != want {
		return fmt.Errorf("a digest has %d hexadecimal digits, not %d", want, len(b))
	}
	_, err := hex.Decode(d[:], b)
	return err
}

// DigestOfCall returns the digest of a call.
func DigestOfCall(c *pipeline.Call) Digest {
	return DigestOf(c.Customer, c.R.URL.RequestURI(), c.Body)
}
