package burnpage

import (
	"bytes"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/contract/burn"
)

// Dimensions of a plot.
const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 7 * vg.Centimeter
	barWidth   = 0.6 * vg.Centimeter
)

var page = template.Must(template.New("page").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}pre{background:#f4f4f4;padding:1em;overflow:auto}</style></head><body>
<h1>Service-level burn</h1>
<p>{{.At}}. A burn of 1 uses up the budget exactly by the end of the window.</p>
{{range .Plots}}<h2>{{.Route}}</h2>
{{.SVG}}
{{end}}<pre>{{.Table}}</pre>
</body></html>
`))

// routePlot is the burn plot of one route, as SVG inside HTML.
type routePlot struct {
	Route string
	SVG   template.HTML
}

// HTML writes the report as one self-contained page.
func HTML(w io.Writer, r burn.Report) error {
	var plots []routePlot
	for _, s := range r.Routes {
		svg, err := plotRoute(r, s.Route)
		if err != nil {
			return fmt.Errorf("burnpage: plot of %s: %w", s.Route, err)
		}
		plots = append(plots, routePlot{string(s.Route), svg})
	}
	var table bytes.Buffer
	if err := Table(&table, r); err != nil {
		return err
	}
	return page.Execute(w, struct {
		At    string
		Plots []routePlot
		Table string
	}{r.At.UTC().Format("2006-01-02 15:04:05 MST"), plots, table.String()})
}

// plotRoute draws the burn rates of a route, with a group of bars for each window.
// A rate that was not measured has no bar.
func plotRoute(r burn.Report, route contract.RouteName) (template.HTML, error) {
	p := plot.New()
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Legend.Top = true
	names := make([]string, len(burn.Windows))
	for i, window := range burn.Windows {
		names[i] = windowName(window)
	}
	p.NominalX(names...)
	n := 0
	for _, l := range r.Lines {
		if l.Route != route || l.Account != "" {
			continue
		}
		values := make(plotter.Values, len(l.Burn))
		for i, b := range l.Burn {
			if b != nil {
				values[i] = *b
			}
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return "", err
		}
		bars.Color = plotutil.Color(n)
		bars.Offset = barWidth * vg.Length(n-1)
		p.Add(bars)
		p.Legend.Add(l.Objective.String(), bars)
		n++
	}
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	var svg bytes.Buffer
	if _, err := canvas.WriteTo(&svg); err != nil {
		return "", err
	}
	// SVG inside HTML must have no XML declaration.
	_, body, found := bytes.Cut(svg.Bytes(), []byte("<svg"))
	if !found {
		return "", fmt.Errorf("plot output contains no <svg> element")
	}
	return template.HTML("<svg" + string(body)), nil
}
