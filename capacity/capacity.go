// Package capacity computes the cost of the control plane for a fleet of a given size,
// from slopes that this package's tests measure.
//
// # Usage
//
//	figures, err := capacity.Read("figures.json")
//	page := capacity.Page(figures, capacity.TwoYears)
//
// The command go test ./capacity -measure measures the slopes and writes them to
// figures.json. docs/CAPACITY.md holds the tables that Page makes of them; a test fails
// when the two differ.
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

// Slope is a straight line fitted to at least four points.
type Slope struct {
	Name   string  `json:"name"`
	Per    string  `json:"per"`  // unit of X
	Unit   string  `json:"unit"` // unit of Y
	Points []Point `json:"points"`
	Value  float64 `json:"value"` // change of Y for one more X
	Base   float64 `json:"base"`  // Y at X of zero
	Error  float64 `json:"error"` // standard error of Value
}

// Fit fits a line to the points by least squares.
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
	residuals := 0.0
	for _, p := range points {
		e := p.Y - s.Base - s.Value*p.X
		residuals += e * e
	}
	if n > 2 {
		s.Error = math.Sqrt(residuals / (n - 2) * n / d)
	}
	return s
}

// Figures holds the measured slopes and the machine they were measured on.
type Figures struct {
	Machine string  `json:"machine"`
	Date    string  `json:"date"`
	Slopes  []Slope `json:"slopes"`
}

// Slope returns the slope with the given name. It panics if there is none.
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

// Size describes a fleet.
type Size struct {
	Routers     float64 // nodes in front of the servers
	Servers     float64
	Slots       float64 // concurrent requests of a server, assumed: eight for each accelerator
	Requests    float64 // a second at peak load
	Tokens      float64 // a second at peak load
	Accounts    float64
	Backlogged  float64
	Models      float64
	Halls       float64
	Changes     float64 // changes of the configuration a day
	Degree      float64 // agents of each model that a router connects to
	Aggregators float64 // routers of a hall that sum its agents' counters
	Interval    float64 // seconds between reports
}

// TwoYears is the fleet size that the design must support, as the users expect it in two
// years. Degree, Aggregators and Interval are design parameters.
var TwoYears = Size{
	Routers: 2400, Servers: 10000, Slots: 64, Requests: 110_000, Tokens: 45_000_000, Accounts: 400, Backlogged: 40,
	Models: 35, Halls: 15, Changes: 8900, Degree: 24, Aggregators: 2, Interval: 2,
}

// Limits that the users set for a node's control traffic and for the platform's store.
const (
	LimitCPU    = 4.8 // percent of a core
	LimitMemory = 256 // MB
	LimitBytes  = 10  // KB a second
	LimitReads  = 2000
	LimitWrites = 100
)
