package report

// slopes.go plots measurements against fitted slopes.

import (
	"fmt"
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"ledgespread/lab/size"
)

// plottedSlopes lists the names of the slopes to plot, where a report has them.
var plottedSlopes = []string{"peers.bytes_out", "sockets.peers.bytes_out", "membership.messages_out", "list.messages_out", "control.cpu", "memory.idle_mb"}

// PlotSlopes plots each measured value against the one that its slope predicts: a point on the diagonal was predicted
// exactly. The largest size, which the fit leaves out, has a color of its own.
func PlotSlopes(report *size.Report, file string) error {
	var plots []*plot.Plot
	for _, name := range plottedSlopes {
		slope, found := report.Slope(name)
		if !found {
			continue
		}
		chart := plot.New()
		chart.Title.Text = slope.Name + ", " + slope.Unit
		chart.X.Label.Text, chart.Y.Label.Text = "by the slope", "measured"
		var small, largest plotter.XYs
		maximum := 0.0
		for _, measured := range slope.Points {
			predicted, _, err := slope.Predict(measured.At)
			if err != nil {
				return err
			}
			point := plotter.XY{X: predicted, Y: measured.Mean}
			if maximum = max(maximum, predicted, measured.Mean); slope.Largest != nil && measured.At["sidecars"] == slope.Largest.At["sidecars"] {
				largest = append(largest, point)
			} else {
				small = append(small, point)
			}
		}
		if err := addLine(chart, "foretold", plotter.XYs{{}, {X: maximum, Y: maximum}}, grey); err != nil {
			return err
		}
		for _, group := range []struct {
			name string
			at   plotter.XYs
			hue  color.RGBA
		}{{"smaller sizes", small, colors[0]}, {"as many sidecars as the largest, run after the prediction", largest, colors[3]}} {
			if len(group.at) == 0 {
				continue
			}
			dots, err := plotter.NewScatter(group.at)
			if err != nil {
				return err
			}
			dots.GlyphStyle = draw.GlyphStyle{Color: group.hue, Radius: vg.Points(4), Shape: draw.CircleGlyph{}}
			chart.Add(dots)
			chart.Legend.Add(group.name, dots)
		}
		chart.Legend.Top, chart.Legend.Left = true, true
		chart.Add(plotter.NewGrid())
		plots = append(plots, chart)
	}
	if len(plots) == 0 {
		return fmt.Errorf("the report has none of the slopes %v", plottedSlopes)
	}
	return writeStacked(plots, file)
}
