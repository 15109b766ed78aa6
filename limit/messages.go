package limit

import "time"

// Names of the RPC methods of the limit service.
const (
	MethodTake   = "Limit.Take"
	MethodSettle = "Limit.Settle"
	MethodPing   = "Limit.Ping"
)

// TakeArgs are the arguments of Limit.Take, which takes tokens from a share at
// its holder.
type TakeArgs struct {
	Customer string
	Share    int     // index, from 0
	Amount   float64 // tokens to take
	Partial  bool    // a grant of less than Amount is accepted
	Request  string  // request ID, for the log; empty unless the caller logs requests
}

// TakeReply is the reply of Limit.Take. A grant may be used once: not before
// Wait has passed since the reply arrived, and not after GrantTTL has passed
// since the call was sent.
type TakeReply struct {
	Held    bool    // the replying entry holds the share and may grant tokens; if false, the other fields are unset
	Grant   uint64  // ID of the grant; 0 if nothing was granted
	Tenure  uint64  // epoch in which the holder acquired the partition, to be passed to Limit.Settle
	Amount  float64 // tokens granted
	Wait    time.Duration
	Left    float64 // tokens that share.grantable returns; the name is part of the RPC
	Pending float64 // tokens in other grants of the last pendingWindow, which may be returned
	Settle  bool    // settling the grant before it expires lets the share refill sooner
}

// SettleArgs are the arguments of Limit.Settle, which ends grants. Unknown
// grants are ignored.
type SettleArgs struct{ Grants []Settlement }

// Settlement ends one grant, all of whose tokens were spent except for Unused.
type Settlement struct {
	Customer string
	Share    int
	Tenure   uint64
	Grant    uint64
	Unused   float64 // tokens to return to the share
}

// SettleReply is the empty reply of Limit.Settle.
type SettleReply struct{}

// PingArgs are the empty arguments of Limit.Ping, which checks whether an
// entry is running.
type PingArgs struct{}

// PingReply identifies the entry that replied.
type PingReply struct{ ID string } // instance ID
