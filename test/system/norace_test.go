//go:build !race

package system

// raceDetector says that the race detector is on.
const raceDetector = false
