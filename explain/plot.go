package explain

import (
	"strconv"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Size of the image.
const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// Plot draws the number of callers and their outcomes by second into a PNG file.
func (a *Accounting) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "What callers got"
	p.X.Label.Text = "second"
	p.Y.Label.Text = "a second"
	p.Legend.Top = true
	lines := []any{
		"callers", a.series(func(t *Tally) float64 { return float64(t.Callers) }),
		"in time on the first try", a.series(func(t *Tally) float64 { return float64(t.InTime) }),
		"refused beyond the share", a.series(func(t *Tally) float64 { return float64(t.Refused[overShareReason]) }),
		"refused while predicted in time", a.series(func(t *Tally) float64 { return float64(t.RefusedWhileIdle) }),
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "explain: plot")
	}
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "explain: save %s", file)
}

// series returns a value of each second's tally, 0 for seconds in which nothing arrived.
func (a *Accounting) series(value func(*Tally) float64) plotter.XYs {
	last := 0
	for s := range a.Seconds {
		n, err := strconv.Atoi(s)
		if err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "explain: second %q", s)) // keys are made by secondKey
		}
		last = max(last, n)
	}
	points := make(plotter.XYs, last+1)
	for n := range points {
		points[n].X = float64(n)
		if t := a.Seconds[strconv.Itoa(n)]; t != nil {
			points[n].Y = value(t)
		}
	}
	return points
}
