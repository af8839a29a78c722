package report

// plot.go draws the plots of a run.

import (
	"fmt"
	"image/color"
	"math"
	"os"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

var (
	colors = []color.RGBA{{31, 119, 180, 255}, {255, 127, 14, 255}, {44, 160, 44, 255}, {214, 39, 40, 255}, {148, 103, 189, 255},
		{140, 86, 75, 255}, {227, 119, 194, 255}, {127, 127, 127, 255}, {188, 189, 34, 255}, {23, 190, 207, 255}}
	grey = color.RGBA{150, 150, 150, 255}
)

const maxLegendEntries = 12 // maximum number of backends that are named in the legend

// Plot writes a PNG with plots over time of latency, service and the load of each backend, with events marked.
func (r *Report) Plot(file string) error {
	latency, service, load := plot.New(), plot.New(), plot.New()
	latency.Title.Text = fmt.Sprintf("%s, %s, seed %d", r.Scenario, r.Program, r.Seed)
	latency.Y.Label.Text, service.Y.Label.Text, load.Y.Label.Text = "latency, ms", "service", "visits held"
	load.X.Label.Text = "seconds"
	var p50, p99, served plotter.XYs
	for _, second := range r.Seconds {
		middle := float64(second.At) + 0.5
		if second.P50 > 0 {
			p50 = append(p50, plotter.XY{X: middle, Y: float64(second.P50) / 1000})
			p99 = append(p99, plotter.XY{X: middle, Y: float64(second.P99) / 1000})
		}
		served = append(served, plotter.XY{X: middle, Y: second.Service})
	}
	for _, curve := range []struct {
		on   *plot.Plot
		name string
		line plotter.XYs
		hue  color.RGBA
	}{{latency, "p50", p50, colors[0]}, {latency, "p99", p99, colors[3]}, {service, "service", served, colors[2]}} {
		if err := addLine(curve.on, curve.name, curve.line, curve.hue); err != nil {
			return err
		}
	}
	if len(r.Load) > 0 {
		last := r.Load[len(r.Load)-1]
		for backend := range last.Held {
			var line plotter.XYs
			for _, sample := range r.Load {
				held := math.NaN()
				if backend < len(sample.Held) && sample.Held[backend] >= 0 {
					held = float64(sample.Held[backend])
				}
				if !math.IsNaN(held) {
					line = append(line, plotter.XY{X: float64(sample.At) / 1e6, Y: held})
				}
			}
			name := ""
			if len(last.Held) <= maxLegendEntries {
				name = fmt.Sprintf("backend %d", backend)
			}
			if err := addLine(load, name, line, colors[backend%len(colors)]); err != nil {
				return err
			}
		}
	}
	service.Y.Min, service.Y.Max, latency.Y.Min, load.Y.Min = 0, 1.05, 0, 0
	plots := []*plot.Plot{latency, service, load}
	for _, chart := range plots {
		chart.X.Min, chart.X.Max = 0, float64(r.Length)/1e6
		chart.Add(plotter.NewGrid())
		chart.Legend.Top, chart.Legend.Left = true, true
		for _, mark := range r.Marks {
			at := float64(mark.At) / 1e6
			line, err := plotter.NewLine(plotter.XYs{{X: at, Y: chart.Y.Min}, {X: at, Y: chart.Y.Max}})
			if err != nil {
				return err
			}
			line.Color, line.Dashes = grey, []vg.Length{vg.Points(2), vg.Points(2)}
			chart.Add(line)
		}
	}
	if len(r.Marks) > 0 { // events are labelled in the latency plot only
		var at plotter.XYLabels
		for i, mark := range r.Marks {
			at.XYs = append(at.XYs, plotter.XY{X: float64(mark.At) / 1e6, Y: latency.Y.Max * (1 - 0.07*float64(i%6))})
			at.Labels = append(at.Labels, mark.What)
		}
		names, err := plotter.NewLabels(at)
		if err != nil {
			return err
		}
		latency.Add(names)
	}
	return writeStacked(plots, file)
}

// writeStacked writes a PNG with the plots one below the other.
func writeStacked(plots []*plot.Plot, file string) error {
	imageCanvas := vgimg.New(24*vg.Centimeter, 9*vg.Centimeter*vg.Length(len(plots)))
	canvas := draw.New(imageCanvas)
	tiles := draw.Tiles{Rows: len(plots), Cols: 1, PadY: vg.Millimeter * 4, PadTop: vg.Millimeter * 3, PadBottom: vg.Millimeter * 3,
		PadLeft: vg.Millimeter * 3, PadRight: vg.Millimeter * 6}
	var rows [][]*plot.Plot
	for _, chart := range plots {
		rows = append(rows, []*plot.Plot{chart})
	}
	for i, row := range plot.Align(rows, tiles, canvas) {
		plots[i].Draw(row[0])
	}
	output, err := os.Create(file)
	if err != nil {
		return err
	}
	defer output.Close()
	_, err = vgimg.PngCanvas{Canvas: imageCanvas}.WriteTo(output)
	return err
}

// addLine adds a line to a plot, and to its legend if the line has a name. It does nothing without points.
func addLine(target *plot.Plot, name string, points plotter.XYs, lineColor color.RGBA) error {
	if len(points) == 0 {
		return nil
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	line.Color = lineColor
	target.Add(line)
	if name != "" {
		target.Legend.Add(name, line)
	}
	return nil
}
