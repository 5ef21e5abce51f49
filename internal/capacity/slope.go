// Package capacity measures processor time, memory and traffic of entries and sidecars at
// several sizes and fits a line to each. The command trefoil-dev capacity calls it;
// docs/CAPACITY.md extrapolates the lines to the design size.
package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement of Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a line fitted to measurements, with its value at size 0 and its increase per X.
type Slope struct {
	// Name is the measured quantity, X the thing whose number was varied, and Unit the
	// unit of the quantity.
	Name string `json:"name"`
	X    string `json:"x"`
	Unit string `json:"unit"`
	// Base is the value at size 0, PerX the increase per X, and Error the standard error
	// of PerX, in Unit per X.
	Base  float64 `json:"base"`
	PerX  float64 `json:"per_x"`
	Error float64 `json:"error"`
	// Points are the measurements.
	Points []Point `json:"points"`
}

// String returns the line as one row of text.
func (s Slope) String() string {
	return fmt.Sprintf("%-34s %10.2f %s + %.4g ± %.2g %s a %s", s.Name, s.Base, s.Unit, s.PerX, s.Error, s.Unit, s.X)
}

// fit fits a line to points by least squares.
func fit(name, x, unit string, points []Point) Slope {
	xs := make([]float64, len(points))
	ys := make([]float64, len(points))
	for i, p := range points {
		xs[i] = p.X
		ys[i] = p.Y
	}
	base, perX := stat.LinearRegression(xs, ys, nil, false)
	return Slope{Name: name, X: x, Unit: unit, Base: base, PerX: perX, Error: slopeError(xs, ys, base, perX), Points: points}
}

// slopeError returns the standard error of the slope; NaN with fewer than three points or
// without different sizes.
func slopeError(xs, ys []float64, base, perX float64) float64 {
	mean := stat.Mean(xs, nil)
	var residual, spread float64
	for i, x := range xs {
		residual += math.Pow(ys[i]-base-perX*x, 2)
		spread += math.Pow(x-mean, 2)
	}
	degreesOfFreedom := float64(len(xs) - 2)
	if degreesOfFreedom < 1 || spread == 0 {
		return math.NaN()
	}
	return math.Sqrt(residual / degreesOfFreedom / spread)
}

// cpuTime returns the processor time that this process has used, user and system; 0 if it
// is not available.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memoryInUse returns the bytes in use on the heap and for stacks after garbage
// collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

func microseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
