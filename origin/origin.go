// Package origin knows at which software version of which deployment streams began. What
// two versions write does not fit together, so a stream that broke off may go on only
// where this is known. The package does no I/O.
package origin

// Origin says where a stream began.
type Origin struct {
	Deployment string
	Version    string // of the software of the endpoint
}
