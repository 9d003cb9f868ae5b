// Package capacity works out what the fleet costs at a given size, from slopes
// that were measured by the project's own tests.
//
// # Usage
//
//	figures, err := capacity.Read("figures.json")
//	page := capacity.Page(figures, capacity.TwoYears)
//
// The slopes are measured by go test ./capacity -measure and kept in
// figures.json; docs/CAPACITY.md holds the tables that Page makes of them, and a
// test fails when the two disagree.
package capacity

import (
	"encoding/json"
	"math"
	"os"

	"github.com/cockroachdb/errors"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Slope is a straight line through at least four points.
type Slope struct {
	Name   string  `json:"name"`
	Per    string  `json:"per"`  // what X counts
	Unit   string  `json:"unit"` // of Y
	Points []Point `json:"points"`
	Value  float64 `json:"value"` // of one more X
	Base   float64 `json:"base"`  // at X of zero
	Error  float64 `json:"error"` // standard error of Value
}

// Fit draws the line by least squares.
func Fit(name, per, unit string, points []Point) Slope {
	s := Slope{Name: name, Per: per, Unit: unit, Points: points}
	n := float64(len(points))
	var x, y, xx, xy float64
	for _, p := range points {
		x += p.X
		y += p.Y
		xx += p.X * p.X
		xy += p.X * p.Y
	}
	d := n*xx - x*x
	s.Value = (n*xy - x*y) / d
	s.Base = (y - s.Value*x) / n
	rest := 0.0
	for _, p := range points {
		e := p.Y - s.Base - s.Value*p.X
		rest += e * e
	}
	if n > 2 {
		s.Error = math.Sqrt(rest / (n - 2) * n / d)
	}
	return s
}

// Figures are the measured slopes and the machine they were measured on.
type Figures struct {
	Machine string  `json:"machine"`
	Date    string  `json:"date"`
	Slopes  []Slope `json:"slopes"`
}

// Slope returns the slope of that name.
func (f *Figures) Slope(name string) Slope {
	for _, s := range f.Slopes {
		if s.Name == name {
			return s
		}
	}
	panic(errors.AssertionFailedf("capacity: no slope is called %q", name))
}

// Read reads the figures from a file.
func Read(file string) (*Figures, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "capacity: read figures")
	}
	f := &Figures{}
	if err := json.Unmarshal(b, f); err != nil {
		return nil, errors.Wrapf(err, "capacity: read figures %s", file)
	}
	return f, nil
}

// Size is how large a fleet is.
type Size struct {
	Routers     float64 // the letter's nodes before the servers
	Servers     float64
	Slots       float64 // places of a server, assumed: eight for each accelerator
	Requests    float64 // a second at the peak
	Tokens      float64 // a second at the peak
	Accounts    float64
	Backlogged  float64
	Models      float64
	Halls       float64
	Changes     float64 // of configuration a day
	Degree      float64 // agents a router connects to of each model, chosen
	Aggregators float64 // routers of a hall that sum
	Interval    float64 // seconds between reports
}

// TwoYears is the size that decides the design (source: the users' letter); the
// last three are ours.
var TwoYears = Size{
	Routers: 2400, Servers: 10000, Slots: 64, Requests: 110_000, Tokens: 45_000_000, Accounts: 400, Backlogged: 40,
	Models: 35, Halls: 15, Changes: 8900, Degree: 24, Aggregators: 2, Interval: 2,
}

// Limits of the letter for a node's control.
const (
	LimitCPU    = 4.8 // percent
	LimitMemory = 256 // MB
	LimitBytes  = 10  // KB a second
	LimitReads  = 2000
	LimitWrites = 100
)
