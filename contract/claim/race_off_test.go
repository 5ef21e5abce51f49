//go:build !race

package claim

// raceDetector says that the tests run several times slower.
const raceDetector = false
