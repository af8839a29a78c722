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
	for _, name := range []string{size.ControlCPU, size.Owner + ".cpu", size.Ledger + ".cpu"} {
		g.points[name] = nil
	}
	for _, x := range g.told {
		g.share(x)
	}
}

// share books what control costs at one size, by the shares: of real ones, and of the one with most messages, and of the ledger.
func (g *rig) share(x told) {
	core := func(messages float64) float64 { return g.shares.base + g.shares.message*messages }
	g.add(size.ControlCPU, x.at, spread(len(x.messages), len(x.messages), func(k int) float64 { return core(x.messages[k]) }))
	g.add(size.Owner+".cpu", x.at, size.Point{Mean: core(x.owner)})
	g.add(size.Ledger+".cpu", x.at, size.Point{Mean: core(x.ledger)})
}

// busiest are the messages a second, in and out, of the sidecar that has most, and of the one that has most of tenants.
func busiest(a, b *look, span float64) (owner, ledger float64) {
	tenants := 0.0
	for i := range b.in {
		in, out, all := b.in[i].Less(a.in[i]), b.out[i].Less(a.out[i]), 0.0
		for kind := range in.Messages {
			all += float64(in.Messages[kind]+out.Messages[kind]) / span
		}
		_, of := in.Split()
		if owner = max(owner, all); float64(of[0]) > tenants {
			tenants, ledger = float64(of[0]), all
		}
	}
	return owner, ledger
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

// told is the messages of the real processes at one size, and of those that have most.
type told struct {
	at            size.At
	messages      []float64
	owner, ledger float64
}
