// Package capacity measures what the processes cost, each at several sizes, and
// fits a line to it. docs/CAPACITY.md works the fits out to the size to design
// for.
package capacity

import (
	"fmt"
	"math"
	"runtime"
	"syscall"
	"time"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: Y at size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a fitted line.
type Slope struct {
	// Name says what was measured, X of what it was measured at several sizes,
	// and Unit in what.
	Name string `json:"name"`
	X    string `json:"x"`
	Unit string `json:"unit"`
	// Base is the value at size 0, PerX the rise for each X, and Error the
	// standard error of PerX.
	Base  float64 `json:"base"`
	PerX  float64 `json:"per_x"`
	Error float64 `json:"error"`
	// Points are the measurements.
	Points []Point `json:"points"`
}

// String gives one line for people.
func (s Slope) String() string {
	return fmt.Sprintf("%-34s %10.2f %s + %.4g ± %.2g %s a %s", s.Name, s.Base, s.Unit, s.PerX, s.Error, s.Unit, s.X)
}

// fit fits a line by least squares.
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

// slopeError is the standard error of the slope.
func slopeError(xs, ys []float64, base, perX float64) float64 {
	mean := stat.Mean(xs, nil)
	var residual, spread float64
	for i, x := range xs {
		residual += math.Pow(ys[i]-base-perX*x, 2)
		spread += math.Pow(x-mean, 2)
	}
	free := float64(len(xs) - 2)
	if free < 1 || spread == 0 {
		return math.NaN()
	}
	return math.Sqrt(residual / free / spread)
}

// cpu gives the processor time that this process has used.
func cpu() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// memory gives the bytes in use on the heap and for stacks after a collection.
func memory() float64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return float64(stats.HeapAlloc + stats.StackInuse)
}

// micros gives a time in microseconds.
func micros(d time.Duration) float64 {
	return float64(d) / float64(time.Microsecond)
}
