package experiment

import (
	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of a plot's image.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot writes an image of value applied to each sample, with one line for each run.
func Plot(file, title, unit string, runs []*Result, value func(Sample) float64) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "seconds measured"
	p.Y.Label.Text = unit
	p.Legend.Top = true
	var lines []any
	for _, r := range runs {
		points := make(plotter.XYs, len(r.Samples))
		for i, s := range r.Samples {
			points[i] = plotter.XY{X: s.At.Seconds(), Y: value(s)}
		}
		lines = append(lines, r.Scenario.Strategy.Name, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrapf(err, "experiment: plot %s", title)
	}
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return errors.Wrapf(err, "experiment: save %s", file)
	}
	return nil
}
