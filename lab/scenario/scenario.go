// Package scenario reads the description of a lab run: the fleet, its traffic, a timeline of faults, and the
// results that the run is expected to reach.
//
// A file is TOML and is decoded strictly: an unknown name, a wrong type or an invalid value is an error that gives
// file, line and name. Otherwise a misspelt field would be ignored and the run would test something else.
package scenario

import (
	"slices"

	"ledgespread/lab/clock"
	"ledgespread/strict"
)

// Span is a duration in whole microseconds, written with its unit, such as "150ms".
type Span clock.Micros

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	micros, err := strict.ParseMicros(text)
	*s = Span(micros)
	return err
}

// M returns the duration as clock.Micros.
func (s Span) M() clock.Micros { return clock.Micros(s) }

// Rate is a number per second. A file writes it as "260/s", or as "90/m" for a rate per minute.
type Rate float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.ParsePerSecond(text)
	*r = Rate(x)
	return err
}

// Scenario is the content of one scenario file, after its base and the defaults are applied.
type Scenario struct {
	Name        string         `toml:"name"`
	Base        string         `toml:"base"` // file that fields left out here are taken from; relative to this file's folder
	Description string         `toml:"told"` // one-sentence description
	Seed        uint64         `toml:"seed"`
	Length      Span           `toml:"length"`
	Warmup      Span           `toml:"warmup"` // requests due in it are sent and checked against the rules but left out of the service figures
	Zones       []string       `toml:"zones"`
	Sidecars    Sidecars       `toml:"sidecars"`
	Backends    []Backend      `toml:"backend"`
	Prefixes    []Prefix       `toml:"prefix"`
	Tenants     []Tenant       `toml:"tenant"`
	Traffic     Traffic        `toml:"traffic"`
	Network     Network        `toml:"network"`
	List        List           `toml:"list"`
	Rules       Rules          `toml:"rules"`
	Members     Members        `toml:"members"`
	Machine     Machine        `toml:"machine"`
	Allowed     map[string]any `toml:"allowed"` // sidecar settings that override the lab's defaults, by their configuration names
	Faults      []Fault        `toml:"fault"`
	Expect      Expect         `toml:"expect"`
	File        string         `toml:"-"`
}

// Sidecars describes the sidecars; each runs as a process of its own.
type Sidecars struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"`
}

// Machine describes the machine that the sidecars run on.
type Machine struct {
	CallsFail bool `toml:"calls_fail"` // accept, connect, read and write sometimes return an error that Linux documents for them
}

// Members configures the membership protocol between the sidecars.
type Members struct {
	Every           Span `toml:"probe_every"` // probe interval; 0 turns membership off
	Forget          Span `toml:"forget"`
	ControlMachines int  `toml:"control"` // number of sidecars that are control machines; 0 turns off distributing configurations through members
}

// Backend describes Count identical backends.
type Backend struct {
	Count           int     `toml:"count"`
	Zone            string  `toml:"zone"`
	Model           string  `toml:"model"`
	Cell            int     `toml:"cell"`
	Cores           int     `toml:"cores"`
	Speed           float64 `toml:"speed"`       // microseconds of work that a core does per microsecond
	Queue           int     `toml:"queue"`       // maximum number of waiting requests; further ones are rejected
	Connections     int     `toml:"connections"` // maximum number of open connections; further ones are rejected
	Handshake       Span    `toml:"handshake"`   // extra delay of the first request on a new connection
	HandshakeWork   Span    `toml:"handshake_work"`
	ProbeWork       Span    `toml:"probe_work"`
	ReportEvery     Span    `toml:"report_every"` // interval between load reports
	WarmKeys        int     `toml:"warm_keys"`    // number of keys in the cache
	WarmPart        float64 `toml:"warm_part"`    // fraction of the work that a request for a cached key takes
	RunsAfterCancel bool    `toml:"runs_on"`      // a canceled request that has started keeps running
	SlowQueue       float64 `toml:"slow_queue"`   // waiting requests per core that, lasting for slow_after, make the backend slow
	SlowAfter       Span    `toml:"slow_after"`
	SlowFactor      float64 `toml:"slow_factor"`
	SlowIdle        Span    `toml:"slow_idle"` // the slow state ends after this long mostly idle
	SlowMax         Span    `toml:"slow_most"` // maximum duration of the slow state
}

// Prefix describes the requests to one path prefix.
type Prefix struct {
	Name      string  `toml:"name"`
	Effect    string  `toml:"effect"` // read_like, tagged (repeatable with an idempotency key) or mutating
	Group     string  `toml:"group"`  // backends that remember idempotency keys together: all, zone or cell
	Share     float64 `toml:"share"`
	Work      Span    `toml:"work"` // mean work of a request
	Spread    string  `toml:"work_spread"`
	Shape     float64 `toml:"work_shape"` // shape parameter of the heavy-tailed distribution, over 1; smaller means a heavier tail
	Target    Span    `toml:"target_latency"`
	Timeout   Span    `toml:"client_timeout"`
	Memory    Span    `toml:"memory"` // how long an idempotency key is remembered
	Value     float64 `toml:"value"`
	LateValue float64 `toml:"late_value"`

	RequestBytes int `toml:"request_bytes"` // size of a request's body, except for read_like; 0: a few bytes
}

// Tenant is one of the customers that the requests belong to.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Quota Rate    `toml:"quota"`
}

// Traffic describes the requests of the clients. It is open-loop: requests are sent on schedule, whether or not
// earlier ones have been answered.
type Traffic struct {
	Rate          Rate    `toml:"rate"`
	Shape         string  `toml:"shape"` // poisson, even, bursts or swing
	BurstEvery    Span    `toml:"burst_every"`
	BurstFor      Span    `toml:"burst_for"`
	BurstTimes    float64 `toml:"burst_times"`
	SwingEvery    Span    `toml:"swing_every"`
	SwingBy       float64 `toml:"swing_by"`
	Trace         string  `toml:"trace"` // file of recorded arrivals in place of drawn ones: lines "microseconds prefix tenant key work"
	Keys          int     `toml:"keys"`
	KeySkew       float64 `toml:"key_skew"`
	Hints         bool    `toml:"hints"`   // requests carry their work in the X-Cost header
	Retries       int     `toml:"retries"` // retries by the client itself
	RetryWait     Span    `toml:"retry_wait"`
	Honour        float64 `toml:"honour"`     // fraction of the requests whose client obeys Retry-After
	Impatient     float64 `toml:"impatient"`  // fraction of the requests whose client cancels before its timeout
	MalformedRate Rate    `toml:"rude"`       // rate of malformed requests
	SidecarSkew   float64 `toml:"uneven"`     // 0: equal shares for all sidecars; otherwise sidecar k has weight 1/(1+k)^uneven
	BodyBytes     int     `toml:"body_bytes"` // size of a response body
}

// Network describes the network paths between sidecars and backends.
type Network struct {
	Same          Span `toml:"same"`  // one-way delay within a zone
	Cross         Span `toml:"cross"` // one-way delay between zones
	Spread        Span `toml:"spread"`
	Bandwidth     int  `toml:"bytes_per_s"` // per connection and direction; 0 is unlimited
	Datagrams     Loss `toml:"datagrams"`
	AlwaysProxied bool `toml:"gated"` // run the fault-injection proxies between sidecars and backends even if no fault or delay needs them
}

// Loss sets the fractions of the datagrams between sidecars that are lost, duplicated or delayed.
type Loss struct {
	Lost    float64 `toml:"lost"`
	Doubled float64 `toml:"doubled"`
	Late    float64 `toml:"late"` // delayed by By, so that later datagrams overtake it
	By      Span    `toml:"by"`
}

// List describes the discovery service, which lists the backends.
type List struct {
	Delay Span   `toml:"notice"` // delay until a change of the fleet is in the list
	Mode  string `toml:"mode"`   // on_request or pushed

	FullFraction  float64 `toml:"whole"`    // fraction of the responses to watches that carry the whole list instead of changes
	BatchInterval Span    `toml:"together"` // changes within one interval of this length share a version
}

// Rules holds the limits of the four rules that every run is checked against.
type Rules struct {
	Drain        Span    `toml:"drain_grace"`
	ColdFrom     float64 `toml:"cold_from"`
	Cold         Span    `toml:"cold"`
	FallMultiple float64 `toml:"fall_multiple"`
	Fall         Span    `toml:"fall"`
	AskEvery     Span    `toml:"ask_every"`
	Slack        Span    `toml:"slack"`
	ColdMargin   bool    `toml:"fall_roots"` // limits on a cold backend allow for chance: with N, the expected requests of mean work per window, N + 2√N + 2, below 30 N + 3√N + 3
}

// Fault is an event injected into backends, sidecars, discovery, the network or the traffic; see FaultTargets.
type Fault struct {
	At       Span    `toml:"at"`
	For      Span    `toml:"for"`
	What     string  `toml:"what"`
	Backends any     `toml:"backends"` // a name, a list of names, or a fraction of all such as 0.5
	Sidecars any     `toml:"sidecars"` // as Backends
	Others   any     `toml:"others"`   // the far ends of the paths between sidecars, as Backends; all others if left out
	From     string  `toml:"from"`     // From and To are zones, for network faults
	To       string  `toml:"to"`
	Tenant   string  `toml:"tenant"`
	Times    float64 `toml:"times"`
	By       Span    `toml:"by"`
	Part     float64 `toml:"part"` // probability
	Bytes    int     `toml:"bytes_per_s"`
}

// Expect holds the results that a run must reach. A field that is left out is not checked; the rules always are.
type Expect struct {
	Service      float64 `toml:"service_at_least"`
	Worst        float64 `toml:"worst_second_at_least"`
	WorstTenant  float64 `toml:"worst_tenant_at_least"`
	P99          Span    `toml:"p99_at_most"`
	Bounced      *int    `toml:"bounced_at_most"`
	Errored      *int    `toml:"errored_at_most"`
	Wasted       float64 `toml:"wasted_at_most"`
	BrokenRules  []int   `toml:"broken_rules"` // rules that a deliberately faulty sidecar must break, which tests the lab itself
	WithinShares float64 `toml:"within_share_at_least"`
}

// ScaleTimes scales the length of the run, its bursts and its faults by the factor part, to shorten a run. Durations of
// backends, rules and requests are unchanged.
func (s *Scenario) ScaleTimes(factor float64) {
	scale := func(span *Span) { *span = Span(float64(*span) * factor) }
	scale(&s.Length)
	scale(&s.Warmup)
	scale(&s.Traffic.BurstEvery)
	scale(&s.Traffic.BurstFor)
	scale(&s.Traffic.SwingEvery)
	for i := range s.Faults {
		scale(&s.Faults[i].At)
		scale(&s.Faults[i].For)
	}
}

// MeanWork returns the mean work of a request in microseconds, over all prefixes by their shares.
func (s *Scenario) MeanWork() float64 {
	work, share := 0.0, 0.0
	for _, prefix := range s.Prefixes {
		work, share = work+prefix.Share*float64(prefix.Work), share+prefix.Share
	}
	return work / max(share, 1e-9)
}

// LongestTimeout returns the longest client timeout of any prefix.
func (s *Scenario) LongestTimeout() (longest clock.Micros) {
	for _, prefix := range s.Prefixes {
		longest = max(longest, prefix.Timeout.M())
	}
	return longest
}

// OneWayDelay returns the one-way delay between two zones, without the random part (Spread).
func (n Network) OneWayDelay(from, to string) clock.Micros {
	if from == to {
		return n.Same.M()
	}
	return n.Cross.M()
}

// NeedsMemberLinks reports whether the run needs control over the paths between sidecars: it has membership, or a fault on
// these paths.
func (s *Scenario) NeedsMemberLinks() bool {
	return s.Members.Every > 0 || slices.ContainsFunc(s.Faults, func(fault Fault) bool { return FaultTargets[fault.What] == "ways" })
}

// NeedsFaultProxies reports whether a fault, delay or bandwidth limit needs fault-injection proxies between sidecars and
// backends.
func (s *Scenario) NeedsFaultProxies() bool {
	network := s.Network
	if network.AlwaysProxied || network.Same > 0 || network.Cross > 0 || network.Spread > 0 || network.Bandwidth > 0 {
		return true
	}
	return slices.ContainsFunc(s.Faults, func(fault Fault) bool { return FaultTargets[fault.What] == "network" })
}
