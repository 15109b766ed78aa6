package limit

import "time"

// Names of the RPC methods of the limit service.
const (
	MethodTake   = "Limit.Take"
	MethodSettle = "Limit.Settle"
	MethodPing   = "Limit.Ping"
)

// TakeArgs asks the holder of a share for tokens.
type TakeArgs struct {
	Customer string
	Share    int     // from 0
	Amount   float64 // tokens
	Partial  bool    // less than Amount is welcome
	Request  string  // id of the request, for the log; empty unless the asker logs requests
}

// TakeReply grants tokens. A grant may be used once, not before Wait after
// the reply came, and not after GrantLife after the ask was sent.
type TakeReply struct {
	Held    bool    // the answerer holds the share and may mint; else the rest is unset
	Grant   uint64  // 0: nothing was granted
	Tenure  uint64  // of the holder, to be given back in Settle
	Amount  float64 // tokens granted
	Wait    time.Duration
	Left    float64 // tokens that could still be granted now
	Pending float64 // tokens in other grants that were made just now and may come back
	Settle  bool    // an early Settle lets the share refill sooner
}

// SettleArgs ends grants. Unknown grants are ignored.
type SettleArgs struct{ Grants []Settlement }

// Settlement says that a grant was spent, except for Unused tokens.
type Settlement struct {
	Customer string
	Share    int
	Tenure   uint64
	Grant    uint64
	Unused   float64
}

// SettleReply acknowledges a Settle.
type SettleReply struct{}

// PingArgs asks whether the answerer runs.
type PingArgs struct{}

// PingReply says who answered.
type PingReply struct{ ID string } // instance id
