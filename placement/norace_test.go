//go:build !race

package placement

// raceDetector reports whether the race detector is on.
const raceDetector = false
