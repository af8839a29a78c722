package scale

// The run file: its format, defaults and validation.

import (
	"errors"
	"fmt"
	"os"

	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
	"ledgespread/strict"
)

// Run is a run file. Unknown names and invalid values are errors of the form `file:line: name: reason`.
type Run struct {
	Name        string        `toml:"name"`
	Description string        `toml:"told"`
	Seed        uint64        `toml:"seed"`
	Real        int           `toml:"real"`   // ledgespread processes in each size, among its sidecars
	Silent      int           `toml:"silent"` // further processes that aren't members and send no peer messages; the baseline for the cost of control
	Zones       []string      `toml:"zones"`
	Settle      scenario.Span `toml:"settle"` // maximum wait for membership updates about joins to spread before measuring
	Warmup      scenario.Span `toml:"warmup"`
	Span        scenario.Span `toml:"span"` // measured time of each size
	// For sizes in simulated time; if omitted, the values for sockets apply.
	SimWarmup    scenario.Span `toml:"simulated_warmup"`
	SimSpan      scenario.Span `toml:"simulated_span"`
	Tenants      int           `toml:"tenants"`
	Work         scenario.Span `toml:"work"`  // mean work of a visit, exponentially distributed
	Cores        int           `toml:"cores"` // of each server
	Queue        scenario.Span `toml:"queue"` // maximum work queued before a core
	RoundTrip    scenario.Span `toml:"trip"`  // round trip between a hollow sidecar and a server
	MessageDelay scenario.Span `toml:"way"`   // one-way delay of a message in simulated time
	Members      Members       `toml:"members"`
	Bound        scenario.Rate `toml:"bound"`     // limit on a sidecar's peer messages, sent and received, in bytes per second; 0 means none
	Sizes        []Size        `toml:"size"`      // on sockets
	Simulated    []Size        `toml:"simulated"` // sizes in simulated time, without sockets
	Rates        *Rates        `toml:"rates"`
	Herd         *Herd         `toml:"herd"`
	Deaths       *Deaths       `toml:"deaths"`
	Tolerances   Tolerances    `toml:"within"`
	Partition    *Partition    `toml:"apart"`

	File      string `toml:"-"`
	unbounded bool   // the break "unbounded"
}

// Members holds the membership settings.
type Members struct {
	ProbeInterval    scenario.Span `toml:"probe_every"`
	ExchangeInterval scenario.Span `toml:"exchange_every"`
}

// Size is one fleet size to measure. The last in a list is the largest, which is predicted from the others first.
type Size struct {
	Sidecars int           `toml:"sidecars"`
	Servers  int           `toml:"servers"`
	Visits   scenario.Rate `toml:"visits"` // per sidecar
	Tenants  int           `toml:"tenants"`
}

// Rates is a size on sockets whose sidecars have different rates, assigned round robin, to separate the cost of
// a visit from the cost of control.
type Rates struct {
	Sidecars int             `toml:"sidecars"`
	Servers  int             `toml:"servers"`
	Visits   []scenario.Rate `toml:"visits"`
}

// Herd is a size at which the server list changes, and at which the discovery service fails and all sidecars
// reconnect at once.
type Herd struct {
	Sidecars       int           `toml:"sidecars"`
	Servers        int           `toml:"servers"`
	AnswerTime     scenario.Span `toml:"each"`  // time the service works on each answer; it works on one at a time
	Queue          int           `toml:"queue"` // maximum number of waiting answers; further calls are refused
	Changes        int           `toml:"changes"`
	ChangeInterval scenario.Span `toml:"every"` // interval between changes
	OutageSpan     scenario.Span `toml:"down"`  // how long the service refuses all calls
	RecoverySpan   scenario.Span `toml:"after"` // how long its recovery is observed
}

// Deaths is a size at which many members fail at once and later rejoin.
type Deaths struct {
	Sidecars int           `toml:"sidecars"`
	Dead     int           `toml:"dead"`
	Timeout  scenario.Span `toml:"most"` // maximum wait for all members to detect the failures, and again the returns
}

// Partition is a network partition between two regions of members, in simulated time.
type Partition struct {
	Sidecars      int           `toml:"sidecars"`
	Duration      scenario.Span `toml:"for"`
	DeadRetention scenario.Span `toml:"forget"` // how long members remember a dead member
	Timeout       scenario.Span `toml:"most"`   // maximum wait for the regions to merge again
}

// Tolerances holds the tolerances of the claims, as fractions.
type Tolerances struct {
	Agree   float64 `toml:"agree"`   // maximum difference between hollow and real sidecars
	Predict float64 `toml:"predict"` // maximum difference between the largest size and its prediction
	Account float64 `toml:"account"` // maximum difference between messages sent and messages received or dropped
}

// Read reads a run file.
func Read(file string) (*Run, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse decodes and validates the contents of a run file; file is its name in errors.
func Parse(file string, text []byte) (*Run, error) {
	run := &Run{File: file}
	if err := strict.Decode(file, text, run); err != nil {
		return nil, err
	}
	run.setDefaults()
	if err := run.validate(); err != nil {
		var fieldError *strict.FieldError
		if errors.As(err, &fieldError) {
			return nil, fieldError.WithPosition(file, text)
		}
		return nil, err
	}
	return run, nil
}

// setDefault sets value to a default if it has its zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// setDefaults sets the defaults.
func (r *Run) setDefaults() {
	setDefault(&r.Seed, 1)
	setDefault(&r.Real, 20)
	setDefault(&r.Settle, scenario.Span(40*clock.Second))
	setDefault(&r.Warmup, scenario.Span(3*clock.Second))
	setDefault(&r.Span, scenario.Span(6*clock.Second))
	setDefault(&r.SimWarmup, r.Warmup)
	setDefault(&r.SimSpan, r.Span)
	setDefault(&r.Tenants, 8)
	setDefault(&r.Work, scenario.Span(clock.Milli))
	setDefault(&r.Cores, 8)
	setDefault(&r.Queue, scenario.Span(100*clock.Milli))
	setDefault(&r.RoundTrip, scenario.Span(300))
	setDefault(&r.MessageDelay, scenario.Span(100))
	setDefault(&r.Members.ProbeInterval, scenario.Span(250*clock.Milli))
	setDefault(&r.Members.ExchangeInterval, 120*r.Members.ProbeInterval)
	setDefault(&r.Tolerances.Agree, 0.2)
	setDefault(&r.Tolerances.Predict, 0.15)
	setDefault(&r.Tolerances.Account, 0.005)
	if len(r.Zones) == 0 {
		r.Zones = []string{"a"}
	}
	for _, all := range [][]Size{r.Sizes, r.Simulated} {
		for i := range all {
			setDefault(&all[i].Tenants, r.Tenants)
		}
	}
}

// Limits on a run file's values, set by the fit and by the size of a datagram.
const (
	minSizes    = 4   // smaller sizes needed to fit a slope, besides the largest
	maxTenants  = 124 // tenants whose totals fit into one message between sidecars
	maxSidecars = 10_000
	minReal     = 20
)

// validate validates the run file and returns the first invalid value as an error.
func (r *Run) validate() error {
	var fieldError *strict.FieldError
	check := func(ok bool, table string, at int, name, format string, values ...any) {
		if !ok && fieldError == nil {
			fieldError = &strict.FieldError{Table: table, TableIndex: at, Name: name, Reason: fmt.Sprintf(format, values...)}
		}
	}
	check(r.Name != "", "", 0, "name", "is missing")
	check(r.Real >= minReal, "", 0, "real", "must be at least %d for a comparison with hollow sidecars", minReal)
	check(r.Silent >= 0, "", 0, "silent", "must not be negative")
	check(r.Span >= scenario.Span(clock.Second), "", 0, "span", "must be at least 1s")
	check(len(r.Sizes) > 0 || len(r.Simulated) == 0 && r.Rates == nil, "", 0, "size", "is missing: simulated sizes and rates require sizes on sockets")
	check(len(r.Sizes) > 0 || r.Herd != nil || r.Deaths != nil || r.Partition != nil, "", 0, "size", "is missing, and so are [herd], [deaths] and [apart]: there is nothing to run")
	check(len(r.Sizes) == 0 || len(r.Sizes) > minSizes, "", 0, "size", "%d sizes: a slope needs %d, and the largest that it predicts", len(r.Sizes), minSizes)
	before, _ := r.splitSimulated()
	check(len(r.Simulated) == 0 || len(before) >= minSizes, "", 0, "simulated", "%d sizes with fewer sidecars than the largest: a slope needs %d", len(before), minSizes)
	size := func(table string, i int, fleetSize Size, minimum int) {
		check(fleetSize.Sidecars >= minimum && fleetSize.Sidecars <= maxSidecars, table, i, "sidecars", "must be from %d to %d", minimum, maxSidecars)
		check(fleetSize.Servers >= 1 && fleetSize.Servers <= maxSidecars, table, i, "servers", "must be from 1 to %d", maxSidecars)
		check(fleetSize.Visits >= 0, table, i, "visits", "must not be negative")
		check(fleetSize.Tenants >= 0 && fleetSize.Tenants <= maxTenants, table, i, "tenants", "must be at most %d: their totals are sent in one message", maxTenants)
	}
	for i, fleetSize := range r.Sizes {
		size("size", i, fleetSize, r.Real)
	}
	for i, fleetSize := range r.Simulated {
		size("simulated", i, fleetSize, 2)
	}
	if herd := r.Herd; herd != nil {
		size("herd", 0, Size{Sidecars: herd.Sidecars, Servers: herd.Servers}, r.Real)
		check(herd.Queue > 0 || herd.AnswerTime == 0, "herd", 0, "queue", "must be at least 1 if each is set")
	}
	if deaths := r.Deaths; deaths != nil {
		check(deaths.Sidecars >= r.Real && deaths.Sidecars <= maxSidecars, "deaths", 0, "sidecars", "must be from %d to %d", r.Real, maxSidecars)
		check(deaths.Dead > 0 && deaths.Dead < deaths.Sidecars-r.Real, "deaths", 0, "dead", "must be at least 1 and less than the number of hollow sidecars")
	}
	if partition := r.Partition; partition != nil {
		check(partition.Sidecars >= 2 && partition.Sidecars <= maxSidecars, "apart", 0, "sidecars", "must be from 2 to %d", maxSidecars)
		check(partition.DeadRetention >= 60*r.Members.ProbeInterval, "apart", 0, "forget", "must be at least 60 times probe_every")
		check(partition.Duration > 0 && partition.Timeout > 0, "apart", 0, "for", "for and most must be positive")
	}
	if rates := r.Rates; rates != nil {
		size("rates", 0, Size{Sidecars: rates.Sidecars, Servers: rates.Servers}, r.Real)
		check(len(rates.Visits) > 1 && len(rates.Visits) <= r.Real, "rates", 0, "visits", "must contain from two rates to one per real sidecar")
	}
	for _, tolerance := range []struct {
		name string
		of   float64
	}{{"agree", r.Tolerances.Agree}, {"predict", r.Tolerances.Predict}, {"account", r.Tolerances.Account}} {
		check(tolerance.of > 0 && tolerance.of < 1, "within", 0, tolerance.name, "must be over 0 and under 1")
	}
	if fieldError != nil {
		return fieldError
	}
	return nil
}

// socketSizes returns the sizes of all fleets that run on sockets, each with its mean rate of visits.
func (r *Run) socketSizes() (all []Size) {
	all = append(all, r.Sizes...)
	if r.Rates != nil {
		mean := scenario.Rate(0)
		for _, rate := range r.Rates.Visits {
			mean += rate / scenario.Rate(len(r.Rates.Visits))
		}
		all = append(all, Size{r.Rates.Sidecars, r.Rates.Servers, mean, r.Tenants})
	}
	if r.Herd != nil {
		all = append(all, Size{r.Herd.Sidecars, r.Herd.Servers, 0, r.Tenants})
	}
	if r.Deaths != nil {
		all = append(all, Size{r.Deaths.Sidecars, 20, 0, r.Tenants})
	}
	return all
}
