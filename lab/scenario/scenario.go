// Package scenario reads what the lab is to play: fleet, traffic, a timeline of faults, expectations.
//
// A file is TOML and is read strictly: an unknown name, a wrong type or an impossible value is an error with the
// file, the line and the name. Guards against a scenario that proves nothing since a word in it was misspelt.
package scenario

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"

	"ledgespread/lab/clock"
	"ledgespread/strict"
)

// Span is a duration such as "150ms", in whole microseconds.
type Span clock.Micros

func (s *Span) UnmarshalText(text []byte) error {
	micros, err := strict.Span(text)
	*s = Span(micros)
	return err
}

func (s Span) M() clock.Micros { return clock.Micros(s) }

// Rate is a number a second, such as "260/s"; "90/m" counts by the minute.
type Rate float64

func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.Rate(text)
	*r = Rate(x)
	return err
}

// Scenario is one file.
type Scenario struct {
	Name     string         `toml:"name"`
	Base     string         `toml:"base"` // another file, beside this one: what this one leaves out stands there
	Told     string         `toml:"told"` // what it is about, in a sentence
	Seed     uint64         `toml:"seed"`
	Length   Span           `toml:"length"`
	Warmup   Span           `toml:"warmup"` // its visits are sent and judged by the rules, not counted in service
	Zones    []string       `toml:"zones"`
	Sidecars Sidecars       `toml:"sidecars"`
	Backends []Backend      `toml:"backend"`
	Prefixes []Prefix       `toml:"prefix"`
	Tenants  []Tenant       `toml:"tenant"`
	Traffic  Traffic        `toml:"traffic"`
	Network  Network        `toml:"network"`
	List     List           `toml:"list"`
	Rules    Rules          `toml:"rules"`
	Members  Members        `toml:"members"`
	Machine  Machine        `toml:"machine"`
	Allowed  map[string]any `toml:"allowed"` // over the lab's usual ones, as the settings name them
	Faults   []Fault        `toml:"fault"`
	Expect   Expect         `toml:"expect"`
	File     string         `toml:"-"`
}

// Sidecars are the sidecars, a process each.
type Sidecars struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Machine is what sidecars run on.
type Machine struct {
	Fails bool `toml:"calls_fail"` // accepts, connects, reads and writes fail now and then, as Linux documents
}

// Members has the sidecars be members of one group.
type Members struct {
	Every  Span `toml:"probe_every"` // 0: they are not
	Forget Span `toml:"forget"`
	Carry  int  `toml:"control"` // they carry configurations, and so many of them are control machines; 0: they don't
}

// Backend stands for Count backends alike.
type Backend struct {
	Count       int     `toml:"count"`
	Zone        string  `toml:"zone"`
	Model       string  `toml:"model"`
	Cell        int     `toml:"cell"`
	Cores       int     `toml:"cores"`
	Speed       float64 `toml:"speed"`       // work done in a microsecond by a core
	Queue       int     `toml:"queue"`       // visits that may wait; more are turned away
	Connections int     `toml:"connections"` // held at once; more are turned away
	Handshake   Span    `toml:"handshake"`   // a new connection's first visit waits so long
	HandshakeOf Span    `toml:"handshake_work"`
	ProbeWork   Span    `toml:"probe_work"`
	ReportEvery Span    `toml:"report_every"` // how old a load report gets
	WarmKeys    int     `toml:"warm_keys"`    // keys kept warm
	WarmPart    float64 `toml:"warm_part"`    // of the work, for a warm key's visit
	RunsOn      bool    `toml:"runs_on"`      // a visit called off goes on running
	SlowQueue   float64 `toml:"slow_queue"`   // waiting visits a core, for slow_after: the backend turns slow
	SlowAfter   Span    `toml:"slow_after"`
	SlowFactor  float64 `toml:"slow_factor"`
	SlowIdle    Span    `toml:"slow_idle"` // mostly idle for so long ends it
	SlowMost    Span    `toml:"slow_most"` // or so long a time
}

// Prefix is a path prefix.
type Prefix struct {
	Name      string  `toml:"name"`
	Effect    string  `toml:"effect"` // read_like, tagged or mutating
	Group     string  `toml:"group"`  // for tagged ones: all, zone or cell
	Share     float64 `toml:"share"`
	Work      Span    `toml:"work"` // mean
	Spread    string  `toml:"work_spread"`
	Shape     float64 `toml:"work_shape"` // of a heavy tail, over 1
	Target    Span    `toml:"target_latency"`
	Timeout   Span    `toml:"client_timeout"`
	Memory    Span    `toml:"memory"` // for how long a tag is remembered
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`
}

// Tenant is one of those who send.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota Rate    `toml:"quota"`
}

// Traffic is what clients send, by schedule and not by answers.
type Traffic struct {
	Rate        Rate    `toml:"rate"`
	Shape       string  `toml:"shape"` // poisson, even, bursts or swing
	BurstEvery  Span    `toml:"burst_every"`
	BurstFor    Span    `toml:"burst_for"`
	BurstTimes  float64 `toml:"burst_times"`
	SwingEvery  Span    `toml:"swing_every"`
	SwingBy     float64 `toml:"swing_by"`
	Trace       string  `toml:"trace"` // a recorded one: lines "microseconds prefix tenant key work"
	Keys        int     `toml:"keys"`
	KeySkew     float64 `toml:"key_skew"`
	Hints       bool    `toml:"hints"`   // X-Cost tells the work
	Retries     int     `toml:"retries"` // that clients do by themselves
	RetryWait   Span    `toml:"retry_wait"`
	Honour      float64 `toml:"honour"`     // part of the clients that heed Retry-After
	Impatient   float64 `toml:"impatient"`  // part of the visits whose client leaves early
	Rude        Rate    `toml:"rude"`       // messages of rude clients
	SidecarSkew float64 `toml:"uneven"`     // 0: all sidecars get alike; else the weight of place k is 1/(1+k)^uneven
	BodyBytes   int     `toml:"body_bytes"` // of an answer
}

// Network is the path between any two.
type Network struct {
	Same      Span `toml:"same"`  // one way, within a zone
	Cross     Span `toml:"cross"` // between zones
	Spread    Span `toml:"spread"`
	Bandwidth int  `toml:"bytes_per_s"` // of one connection and direction, 0: no bound
	Datagrams Loss `toml:"datagrams"`
	Gated     bool `toml:"gated"` // have gates where nothing asks for them
}

// Loss is what happens to datagrams between sidecars.
type Loss struct {
	Lost    float64 `toml:"lost"`
	Doubled float64 `toml:"doubled"`
	Late    float64 `toml:"late"` // so late that others overtake it
	By      Span    `toml:"by"`
}

// List is the service that knows the backends.
type List struct {
	Notice Span   `toml:"notice"` // a change is known so much later
	Mode   string `toml:"mode"`   // on_request or pushed

	Whole    float64 `toml:"whole"`    // part of the answers to watches that are the whole list
	Together Span    `toml:"together"` // changes within the same span of this length are one version
}

// Rules holds the figures of the four rules.
type Rules struct {
	Drain        Span    `toml:"drain_grace"`
	ColdFrom     float64 `toml:"cold_from"`
	Cold         Span    `toml:"cold"`
	FallMultiple float64 `toml:"fall_multiple"`
	Fall         Span    `toml:"fall"`
	AskEvery     Span    `toml:"ask_every"`
	Slack        Span    `toml:"slack"`
	Roots        bool    `toml:"fall_roots"` // a cold backend bears N + 2√N + 2 visits of mean work in a window, under 30 N + 3√N + 3
}

// Fault is something that happens to backends, sidecars, the list or the network.
type Fault struct {
	At       Span    `toml:"at"`
	For      Span    `toml:"for"`
	What     string  `toml:"what"`
	Backends any     `toml:"backends"` // a name, a list of names, or a part of all such as 0.5
	Sidecars any     `toml:"sidecars"` // the same
	Others   any     `toml:"others"`   // the same, for ways between sidecars: to whom; left out: all others
	From     string  `toml:"from"`     // zones, for the network
	To       string  `toml:"to"`
	Tenant   string  `toml:"tenant"`
	Times    float64 `toml:"times"`
	By       Span    `toml:"by"`
	Part     float64 `toml:"part"` // chance
	Bytes    int     `toml:"bytes_per_s"`
}

// Expect is what must hold; what is left out is not asked for. The rules always are.
type Expect struct {
	Service      float64 `toml:"service_at_least"`
	Worst        float64 `toml:"worst_second_at_least"`
	WorstTenant  float64 `toml:"worst_tenant_at_least"`
	P99          Span    `toml:"p99_at_most"`
	Bounced      *int    `toml:"bounced_at_most"`
	Errored      *int    `toml:"errored_at_most"`
	Wasted       float64 `toml:"wasted_at_most"`
	BrokenRules  []int   `toml:"broken_rules"` // of bad sidecars, for the lab's own proof
	WithinShares float64 `toml:"within_share_at_least"`
}

// Whats are the faults and what each is aimed at.
var Whats = map[string]string{
	"kill": "backends", "kill_cold": "backends", "stall": "backends", "mute": "backends", "errors": "backends", "slow": "backends",
	"share": "backends", "spoil": "backends", "drain": "backends", "leave": "backends", "replace": "backends", "join": "backends",
	"unlist": "backends", "list_anew": "list", "list_odd": "list",
	"sidecar_kill": "sidecars", "sidecar_restart": "sidecars", "sidecar_stall": "sidecars",
	"list_down": "list", "list_late": "list", "list_move": "list", "list_moves": "list", "list_slow": "list", "list_refuse": "list",
	"list_silent": "list", "list_answers_late": "list", "sidecar_end": "sidecars", "crowd": "clients",
	"silence": "network", "cut": "network", "reset": "network", "delay": "network", "refuse": "network", "narrow": "network",
	"wall_back": "machine", "wall_forward": "machine",
	"cut_word": "ways", "part": "ways", "lose": "ways", "double": "ways", "late": "ways", "sidecar_move": "sidecars",
	"flood": "tenant", "surge": "",
}

var lengthy = map[string]bool{"kill_cold": true, "stall": true, "mute": true, "errors": true, "slow": true, "share": true, "spoil": true,
	"sidecar_kill": true, "sidecar_stall": true, "list_down": true, "list_late": true, "list_slow": true, "list_refuse": true, "list_silent": true,
	"list_answers_late": true, "crowd": true, "silence": true, "cut": true, "delay": true, "refuse": true, "narrow": true,
	"cut_word": true, "part": true, "lose": true, "double": true, "late": true,
	"flood": true, "surge": true, "drain": true, "unlist": true, "list_odd": true}

// Read reads a file.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// ReadOver reads a file as if it named another as its base.
func ReadOver(base, file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	if base, err = filepath.Abs(base); err != nil {
		return nil, err
	}
	return parse(file, text, base)
}

// Parse reads the bytes of a file.
func Parse(file string, text []byte) (*Scenario, error) { return parse(file, text, "") }

// Renamed are names that a scenario had once.
func (*Scenario) Renamed() map[string]string {
	return map[string]string{"box": "backend", "boxes": "backends"}
}

func parse(file string, text []byte, base string) (*Scenario, error) {
	s := &Scenario{File: file, Seed: 1}
	if err := strict.Decode(file, text, s); err != nil {
		return nil, err
	}
	if base = cmp.Or(base, s.Base); base != "" {
		under := &Scenario{File: file, Seed: 1}
		if !filepath.IsAbs(base) {
			base = filepath.Join(filepath.Dir(file), base)
		}
		below, err := os.ReadFile(base)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: base: %w", file, strict.Line(text, "", 0, "base"), err)
		}
		if err := strict.Decode(base, below, under); err != nil {
			return nil, err
		}
		if under.Base != "" {
			return nil, fmt.Errorf("%s:%d: base: %s has a base itself", file, strict.Line(text, "", 0, "base"), filepath.Base(base))
		}
		under.Expect = Expect{} // what is expected is each file's own
		if s = under; strict.Decode(file, text, s) != nil {
			return nil, fmt.Errorf("%s: does not fit its base", file)
		}
	}
	s.usual()
	if err := s.possible(); err != nil {
		var odd *strict.Oddity
		if errors.As(err, &odd) {
			return nil, odd.In(file, text)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return s, nil
}

func either[T comparable](x *T, usual T) {
	var zero T
	if *x == zero {
		*x = usual
	}
}

// usual fills in what was left out.
func (s *Scenario) usual() {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	either(&s.Sidecars.Count, 1)
	either(&s.Sidecars.Cores, 1)
	either(&s.Sidecars.MemoryMB, 192)
	either(&s.Sidecars.Sockets, 1024)
	for i := range s.Backends {
		b := &s.Backends[i]
		either(&b.Count, 1)
		either(&b.Zone, s.Zones[0])
		either(&b.Model, "backend")
		either(&b.Cores, 1)
		either(&b.Speed, 1)
		either(&b.Queue, 400)
		either(&b.Connections, 2000)
		either(&b.ReportEvery, Span(500*clock.Milli))
		either(&b.WarmPart, 1)
		either(&b.SlowFactor, 1)
	}
	for i := range s.Prefixes {
		p := &s.Prefixes[i]
		either(&p.Effect, "read_like")
		either(&p.Group, "all")
		either(&p.Share, 1)
		either(&p.Spread, "fixed")
		either(&p.Shape, 2.2)
		either(&p.Value, 1)
		either(&p.Timeout, 5*p.Target)
		either(&p.Memory, p.Timeout)
	}
	either(&s.Traffic.Shape, "poisson")
	either(&s.Traffic.RetryWait, Span(50*clock.Milli))
	either(&s.Traffic.BodyBytes, 64)
	either(&s.List.Mode, "on_request")
	either(&s.Rules.Drain, Span(500*clock.Milli))
	either(&s.Rules.ColdFrom, 0.31)
	either(&s.Rules.Cold, Span(8600*clock.Milli))
	either(&s.Rules.FallMultiple, 3)
	either(&s.Rules.Fall, Span(1500*clock.Milli))
	either(&s.Rules.AskEvery, Span(10*clock.Second))
	either(&s.Rules.Slack, Span(50*clock.Milli))
}

func (s *Scenario) possible() error {
	var odd *strict.Oddity
	check := func(ok bool, table string, at int, name, why string, values ...any) {
		if !ok && odd == nil {
			odd = &strict.Oddity{Table: table, At: at, Name: name, Why: fmt.Sprintf(why, values...)}
		}
	}
	check(s.Name != "", "", 0, "name", "is missing")
	check(s.Length > 0, "", 0, "length", "must be over 0")
	check(s.Warmup < s.Length, "", 0, "warmup", "must be shorter than the length")
	check(s.Sidecars.Count > 0 && s.Sidecars.Count <= 6000, "sidecars", 0, "count", "must be from 1 to 6000")
	check(len(s.Backends) > 0, "", 0, "backend", "is missing: a fleet has at least one [[backend]]")
	check(len(s.Prefixes) > 0, "", 0, "prefix", "is missing: at least one [[prefix]] is asked for")
	for i, b := range s.Backends {
		check(b.Count > 0, "backend", i, "count", "must be over 0")
		check(slices.Contains(s.Zones, b.Zone), "backend", i, "zone", "%q is not among the zones", b.Zone)
		check(b.Cores > 0, "backend", i, "cores", "must be over 0")
		check(b.Speed > 0, "backend", i, "speed", "must be over 0")
		check(b.WarmPart > 0 && b.WarmPart <= 1, "backend", i, "warm_part", "must be over 0 and at most 1")
		check(b.SlowFactor >= 1, "backend", i, "slow_factor", "must be at least 1")
		check(b.SlowQueue == 0 || b.SlowAfter > 0, "backend", i, "slow_after", "is missing, with slow_queue given")
		check(b.SlowQueue == 0 || b.SlowIdle > 0 || b.SlowMost > 0, "backend", i, "slow_queue",
			"a backend that turns slow needs slow_idle or slow_most, or never ends it")
	}
	names := map[string]bool{}
	for i, p := range s.Prefixes {
		check(regexp.MustCompile(`^[a-z][a-z0-9-]*$`).MatchString(p.Name), "prefix", i, "name", "%q is no path prefix", p.Name)
		check(!names[p.Name], "prefix", i, "name", "%q stands twice", p.Name)
		names[p.Name] = true
		check(slices.Contains([]string{"read_like", "tagged", "mutating"}, p.Effect), "prefix", i, "effect",
			"%q is none of read_like, tagged, mutating", p.Effect)
		check(slices.Contains([]string{"all", "zone", "cell"}, p.Group), "prefix", i, "group", "%q is none of all, zone, cell", p.Group)
		check(slices.Contains([]string{"fixed", "exp", "heavy"}, p.Spread), "prefix", i, "work_spread",
			"%q is none of fixed, exp, heavy", p.Spread)
		check(p.Shape > 1, "prefix", i, "work_shape", "must be over 1")
		check(p.Work > 0, "prefix", i, "work", "must be over 0")
		check(p.Target > 0, "prefix", i, "target_latency", "must be over 0")
		check(p.Timeout >= p.Target, "prefix", i, "client_timeout", "must not be under the target latency")
		check(p.LateValue >= 0 && p.LateValue <= 1, "prefix", i, "late_value", "must be from 0 to 1")
	}
	tenants := map[string]bool{"": true}
	for i, t := range s.Tenants {
		check(!tenants[t.Name], "tenant", i, "name", "is missing or stands twice")
		check(t.Share > 0, "tenant", i, "share", "must be over 0")
		tenants[t.Name] = true
	}
	t := s.Traffic
	check(t.Rate > 0 || t.Trace != "", "traffic", 0, "rate", "must be over 0")
	check(slices.Contains([]string{"poisson", "even", "bursts", "swing"}, t.Shape), "traffic", 0, "shape",
		"%q is none of poisson, even, bursts, swing", t.Shape)
	check(t.Shape != "bursts" || t.BurstEvery > t.BurstFor && t.BurstFor > 0 && t.BurstTimes >= 1, "traffic", 0, "shape",
		"bursts needs burst_every over burst_for over 0, and burst_times of at least 1")
	check(t.Shape != "swing" || t.SwingEvery > 0 && t.SwingBy > 0 && t.SwingBy <= 1, "traffic", 0, "shape",
		"swing needs swing_every over 0 and swing_by over 0 and at most 1")
	check(t.Honour >= 0 && t.Honour <= 1, "traffic", 0, "honour", "must be from 0 to 1")
	check(t.Impatient >= 0 && t.Impatient <= 1, "traffic", 0, "impatient", "must be from 0 to 1")
	check(s.List.Mode == "on_request" || s.List.Mode == "pushed", "list", 0, "mode", "%q is neither on_request nor pushed", s.List.Mode)
	check(s.List.Whole >= 0 && s.List.Whole <= 1, "list", 0, "whole", "must be from 0 to 1")
	for i, f := range s.Faults {
		aim, known := Whats[f.What]
		check(known, "fault", i, "what", "%q is no fault", f.What)
		check(f.At < s.Length, "fault", i, "at", "is past the end")
		check(aim != "backends" || f.Backends != nil, "fault", i, "backends", "is missing for %s", f.What)
		check(aim != "sidecars" && aim != "ways" || f.Sidecars != nil, "fault", i, "sidecars", "is missing for %s", f.What)
		check(f.Others == nil || s.aims(f.Others, s.SidecarNames()) == nil, "fault", i, "others", "%v", s.aims(f.Others, s.SidecarNames()))
		check(f.Others == nil || aim == "ways", "fault", i, "others", "has no meaning for %s", f.What)
		check(f.Backends == nil || s.aims(f.Backends, s.BackendNames()) == nil, "fault", i, "backends", "%v", s.aims(f.Backends, s.BackendNames()))
		check(f.Sidecars == nil || s.aims(f.Sidecars, s.SidecarNames()) == nil, "fault", i, "sidecars", "%v", s.aims(f.Sidecars, s.SidecarNames()))
		check(aim != "tenant" || tenants[f.Tenant] && f.Tenant != "", "fault", i, "tenant", "%q is not among the tenants", f.Tenant)
		check(!lengthy[f.What] || f.For > 0, "fault", i, "for", "is missing for %s", f.What)
		check(!slices.Contains([]string{"slow", "share", "flood", "surge", "list_moves", "crowd"}, f.What) || f.Times > 1, "fault", i, "times",
			"must be over 1 for %s", f.What)
		check(!slices.Contains([]string{"delay", "list_late", "late", "list_slow", "list_answers_late", "wall_back", "wall_forward"}, f.What) || f.By > 0, "fault", i, "by", "is missing for %s", f.What)
		check(f.What != "narrow" || f.Bytes > 0, "fault", i, "bytes_per_s", "must be over 0 for narrow")
		check(!slices.Contains([]string{"errors", "spoil", "lose", "double", "late", "list_refuse", "list_silent"}, f.What) || f.Part > 0 && f.Part <= 1, "fault", i, "part",
			"must be over 0 and at most 1 for %s", f.What)
		for _, z := range []string{f.From, f.To} {
			check(z == "" || slices.Contains(s.Zones, z), "fault", i, "from", "%q is not among the zones", z)
		}
	}
	if odd != nil {
		return odd
	}
	return nil
}

// Short has all that is planned happen in this part of the time. What backends, rules and visits take stays.
func (s *Scenario) Short(part float64) {
	cut := func(x *Span) { *x = Span(float64(*x) * part) }
	cut(&s.Length)
	cut(&s.Warmup)
	cut(&s.Traffic.BurstEvery)
	cut(&s.Traffic.BurstFor)
	cut(&s.Traffic.SwingEvery)
	for i := range s.Faults {
		cut(&s.Faults[i].At)
		cut(&s.Faults[i].For)
	}
}

// MeanWork is what a visit takes in the mean.
func (s *Scenario) MeanWork() float64 {
	work, share := 0.0, 0.0
	for _, p := range s.Prefixes {
		work, share = work+p.Share*float64(p.Work), share+p.Share
	}
	return work / max(share, 1e-9)
}

// Longest is the longest client timeout.
func (s *Scenario) Longest() (longest clock.Micros) {
	for _, p := range s.Prefixes {
		longest = max(longest, p.Timeout.M())
	}
	return longest
}

// Way is the delay one way between two zones, without what is spread.
func (n Network) Way(from, to string) clock.Micros {
	if from == to {
		return n.Same.M()
	}
	return n.Cross.M()
}

// BackendNames are the backends', in order: b0, b1, …
func (s *Scenario) BackendNames() (names []string) {
	for _, b := range s.Backends {
		for range b.Count {
			names = append(names, "b"+strconv.Itoa(len(names)))
		}
	}
	return names
}

// SidecarNames are the sidecars': n0, n1, …
func (s *Scenario) SidecarNames() (names []string) {
	for i := range s.Sidecars.Count {
		names = append(names, "n"+strconv.Itoa(i))
	}
	return names
}

func (s *Scenario) aims(at any, names []string) error {
	switch at := at.(type) {
	case string:
		if !slices.Contains(names, at) {
			return fmt.Errorf("there is no %q", at)
		}
	case float64:
		if !(at > 0 && at <= 1) {
			return errors.New("a part is over 0 and at most 1")
		}
	case int64:
		if at != 1 {
			return errors.New("a part is over 0 and at most 1")
		}
	case []any:
		for _, one := range at {
			name, ok := one.(string)
			if !ok || !slices.Contains(names, name) {
				return fmt.Errorf("there is no %v", one)
			}
		}
	default:
		return fmt.Errorf("%v is neither a name, names nor a part", at)
	}
	return nil
}

// Aimed are the names a fault is aimed at; a part takes the first of an order that chance gave.
func Aimed(at any, names, shuffled []string) []string {
	switch at := at.(type) {
	case string:
		return []string{at}
	case float64:
		return shuffled[:max(1, int(at*float64(len(shuffled))+0.5))]
	case int64:
		return names
	case []any:
		var out []string
		for _, one := range at {
			out = append(out, one.(string))
		}
		return out
	}
	return nil
}

// OnWays tells whether any fault is aimed at the ways between sidecars.
func (s *Scenario) OnWays() bool {
	return s.Members.Every > 0 || slices.ContainsFunc(s.Faults, func(f Fault) bool { return Whats[f.What] == "ways" })
}

// OnNetwork tells whether any fault, delay or bound asks for gates between sidecars and backends.
func (s *Scenario) OnNetwork() bool {
	n := s.Network
	if n.Gated || n.Same > 0 || n.Cross > 0 || n.Spread > 0 || n.Bandwidth > 0 {
		return true
	}
	return slices.ContainsFunc(s.Faults, func(f Fault) bool { return Whats[f.What] == "network" })
}
