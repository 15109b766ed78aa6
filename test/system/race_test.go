//go:build race

package system

// raceDetector says that the race detector is on. Its runtime crashed on the
// runs with faults while appends made timers of 0, so only the run without
// faults has it; `go test ./test/system` without it runs all.
const raceDetector = true
