//go:build race

package placement

// raceDetector reports whether the race detector is on. The replays decide in one
// goroutine, so it finds nothing in them and takes several times as long: .ci/test runs
// them without it.
const raceDetector = true
