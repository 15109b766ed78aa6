//go:build race

package system

// raceDetector reports whether the race detector is on. Its runtime crashed in the
// simulations with faults when appends created timers of duration 0, so with it
// TestInvariants_HoldUnderFaults runs only the simulation without faults;
// `go test ./test/system` without -race runs all.
const raceDetector = true
