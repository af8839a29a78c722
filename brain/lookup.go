package brain

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// The look-up of settings, and chance. No decisions: what a new setting means for what is out, Retune decides.

// ramp is what a server may get while it is cold.
type ramp struct{ from, multiple, window, warm float64 }

// said is what the settings say, as last read.
type said struct {
	site                        Site
	prefixes                    []*prefix
	named                       map[string]*prefix
	tenants                     []tenant
	tells                       int     // place of visits held in a report, from 1
	ramp, wanted                ramp    // in force; as said
	leastTarget                 Micros  // of the prefixes'
	topValue, longest, crossing float64 // of their values; client timeout; price of another data centre
}

// need looks up a setting that the module can't do without; read turns its panic into an error.
func need[T any](s *said, name string) T {
	x, ok := s.site[name].(T)
	if !ok {
		panic(fmt.Errorf("settings lack %s", name))
	}
	return x
}
func (s *said) num(name string) float64   { return need[float64](s, name) }
func (s *said) word(name string) string   { return need[string](s, name) }
func (s *said) span(name string) Micros   { return Micros(s.num(name)) }
func (s *said) maybe(name string) float64 { f, _ := s.site[name].(float64); return f }
func (s *said) allows(name string) bool   { ok, _ := s.site[name].(bool); return ok }

// read takes out of the settings what is looked up once. What the module can't do without and they lack is an error
// that names it.
func read(site Site) (s said, err error) {
	defer func() {
		if missing, ok := recover().(error); ok {
			err = missing
		}
	}()
	s.site, s.named = site, map[string]*prefix{}
	for i := range int(s.num("path_prefixes")) {
		s.prefixes = append(s.prefixes, s.prefix(i))
		p := s.prefixes[i]
		s.named[p.name] = p
		if i == 0 || p.target < s.leastTarget {
			s.leastTarget = p.target
		}
		s.topValue, s.longest = max(s.topValue, p.value), max(s.longest, float64(p.timeout))
	}
	s.crossing = s.maybe("tariffs.cross_zone")
	for i := range int(s.maybe("realms")) {
		s.tenants = append(s.tenants, tenant{quota: max(s.num("realms."+strconv.Itoa(i)+".quota_per_s"), 1e-9)})
	}
	for _, needed := range []string{"my_zone", "allowed.conn_idle_us", "allowed.max_backend_fetches", "step_us"} {
		s.num(needed)
	}
	s.ramp = ramp{s.num("obligations.cold_from"), s.num("obligations.fall_multiple"), s.num("obligations.fall_us"),
		s.num("obligations.cold_us")}
	s.wanted = s.ramp
	if s.word("discovery") == "on_request" {
		s.num("obligations.ask_every_us")
	}
	for i := range int(s.maybe("telemetry.fields")) {
		if s.word("telemetry.how") == "inline" && s.word("telemetry.fields."+strconv.Itoa(i)) == "concurrent" {
			s.tells = i + 1
		}
	}
	return s, nil
}

// prefix reads one.
func (s *said) prefix(i int) *prefix {
	at := "path_prefixes." + strconv.Itoa(i) + "."
	p := &prefix{name: strconv.Itoa(i), target: s.span(at + "target_latency_us"), timeout: s.span(at + "client_timeout_us"),
		window: s.span(at + "memory_span_us"), value: s.num(at + "value"), late: s.num(at + "late_value"), effect: s.word(at + "effect"),
		inZone: s.word(at+"group") == "zone", inCell: s.word(at+"group") == "cell", cancel: s.allows("allowed.cancel"),
		copies: s.allows("allowed.may_duplicate"), most: int(s.num("allowed.max_backend_fetches")), step: s.span("step_us")}
	if name, ok := s.site[at+"name"].(string); ok {
		p.name = name
	}
	if s.allows("allowed.retry_after") {
		p.comeBack = Micros(s.maybe("allowed.max_retry_after_us"))
	}
	// Guards against a thin sidecar's first answer that sets the measure of all that follows.
	p.mean, p.seen = float64(p.target)/4, firmness
	return p
}

// Tally tells, for counters, why visits were turned away so far, and how asking went.
func (b *Balancer) Tally() map[string]int { return b.tally }

// Fleet tells, for counters, how many servers are listed, and how many of these are avoided now, by hand or by choice.
func (b *Balancer) Fleet() (listed, avoided int) {
	for _, be := range b.row {
		if be.standing == Gone {
			continue
		}
		listed++
		if be.byHand || be.outUntil != 0 {
			avoided++
		}
	}
	return listed, avoided
}

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (b *Balancer) chance() float64 {
	b.drawn++
	return float64(b.mix(b.seed, b.drawn)>>11) / (1 << 53)
}

// draw takes one of those at hand, by chance, in proportion to what each weighs; nil where none weighs anything.
func (b *Balancer) draw(weigh func(*backend) float64) (drawn *backend) {
	sum := 0.0
	for _, be := range b.scratch {
		if w := weigh(be); w > 0 {
			if sum += w; w == sum || b.chance()*sum < w {
				drawn = be
			}
		}
	}
	return drawn
}

func (b *Balancer) mix(a, c uint64) uint64 {
	var in [16]byte
	binary.BigEndian.PutUint64(in[:], a)
	binary.BigEndian.PutUint64(in[8:], c)
	b.hash.Reset()
	b.hash.Write(in[:])
	return scramble(b.hash.Sum64())
}

// scramble spreads a number's bits: FNV leaves the high bits of near counters alike.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}

// Senders tells how many sidecars may be sending, where the caller hears of it; fewer than the settings say are never counted.
func (b *Balancer) Senders(many int) { b.senders = many }
