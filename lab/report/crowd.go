package report

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"ledgespread/decide/membership/crowd"
)

// PlotCrowd draws what simulated crowds measured, by their size, a line for each share of messages lost.
func PlotCrowd(all []crowd.Figures, file string) error {
	var plots []*plot.Plot
	for _, what := range []struct {
		name string
		of   func(crowd.Figures) float64
	}{
		{"a death is known to all, s", func(f crowd.Figures) float64 { return float64(f.Known) / 1e6 }},
		{"false deaths a member-minute", func(f crowd.Figures) float64 { return float64(f.False) / f.Minutes }},
		{"bytes/s a member, calm", func(f crowd.Figures) float64 { return f.Bytes }},
		{"memory a member, MiB", func(f crowd.Figures) float64 { return f.Memory / (1 << 20) }},
	} {
		p := plot.New()
		p.Y.Label.Text, p.X.Label.Text = what.name, "members"
		p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		lines, order := map[float64]plotter.XYs{}, []float64{}
		for _, f := range all {
			if f.Known < 0 && len(plots) == 0 { // never, within 30 s
				f.Known = 30_000_000
			}
			if lines[f.Lost] == nil {
				order = append(order, f.Lost)
			}
			lines[f.Lost] = append(lines[f.Lost], plotter.XY{X: float64(f.Members), Y: what.of(f)})
		}
		for i, lost := range order {
			if err := add(p, fmt.Sprintf("%.0f%% lost", 100*lost), lines[lost], colors[i%len(colors)]); err != nil {
				return err
			}
		}
		p.Y.Min = 0
		p.Legend.Top, p.Legend.Left = true, true
		p.Add(plotter.NewGrid())
		plots = append(plots, p)
	}
	return stack(plots, file)
}
