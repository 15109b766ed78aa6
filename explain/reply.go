package explain

import "time"

// Reply says what an entry would decide about a request or job at Time. Fields that end in
// _ms are milliseconds.
type Reply struct {
	Entry      string    `json:"entry"`
	DataCentre string    `json:"data_centre"`
	Time       time.Time `json:"time"`
	Job        bool      `json:"job"`
	Customer   string    `json:"customer,omitempty"`
	Route      *Route    `json:"route,omitempty"`
	// Refusal is that of the checks before an endpoint is chosen; nil if they pass. What
	// follows them is given in any case, as far as the route is known.
	Refusal   *Refusal   `json:"refusal,omitempty"`
	Rate      *Rate      `json:"rate,omitempty"`    // nil for jobs, and without a limit
	Waiting   string     `json:"waiting,omitempty"` // why this entry starts no item of a job now
	Homes     [][]string `json:"homes,omitempty"`   // of the route and the customer; all lists bind
	Evacuated []string   `json:"evacuated"`         // data centres
	// Targets are the deployments to which the route leads, of which one is drawn by weight.
	Targets   []Target  `json:"targets"`
	Knowledge Knowledge `json:"knowledge"`
}

// Route is the route of the request.
type Route struct {
	ID         string `json:"id"`
	Host       string `json:"host"`
	PathPrefix string `json:"path_prefix"`
	Open       bool   `json:"open"` // requests need no key
}

// Refusal is the error that the caller would get.
type Refusal struct {
	Status       int     `json:"status"`
	Code         string  `json:"code"`
	Message      string  `json:"message"`
	RetryAfterMs float64 `json:"retry_after_ms"` // 0: none; random parts have their means. For a customer over its rate: until the next token; callers are told later times in turn
}

// Rate is the customer's rate at this entry.
type Rate struct {
	PerSecond float64 `json:"per_second"`
	Burst     float64 `json:"burst"`
	Level     float64 `json:"level"` // tokens in the bucket of this entry
	Share     float64 `json:"share"` // of the rate, that this entry may use
	Admitted  bool    `json:"admitted"`
	WaitMs    float64 `json:"wait_ms"` // until a token is due; 0 if admitted
}

// Target is a deployment to which the request may go.
type Target struct {
	Deployment string     `json:"deployment"`
	Share      float64    `json:"share"`             // of the requests of the route
	Refusal    *Refusal   `json:"refusal,omitempty"` // nil: the request is sent to the first candidate, or an item starts there
	Candidates []Endpoint `json:"candidates"`        // the one that is chosen first
	Excluded   []Endpoint `json:"excluded"`          // by ID
}

// Endpoint is an endpoint as the request would find it.
type Endpoint struct {
	ID         string   `json:"id"`
	DataCentre string   `json:"data_centre"`
	Version    string   `json:"version"`
	StartMs    int64    `json:"start_ms"`           // Unix time; 0: unknown
	Reasons    []string `json:"reasons,omitempty"`  // why it is excluded
	RetryMs    float64  `json:"retry_ms,omitempty"` // until a limit, a cold token or a suspension allows a request
	Slots      int      `json:"slots"`
	Online     int      `json:"online"` // requests over all entries, as far as known
	Batch      int      `json:"batch"`
	WaitMs     float64  `json:"wait_ms"`                // expected
	CostMs     float64  `json:"cost_ms"`                // the wait and what is added for another data centre or a ramp
	Slowness   float64  `json:"slowness"`               // relative to the median of the deployment, at least 1
	ColdLeftMs float64  `json:"cold_left_ms,omitempty"` // 0: it is not cold
	Ramp       int      `json:"ramp,omitempty"`         // concurrent requests that its ramp allows; 0: no ramp
}

// Knowledge says how old what the entry knows is.
type Knowledge struct {
	ConfigVersion uint64   `json:"config_version"` // 0: none is known yet
	Config        Feed     `json:"config"`
	Endpoints     Feed     `json:"endpoints"`
	Reports       []Report `json:"reports"` // of other entries
}

// Feed is what the entry follows in the store.
type Feed struct {
	AgeMs  float64 `json:"age_ms"`  // since it was last confirmed; -1: never
	LostMs float64 `json:"lost_ms"` // since the first failed read after that; 0: none has failed
}

// Report is the last report of another entry.
type Report struct {
	Entry    string  `json:"entry"`
	AgeMs    float64 `json:"age_ms"`
	TimedOut bool    `json:"timed_out"` // its loads no longer count
}

// Millis returns d in milliseconds.
func Millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
