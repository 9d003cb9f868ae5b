package capacity

import (
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of the image.
const (
	plotWidth  = 12 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// Plot draws a slope's points and line into a PNG file in a folder.
func Plot(folder string, s Slope) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.Per
	p.Y.Label.Text = s.Unit
	points := make(plotter.XYs, len(s.Points))
	for i, p := range s.Points {
		points[i] = plotter.XY{X: p.X, Y: p.Y}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return errors.Wrapf(err, "capacity: plot %s", s.Name)
	}
	line := plotter.NewFunction(func(x float64) float64 { return s.Base + s.Value*x })
	line.XMin, line.XMax = 0, points[len(points)-1].X
	p.Add(scatter, line)
	file := filepath.Join(folder, strings.ReplaceAll(s.Name, " ", "-")+".png")
	return errors.Wrapf(p.Save(plotWidth, plotHeight, file), "capacity: save %s", file)
}
