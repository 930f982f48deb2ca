package apbench

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"auburnport/pkg/apcode"
)

const (
	plotWidth  = 14 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// WritePlots writes a PNG file for each fit into dir. Errors carry BadValue.
func WritePlots(dir string, fits []LinearFit) error {
	for _, f := range fits {
		if err := f.writePlot(dir); err != nil {
			return apcode.Wrapf(apcode.BadValue, err, "plot %s", f.Name)
		}
	}
	return nil
}

// writePlot writes a PNG file that shows the points, the line and a grid.
func (f LinearFit) writePlot(dir string) error {
	p := plot.New()
	p.Title.Text = f.Name
	p.X.Label.Text = f.XName
	p.Y.Label.Text = f.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, 0, len(f.Points))
	for _, point := range f.Points {
		points = append(points, plotter.XY{X: point.X, Y: point.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(f.At)
	p.Add(plotter.NewGrid(), scatter, line)
	p.X.Min, p.X.Max = 0, points[len(points)-1].X*1.05
	for _, point := range points {
		p.Y.Max = max(p.Y.Max, point.Y*1.1)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(dir, plotFileName(f.Name)))
}

func plotFileName(name string) string {
	return strings.NewReplacer(" ", "-", ",", "").Replace(name) + ".png"
}
