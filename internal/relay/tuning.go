package relay

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ledgespread/internal/site"
)

// read takes over what is kept of a configuration here.
func (r *Relay) read(b *site.Manifest) {
	r.idle, r.grace = b.Span("allowed.conn_idle_us"), b.Span("obligations.stop_sending_within_us")
	r.mostHeld = r.mostEver
	if told := int(b.Figure("allowed.most_held")); told > 0 {
		r.mostHeld = min(r.mostHeld, told)
	}
	r.prefixes = nil
	for i := range int(b.Figure("path_prefixes")) {
		at := "path_prefixes." + strconv.Itoa(i)
		p := &terms{name: at, effect: b.Site[at+".effect"], fetches: int(b.Figure("allowed.max_backend_fetches"))}
		if name, ok := b.Site[at+".name"].(string); ok {
			p.name = name
		}
		if p.effect == "tagged" {
			p.window = time.Duration(b.Span(at+".memory_span_us")) * time.Microsecond
		}
		r.prefixes = append(r.prefixes, p)
	}
	_, longest := b.Timeouts()
	r.names.span = max(r.names.span, longest) // names that are taken stay so for their visits' time
	if r.words != nil {
		r.words.Longest(longest)
	}
	if loads := b.Loads(); !slices.Equal(loads, r.loads) {
		r.loads, r.loadsNow = loads, time.Now()
	}
}

// fresh passes over a load report that may hold other values than the module takes it for now: its fetch began under other settings.
func (r *Relay) fresh(f *flight, load []float64) []float64 {
	if f != nil && f.asked.Before(r.loadsNow) {
		return nil
	}
	return load
}

// Retune takes over new settings in the module's turn, behind all visits that were handed over before, and waits for it. An error
// changes nothing.
func (r *Relay) Retune(b *site.Manifest) error {
	done := make(chan error, 1)
	r.post(func() {
		err := errors.New("it crashed over them") // unless it comes to its end
		defer func() { done <- err }()
		if lacking := r.b.Retune(r.now, b.Site); lacking != nil {
			err = &site.Odd{Name: "settings", Err: lacking}
			return
		}
		r.read(b)
		r.outbound.Retune(r.idle, b.Span("allowed.connect_timeout_us"), r.loads)
		r.watcher.Retune(b.Span("obligations.ask_every_us"), r.grace)
		r.tighten()
		err = nil
	})
	return <-done
}

// tighten has what became stricter count for visits that are out, and calls off what is not yet written of their further fetches:
// the module decides again. Guards against one that was asked for by the old terms, and goes out when its connection is up.
func (r *Relay) tighten() {
	stricter := map[*terms]bool{}
	for _, v := range r.visits {
		if _, seen := stricter[v.on]; !seen && v.on != nil {
			i := slices.IndexFunc(r.prefixes, func(p *terms) bool { return p.name == v.on.name })
			stricter[v.on] = i >= 0 && v.on.tighten(r.prefixes[i])
		}
		for no, f := range v.flights {
			if no > 0 && f != nil && stricter[v.on] {
				f.CancelUnsent()
			}
		}
	}
}

// tighten tells whether anything became stricter.
func (t *terms) tighten(now *terms) bool {
	before := *t
	t.fetches = min(t.fetches, now.fetches)
	switch {
	case t.effect != now.effect && now.effect != "read_like": // also of what is tagged now: it came without a mark
		t.effect, t.window = "mutating", 1 // its further fetches' first byte is always too late
	case t.effect == "tagged" && now.effect == "tagged":
		t.window = min(t.window, now.window)
	}
	return *t != before
}
