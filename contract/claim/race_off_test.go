//go:build !race

package claim

// raceDetector reports a build with the race detector, under which the tests run
// several times slower.
const raceDetector = false
