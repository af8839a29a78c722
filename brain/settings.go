package brain

// settings.go: the look-up of settings, and chance. No decisions: what a new setting means for what is out, Retune decides.

import (
	"encoding/binary"
	"fmt"
	"strconv"
)

// The effects of classes, as the settings call them.
const (
	safe   = "read_like"
	keyed  = "tagged"
	unsafe = "mutating"
)

// slowStart is what a server may get while it is cold: from a part of its capacity on, growing, a multiple of its share in each window.
type slowStart struct {
	from     float64
	multiple float64
	window   float64
	warm     float64 // how long that lasts
}

// settings are those that are in force.
type settings struct {
	all        Settings
	classes    []*class
	classNamed map[string]*class
	tenants    []tenant

	ramp       slowStart // in force
	wantedRamp slowStart // as the settings have it

	reportPlace    int     // of requests held in a server's report, from 1; 0: it has none
	leastTarget    Micros  // of the classes
	topValue       float64 // of the classes
	longestTimeout float64 // of the classes
	crossingPrice  float64 // of an attempt in another zone
}

// need looks up a setting that the module can't do without; readSettings turns its panic into an error.
func need[T any](s *settings, name string) T {
	value, ok := s.all[name].(T)
	if !ok {
		panic(fmt.Errorf("settings lack %s", name))
	}
	return value
}

func (s *settings) number(name string) float64 { return need[float64](s, name) }
func (s *settings) text(name string) string    { return need[string](s, name) }
func (s *settings) span(name string) Micros    { return Micros(s.number(name)) }

// optional is a number that need not be there.
func (s *settings) optional(name string) float64 {
	value, _ := s.all[name].(float64)
	return value
}

// allows tells whether something is there that is true.
func (s *settings) allows(name string) bool {
	value, _ := s.all[name].(bool)
	return value
}

// readSettings takes out of the settings what is looked up once. What the module can't do without and they lack is an error that names it.
func readSettings(all Settings) (s settings, err error) {
	defer func() {
		if missing, ok := recover().(error); ok {
			err = missing
		}
	}()
	s.all = all
	s.readClasses()
	s.crossingPrice = s.optional("tariffs.cross_zone")
	for i := range int(s.optional("realms")) {
		quota := s.number("realms." + strconv.Itoa(i) + ".quota_per_s")
		s.tenants = append(s.tenants, tenant{quota: max(quota, leastQuota)})
	}
	for _, needed := range []string{"my_zone", "allowed.conn_idle_us", "allowed.max_backend_fetches", "step_us"} {
		s.number(needed)
	}
	s.ramp = slowStart{from: s.number("obligations.cold_from"), multiple: s.number("obligations.fall_multiple"),
		window: s.number("obligations.fall_us"), warm: s.number("obligations.cold_us")}
	s.wantedRamp = s.ramp
	if s.text("discovery") == "on_request" {
		s.number("obligations.ask_every_us")
	}
	for i := range int(s.optional("telemetry.fields")) {
		if s.text("telemetry.how") == "inline" && s.text("telemetry.fields."+strconv.Itoa(i)) == "concurrent" {
			s.reportPlace = i + 1
		}
	}
	return s, nil
}

// readClasses reads all classes, and what is least or most of them.
func (s *settings) readClasses() {
	s.classNamed = map[string]*class{}
	for i := range int(s.number("path_prefixes")) {
		read := s.readClass(i)
		s.classes = append(s.classes, read)
		s.classNamed[read.name] = read
		if i == 0 || read.target < s.leastTarget {
			s.leastTarget = read.target
		}
		s.topValue = max(s.topValue, read.value)
		s.longestTimeout = max(s.longestTimeout, float64(read.timeout))
	}
}

// readClass reads one.
func (s *settings) readClass(i int) *class {
	at := "path_prefixes." + strconv.Itoa(i) + "."
	read := &class{
		name:         strconv.Itoa(i),
		effect:       s.text(at + "effect"),
		target:       s.span(at + "target_latency_us"),
		timeout:      s.span(at + "client_timeout_us"),
		keyWindow:    s.span(at + "memory_span_us"),
		clockStep:    s.span("step_us"),
		value:        s.number(at + "value"),
		lateValue:    s.number(at + "late_value"),
		inZone:       s.text(at+"group") == "zone",
		inCell:       s.text(at+"group") == "cell",
		cancel:       s.allows("allowed.cancel"),
		mayDuplicate: s.allows("allowed.may_duplicate"),
		mostAttempts: int(s.number("allowed.max_backend_fetches")),
	}
	if name, ok := s.all[at+"name"].(string); ok {
		read.name = name
	}
	if s.allows("allowed.retry_after") {
		read.mostRetryAfter = Micros(s.optional("allowed.max_retry_after_us"))
	}
	// A prior: the first answer must not set the measure of all that follows.
	read.meanLatency = float64(read.target) / 4
	read.answers = priorRequests
	return read
}

// Tally tells, for counters, why requests were rejected so far, and how asking went.
func (b *Balancer) Tally() map[string]int { return b.tally }

// Fleet tells, for counters, how many servers are listed, and how many of these are avoided now, by hand or by choice.
func (b *Balancer) Fleet() (listed, avoided int) {
	for _, server := range b.listed {
		if server.standing == Gone {
			continue
		}
		listed++
		if server.takenOut || server.ejectedUntil != 0 {
			avoided++
		}
	}
	return listed, avoided
}

// Senders tells how many sidecars may be sending, where the caller hears of it; fewer than the settings say are never counted.
func (b *Balancer) Senders(many int) { b.senders = many }

// chance draws a number from 0 up to 1 out of the seed and a counter.
func (b *Balancer) chance() float64 {
	b.draws++
	return float64(b.hashOf(b.seed, b.draws)>>11) / (1 << 53)
}

// jitter is a span that is longer or shorter by up to a quarter.
func (b *Balancer) jitter(span Micros) Micros { return Micros(float64(span) * (0.75 + b.chance()/2)) }

// draw takes one of the candidates by chance, in proportion to what each weighs; nil where none weighs anything.
func (b *Balancer) draw(weigh func(*server) float64) (drawn *server) {
	sum := 0.0
	for _, server := range b.candidates {
		weight := weigh(server)
		if !(weight > 0) {
			continue
		}
		sum += weight
		if weight == sum || b.chance()*sum < weight {
			drawn = server
		}
	}
	return drawn
}

// hashOf hashes two numbers.
func (b *Balancer) hashOf(first, second uint64) uint64 {
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:], first)
	binary.BigEndian.PutUint64(bytes[8:], second)
	b.hash.Reset()
	b.hash.Write(bytes[:])
	return scramble(b.hash.Sum64())
}

// scramble spreads a number's bits: FNV leaves the high bits of near counters alike.
func scramble(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
