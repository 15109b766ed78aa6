//go:build race

package processes

// raceDetector reports whether the race detector is on. Under it go test runs other packages
// beside this one, and .ci/test runs the tests with crowds again without both.
const raceDetector = true
