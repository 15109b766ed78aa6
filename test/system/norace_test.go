//go:build !race

package system

// raceDetector reports whether the race detector is on.
const raceDetector = false
