package main

import (
	"fmt"
	"image/color"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"threadsail/internal/capacity"
	"threadsail/internal/lab"
	"threadsail/internal/lab/scale"
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

// drawScale draws what ordinary poolers send by the size of their fleet, a line for each phase, and what a leading steward sends
// at rest, as a PNG.
func drawScale(rows []capacity.Row, title, path string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "poolers"
	p.Y.Label.Text = "bytes a second sent by one, median of the plays"
	p.Legend.Top, p.Legend.Left = true, true
	add := func(name string, c color.RGBA, dashed bool, fits func(capacity.Row) bool) error {
		var xy plotter.XYs
		for _, r := range rows {
			if r.Figure == "bytes_out" && fits(r) {
				xy = append(xy, plotter.XY{X: float64(r.Size), Y: r.Median})
			}
		}
		if len(xy) == 0 {
			return nil
		}
		line, points, err := plotter.NewLinePoints(xy)
		if err != nil {
			return err
		}
		line.Color, points.Color, line.Width = c, c, vg.Points(1.5)
		if dashed {
			line.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
		}
		p.Add(line, points)
		p.Legend.Add(name, line, points)
		return nil
	}
	for i, phase := range scale.Phases {
		c := []color.RGBA{{120, 120, 120, 255}, {40, 120, 40, 255}, {40, 80, 200, 255}, {140, 60, 180, 255}, {200, 140, 0, 255}, {200, 40, 40, 255}}[i%6]
		for _, kind := range []string{"hollow", "pooler"} {
			if err := add(fmt.Sprint(phase, ", ", kind), c, kind == "pooler", func(r capacity.Row) bool { return r.Phase == phase && r.Role == "pooler" && r.Kind == kind }); err != nil {
				return err
			}
		}
	}
	if err := add("rest, leading steward", color.RGBA{A: 255}, false, func(r capacity.Row) bool { return r.Phase == scale.Rest && r.Role == "leader" }); err != nil {
		return err
	}
	return p.Save(8*vg.Inch, 5*vg.Inch, path)
}
