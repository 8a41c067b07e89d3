package main

import (
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"threadsail/internal/lab"
)

// drawFleet draws what became of requests by the second, and the new connections at all servers, as a PNG.
func drawFleet(rep lab.FleetReport, title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "second of the run"
	p.Y.Label.Text = "requests, connections"
	p.Legend.Top = true
	series := []struct {
		name  string
		color color.RGBA
		at    func(i int) (float64, bool)
	}{
		{"served", color.RGBA{40, 120, 40, 255}, func(i int) (float64, bool) { return at(rep.Seconds, i, func(c lab.Counts) int { return c.Served }) }},
		{"refused", color.RGBA{200, 140, 0, 255}, func(i int) (float64, bool) { return at(rep.Seconds, i, func(c lab.Counts) int { return c.Refused }) }},
		{"failed", color.RGBA{200, 40, 40, 255}, func(i int) (float64, bool) { return at(rep.Seconds, i, func(c lab.Counts) int { return c.Failed }) }},
		{"lost", color.RGBA{0, 0, 0, 255}, func(i int) (float64, bool) { return at(rep.Seconds, i, func(c lab.Counts) int { return c.Lost }) }},
		{"new connections", color.RGBA{40, 80, 200, 255}, func(i int) (float64, bool) {
			return at(rep.NewBySecond, i, func(n int) int { return n })
		}},
	}
	seconds := int(rep.Length / time.Second) // the one after holds only the answers of the last requests
	for _, s := range series {
		var xy plotter.XYs
		for i := range seconds {
			if v, ok := s.at(i); ok {
				xy = append(xy, plotter.XY{X: float64(i), Y: v})
			}
		}
		line, err := plotter.NewLine(xy)
		if err != nil {
			return err
		}
		line.Color = s.color
		line.Width = vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(s.name, line)
	}
	return p.Save(8*vg.Inch, 4*vg.Inch, path)
}

func at[T any](values []T, i int, of func(T) int) (float64, bool) {
	if i >= len(values) {
		return 0, false
	}
	return float64(of(values[i])), true
}
