// Package apbench measures how the cost of control grows: with entries, with VMs, with pools.
package apbench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is one measurement.
type Point struct {
	X, Y float64
}

// Slope is a straight line through measurements.
type Slope struct {
	// Name says what was measured, XName what was varied.
	Name, XName string
	Unit        string
	Points      []Point
	// Intercept and Gradient are those of the least-squares line.
	Intercept, Gradient float64
	// R2 is the coefficient of determination.
	R2 float64
}

// NewSlope fits a line by least squares.
func NewSlope(name, xName, unit string, points []Point) Slope {
	s := Slope{Name: name, XName: xName, Unit: unit, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	if spread := n*sumXX - sumX*sumX; spread != 0 {
		s.Gradient = (n*sumXY - sumX*sumY) / spread
	}
	s.Intercept = (sumY - s.Gradient*sumX) / n
	s.R2 = s.determination(sumY / n)
	return s
}

func (s Slope) determination(mean float64) float64 {
	var residual, total float64
	for _, p := range s.Points {
		residual += math.Pow(p.Y-s.At(p.X), 2)
		total += (p.Y - mean) * (p.Y - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// At returns the value of the line.
func (s Slope) At(x float64) float64 { return s.Intercept + s.Gradient*x }

// Write prints slopes as a table in Markdown.
func Write(out io.Writer, slopes []Slope) {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(w, "| measured | unit | against | points | line | R2 |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, s := range slopes {
		points := ""
		for _, p := range s.Points {
			points += fmt.Sprintf("%g: %.4g  ", p.X, p.Y)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g + %.4g x | %.3f |\n", s.Name, s.Unit, s.XName, points, s.Intercept, s.Gradient, s.R2)
	}
	_ = w.Flush()
}
