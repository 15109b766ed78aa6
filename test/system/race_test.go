//go:build race

package system

// raceDetector says that the race detector is on. Its runtime fails an
// internal CHECK on the number of goroutines of all runs together, so only the
// run without faults has it; `go test ./test/system` without it runs all.
const raceDetector = true
