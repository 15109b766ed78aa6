//go:build !race

package quota

// raceDetector reports whether the race detector is on.
const raceDetector = false
