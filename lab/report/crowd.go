package report

// crowd.go reports and plots measurements of simulated member groups.

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/lab/size"
)

// datagramHeaderBytes is the size of the headers of a datagram: 20 bytes of IP and 8 of UDP.
const datagramHeaderBytes = 28

// CrowdSlopes fits the traffic and memory per member of simulated groups without loss as slopes over the number of
// members. To the simulated datagrams it adds their headers and the full state exchanges, which the simulation doesn't
// count: each member starts one per `exchange` on average and so also answers one, and each sends both tables (TCP
// headers are left out). Each slope is given for both directions, since members receive as much as they send.
func CrowdSlopes(figures []membersim.Figures, exchange membership.Micros) (*size.Report, error) {
	report := &size.Report{Bound: "none", Stubs: []string{"network and time are simulated", "full exchanges are reckoned: two tables each, both ways, in the mean time between two"}}
	slopes := []struct {
		name, unit, what string
		value            func(membersim.Figures) float64
	}{
		{"membership.messages", "1/s", "datagrams of membership", func(f membersim.Figures) float64 { return f.MessagesPerSecond }},
		{"membership.bytes", "B/s", "datagrams of membership with 28 of headers each, and full exchanges by reckoning", func(f membersim.Figures) float64 {
			return f.BytesPerSecond + datagramHeaderBytes*f.MessagesPerSecond + 2*float64(f.TableBytes)/(float64(exchange)/1e6)
		}},
		{"membership.state_kb", "KB", "memory that a member holds for its table", func(f membersim.Figures) float64 { return f.MemoryBytes / 1000 }},
	}
	for _, slope := range slopes {
		var points []size.Point
		for _, figure := range figures {
			if figure.LossRate == 0 {
				points = append(points, size.Point{At: size.Conditions{"sidecars": float64(figure.Members)}, Mean: slope.value(figure)})
			}
		}
		coefficient, deviation, err := size.Fit(points, []string{"sidecars"})
		if err != nil {
			return nil, fmt.Errorf("%s: %w", slope.name, err)
		}
		names := []string{slope.name + "_in", slope.name + "_out"}
		if slope.unit == "KB" {
			names = []string{slope.name}
		}
		for _, name := range names {
			report.Slopes = append(report.Slopes, size.Slope{Name: name, Unit: slope.unit, What: slope.what, Account: "simulated", Of: []string{"sidecars"}, Coefficient: coefficient, Error: deviation, Points: points})
		}
	}
	for _, figure := range figures {
		if figure.LossRate == 0 && figure.KnownByAll >= 0 {
			report.Events = append(report.Events, size.Event{Name: "membership.death_known", What: "from a death to the first and to the last member that knows of it", Account: "simulated",
				At: size.Conditions{"sidecars": float64(figure.Members)}, Unit: "s", Median: float64(figure.KnownByFirst) / 1e6, Last: float64(figure.KnownByAll) / 1e6, N: figure.Members - 1})
		}
	}
	return report, nil
}

// PlotCrowd plots measurements of simulated groups over their size, with a line for each rate of message loss.
func PlotCrowd(figures []membersim.Figures, file string) error {
	var plots []*plot.Plot
	for _, what := range []struct {
		name string
		of   func(membersim.Figures) float64
	}{
		{"a death is known to all, s", func(f membersim.Figures) float64 { return float64(f.KnownByAll) / 1e6 }},
		{"false deaths a member-minute", func(f membersim.Figures) float64 { return float64(f.FalseDeaths) / f.MemberMinutes }},
		{"bytes/s a member, calm", func(f membersim.Figures) float64 { return f.BytesPerSecond }},
		{"memory a member, MiB", func(f membersim.Figures) float64 { return f.MemoryBytes / (1 << 20) }},
	} {
		chart := plot.New()
		chart.Y.Label.Text, chart.X.Label.Text = what.name, "members"
		chart.X.Scale, chart.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		lines, order := map[float64]plotter.XYs{}, []float64{}
		for _, figure := range figures {
			if figure.KnownByAll < 0 && len(plots) == 0 { // never known to all within the 30 s of the run: plotted as 30 s
				figure.KnownByAll = 30_000_000
			}
			if lines[figure.LossRate] == nil {
				order = append(order, figure.LossRate)
			}
			lines[figure.LossRate] = append(lines[figure.LossRate], plotter.XY{X: float64(figure.Members), Y: what.of(figure)})
		}
		for i, lossRate := range order {
			if err := addLine(chart, fmt.Sprintf("%.0f%% lost", 100*lossRate), lines[lossRate], colors[i%len(colors)]); err != nil {
				return err
			}
		}
		chart.Y.Min = 0
		chart.Legend.Top, chart.Legend.Left = true, true
		chart.Add(plotter.NewGrid())
		plots = append(plots, chart)
	}
	return writeStacked(plots, file)
}
