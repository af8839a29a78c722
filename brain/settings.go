package brain

// Settings look-up, counters, and random numbers. UpdateSettings decides how changed settings affect
// requests in flight.

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

// slowStart limits the work that a cold server may be sent in each window: multiple x its share x a capacity
// that grows from initialFraction to 1 during the warm-up.
type slowStart struct {
	initialFraction float64 // initial fraction of the capacity
	multiple        float64 // of the server's share
	window          float64 // length of a window, in microseconds
	warmupTime      float64 // duration of the warm-up, in microseconds
}

// settings holds the settings in force, and values derived from them.
type settings struct {
	values      Settings
	classes     []*class
	classByName map[string]*class
	tenants     []tenant

	ramp       slowStart // in force
	wantedRamp slowStart // from the settings; replaces ramp once the windows in progress have ended

	reportIndex    int     // 1-based index of the requests in flight in a server's load report; 0: not reported
	minTarget      Micros  // lowest target latency of the classes
	maxValue       float64 // highest value of the classes
	longestTimeout float64 // longest client timeout of the classes
	crossZoneCost  float64 // cost of an attempt in another zone
}

// required returns a setting that must be present. It panics if the setting is missing or of another type;
// readSettings turns the panic into an error.
func required[T any](s *settings, name string) T {
	value, ok := s.values[name].(T)
	if !ok {
		panic(fmt.Errorf("settings lack %s", name))
	}
	return value
}

func (s *settings) number(name string) float64 { return required[float64](s, name) }
func (s *settings) text(name string) string    { return required[string](s, name) }
func (s *settings) micros(name string) Micros  { return Micros(s.number(name)) }

// optionalNumber returns a number, or 0 if it is missing.
func (s *settings) optionalNumber(name string) float64 {
	value, _ := s.values[name].(float64)
	return value
}

// enabled reports whether a setting is present and true.
func (s *settings) enabled(name string) bool {
	value, _ := s.values[name].(bool)
	return value
}

// readSettings reads the settings that are looked up once. It returns an error that names the setting if a
// required one is missing.
func readSettings(values Settings) (s settings, err error) {
	defer func() {
		if missing, ok := recover().(error); ok {
			err = missing
		}
	}()
	s.values = values
	s.readClasses()
	s.crossZoneCost = s.optionalNumber("tariffs.cross_zone")
	for i := range int(s.optionalNumber("realms")) {
		quota := s.number("realms." + strconv.Itoa(i) + ".quota_per_s")
		s.tenants = append(s.tenants, tenant{quota: max(quota, minQuota)})
	}
	for _, needed := range []string{"my_zone", "allowed.conn_idle_us", "allowed.max_backend_fetches", "step_us"} {
		s.number(needed)
	}
	s.ramp = slowStart{initialFraction: s.number("obligations.cold_from"), multiple: s.number("obligations.fall_multiple"),
		window: s.number("obligations.fall_us"), warmupTime: s.number("obligations.cold_us")}
	s.wantedRamp = s.ramp
	if s.text("discovery") == "on_request" {
		s.number("obligations.ask_every_us")
	}
	for i := range int(s.optionalNumber("telemetry.fields")) {
		if s.text("telemetry.how") == "inline" && s.text("telemetry.fields."+strconv.Itoa(i)) == "concurrent" {
			s.reportIndex = i + 1
		}
	}
	return s, nil
}

// readClasses reads all classes and computes the extremes over them.
func (s *settings) readClasses() {
	s.classByName = map[string]*class{}
	for i := range int(s.number("path_prefixes")) {
		read := s.readClass(i)
		s.classes = append(s.classes, read)
		s.classByName[read.name] = read
		if i == 0 || read.target < s.minTarget {
			s.minTarget = read.target
		}
		s.maxValue = max(s.maxValue, read.value)
		s.longestTimeout = max(s.longestTimeout, float64(read.timeout))
	}
}

// readClass reads one class.
func (s *settings) readClass(i int) *class {
	prefix := "path_prefixes." + strconv.Itoa(i) + "."
	read := &class{
		name:         strconv.Itoa(i),
		effect:       s.text(prefix + "effect"),
		target:       s.micros(prefix + "target_latency_us"),
		timeout:      s.micros(prefix + "client_timeout_us"),
		keyWindow:    s.micros(prefix + "memory_span_us"),
		maxClockSkew: s.micros("step_us"),
		value:        s.number(prefix + "value"),
		lateValue:    s.number(prefix + "late_value"),
		keyInZone:    s.text(prefix+"group") == "zone",
		keyInCell:    s.text(prefix+"group") == "cell",
		mayCancel:    s.enabled("allowed.cancel"),
		mayDuplicate: s.enabled("allowed.may_duplicate"),
		maxAttempts:  int(s.number("allowed.max_backend_fetches")),
	}
	if name, ok := s.values[prefix+"name"].(string); ok {
		read.name = name
	}
	if s.enabled("allowed.retry_after") {
		read.maxRetryAfter = Micros(s.optionalNumber("allowed.max_retry_after_us"))
	}
	// The prior keeps the first answer from determining the mean alone.
	read.meanLatency = float64(read.target) / 4
	read.answers = priorRequests
	return read
}

// Counters returns counters of rejected requests by reason, and of hedges, quotes and cold starts.
func (b *Balancer) Counters() map[string]int { return b.counters }

// ServerCounts returns how many servers are listed, and how many of these are currently taken out of service by
// operators or ejected.
func (b *Balancer) ServerCounts() (listed, avoided int) {
	for _, server := range b.sortedServers {
		if server.state == Gone {
			continue
		}
		listed++
		if server.takenOut || server.ejectedUntil != 0 {
			avoided++
		}
	}
	return listed, avoided
}

// SetActiveSidecars sets how many sidecars may be sending, if the caller knows it. The balancer never assumes fewer
// than the settings say.
func (b *Balancer) SetActiveSidecars(count int) { b.activeSidecars = count }

// SetProcesses sets how many processes of this sidecar may be sending, as during an upgrade. They share the sidecar's part of
// what a cold server may be sent.
func (b *Balancer) SetProcesses(count int) { b.processes = count }

// random returns a pseudo-random number in [0, 1), derived from the seed and a counter.
func (b *Balancer) random() float64 {
	b.randomDraws++
	return float64(b.hashPair(b.seed, b.randomDraws)>>11) / (1 << 53)
}

// jitter lengthens or shortens a time span at random, by up to a quarter.
func (b *Balancer) jitter(span Micros) Micros { return Micros(float64(span) * (0.75 + b.random()/2)) }

// weightedPick returns a random candidate, with a probability proportional to its weight, or nil if no weight
// is positive.
func (b *Balancer) weightedPick(weigh func(*server) float64) (picked *server) {
	sum := 0.0
	for _, server := range b.candidates {
		weight := weigh(server)
		if !(weight > 0) {
			continue
		}
		sum += weight
		if weight == sum || b.random()*sum < weight {
			picked = server
		}
	}
	return picked
}

// hashPair hashes two numbers.
func (b *Balancer) hashPair(first, second uint64) uint64 {
	var bytes [16]byte
	binary.BigEndian.PutUint64(bytes[:], first)
	binary.BigEndian.PutUint64(bytes[8:], second)
	b.hash.Reset()
	b.hash.Write(bytes[:])
	return mixBits(b.hash.Sum64())
}

// mixBits spreads a number's bits, because FNV leaves the high bits of similar inputs alike.
func mixBits(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	return x ^ x>>33
}
