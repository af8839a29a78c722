package scale

import (
	"fmt"

	"ledgespread/lab/size"
)

// sample is what one real process used at one size: a core's part, visits and messages (sent and heard) a second. Processes of the
// same visits differ in their messages, since some own servers' counts: that tells the two apart.
type sample struct{ core, visits, messages float64 }

// shares is what a process uses without a visit, for each visit, and for each message.
type shares struct {
	base, visit, message float64 // a core's part, and seconds
	deviation            [3]float64
	n                    int
}

// fitShares finds them by least squares.
func fitShares(samples []sample) (s shares, err error) {
	var points []size.Point
	for _, x := range samples {
		points = append(points, size.Point{At: size.At{"visits": x.visits, "messages": x.messages}, Mean: x.core})
	}
	is, off, err := size.Fit(points, []string{"visits", "messages"})
	if err != nil {
		return s, err
	}
	return shares{is[size.Const], is["visits"], is["messages"], [3]float64{off[size.Const], off["visits"], off["messages"]}, len(samples)}, nil
}

// sampled books the real processes of a size.
func (g *rig) sampled(f *fleet, a, b *look, span float64) (messages []float64) {
	for k := range f.run.Real {
		in, out, m := b.in[k].Less(a.in[k]), b.out[k].Less(a.out[k]), 0.0
		for kind := range in.Messages {
			m += float64(in.Messages[kind]+out.Messages[kind]) / span
		}
		messages = append(messages, m)
		g.samples = append(g.samples, sample{(b.cars[k].cpu - a.cars[k].cpu).Seconds() / span, float64(b.cars[k].visits-a.cars[k].visits) / span, m})
	}
	return messages
}

// control books what control costs at each size by now: all that a process uses without a visit, and its messages.
func (g *rig) control() {
	s, err := fitShares(g.samples)
	if err != nil {
		g.say("processor time: %v", err)
		return
	}
	g.shares = &s
	g.points[size.ControlCPU] = nil
	for _, x := range g.told {
		p := spread(len(x.messages), len(x.messages), func(k int) float64 { return s.base + s.message*x.messages[k] })
		g.add(size.ControlCPU, x.at, p)
	}
}

// toldShares puts the fit into the report.
func (g *rig) toldShares() {
	if g.shares == nil {
		return
	}
	s := *g.shares
	for i, x := range []struct {
		name, what, unit string
		of, times        float64
	}{{"control.cpu_us_a_message", "processor time of a message between sidecars, sent or heard", "us", s.message, 1e6},
		{"visit.cpu_us_without_messages", "processor time of a visit, its messages left out", "us", s.visit, 1e6},
		{"control.cpu_base", "processor time without a visit or a message: beats, the list, membership", "core", s.base, 1}} {
		deviation := s.deviation[[]int{2, 1, 0}[i]]
		g.report.Events = append(g.report.Events, size.Event{Name: x.name, Unit: x.unit, Account: rusage, At: size.At{},
			What:   fmt.Sprintf("%s; by least squares over real processes that differ in both, last is with two standard errors", x.what),
			Median: max(x.of*x.times, 0), Last: max((x.of+2*deviation)*x.times, 0), N: s.n})
	}
}

// told is the messages of the real processes at one size.
type told struct {
	at       size.At
	messages []float64
}
