package experiment

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 20 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes a plot of the goodput by second of arrival to a file. The extension of the
// file (.png, .svg or .pdf) selects the format.
func (r *Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("%s, fault %s, seed %d", r.Workload, r.Fault, r.Seed)
	p.X.Label.Text = "arrival (s)"
	p.Y.Label.Text = "goodput"
	p.Y.Min = 0
	p.Y.Max = 1.05
	p.Legend.Top = false
	var lines []any
	for _, result := range r.Results {
		lines = append(lines, result.Policy, result.goodputPerSecond())
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}

// goodputPerSecond returns the goodput of each second in which requests arrived.
func (m *Measures) goodputPerSecond() (points plotter.XYs) {
	for i, second := range m.Second {
		if s := share(second.Good, second.Sent); s != nil {
			points = append(points, plotter.XY{X: float64(i), Y: *s})
		}
	}
	return points
}
