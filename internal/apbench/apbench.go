// Package apbench measures how the cost of the control plane grows with the number of entries, VMs and services.
// It fits a line to each series of measurements.
package apbench

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"
)

// Point is one measurement: Y was measured at the size X.
type Point struct {
	X, Y float64
}

// LinearFit is a series of measurements and the least-squares line through them.
type LinearFit struct {
	// Name says what was measured, XName what was varied.
	Name, XName string
	// Unit is the unit of the measured values.
	Unit   string
	Points []Point
	// Intercept and Slope define the line: y = Intercept + Slope * x.
	Intercept, Slope float64
	// R2 is the coefficient of determination.
	R2 float64
}

// FitLine fits a line to points by least squares.
func FitLine(name, xName, unit string, points []Point) LinearFit {
	f := LinearFit{Name: name, XName: xName, Unit: unit, Points: points}
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.X
		sumY += p.Y
		sumXX += p.X * p.X
		sumXY += p.X * p.Y
	}
	if denominator := n*sumXX - sumX*sumX; denominator != 0 {
		f.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	f.Intercept = (sumY - f.Slope*sumX) / n
	f.R2 = f.rSquared(sumY / n)
	return f
}

// rSquared returns the coefficient of determination, and 1 when all measured values are equal. mean is the mean
// of the measured values.
func (f LinearFit) rSquared(mean float64) float64 {
	var residual, total float64
	for _, p := range f.Points {
		residual += math.Pow(p.Y-f.At(p.X), 2)
		total += (p.Y - mean) * (p.Y - mean)
	}
	if total == 0 {
		return 1
	}
	return 1 - residual/total
}

// At returns the value of the line at x.
func (f LinearFit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// WriteTable writes the measurements and their lines as a Markdown table.
func WriteTable(out io.Writer, fits []LinearFit) {
	w := tabwriter.NewWriter(out, 0, 0, 1, ' ', 0)
	_, _ = fmt.Fprintln(w, "| measured | unit | against | points | line | R2 |")
	_, _ = fmt.Fprintln(w, "| --- | --- | --- | --- | --- | --- |")
	for _, f := range fits {
		points := ""
		for _, p := range f.Points {
			points += fmt.Sprintf("%g: %.4g  ", p.X, p.Y)
		}
		_, _ = fmt.Fprintf(w, "| %s | %s | %s | %s | %.4g + %.4g x | %.3f |\n", f.Name, f.Unit, f.XName, points, f.Intercept, f.Slope, f.R2)
	}
	_ = w.Flush()
}
