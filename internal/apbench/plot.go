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

// Plot writes a PNG of each slope into a folder.
func Plot(folder string, slopes []Slope) error {
	for _, s := range slopes {
		if err := s.plot(folder); err != nil {
			return apcode.Wrapf(apcode.BadValue, err, "plot %s", s.Name)
		}
	}
	return nil
}

func (s Slope) plot(folder string) error {
	p := plot.New()
	p.Title.Text = s.Name
	p.X.Label.Text = s.XName
	p.Y.Label.Text = s.Unit
	p.Y.Min = 0
	points := make(plotter.XYs, 0, len(s.Points))
	for _, point := range s.Points {
		points = append(points, plotter.XY{X: point.X, Y: point.Y})
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	line := plotter.NewFunction(s.At)
	p.Add(plotter.NewGrid(), scatter, line)
	p.X.Min, p.X.Max = 0, points[len(points)-1].X*1.05
	for _, point := range points {
		p.Y.Max = max(p.Y.Max, point.Y*1.1)
	}
	return p.Save(plotWidth, plotHeight, filepath.Join(folder, fileName(s.Name)))
}

func fileName(name string) string {
	return strings.NewReplacer(" ", "-", ",", "").Replace(name) + ".png"
}
