// Package faults simulates large failures with up to a thousand sidecars that run the production decision module: the
// loss of a zone or a rack, the failures of an ordinary day, a partition between regions. It checks the balancing rules
// throughout; rule 4, the load of cold servers, by the arrivals that the servers record.
package faults

// terms.go: the parameters of the simulations and their validation.

import (
	_ "embed"
	"slices"

	"ledgespread/lab/sim"
	"ledgespread/strict"
)

// Micros is a time or duration in microseconds.
type Micros = sim.Micros

// Span is a duration that is written with a unit in TOML files.
type Span Micros

// UnmarshalText parses a duration with a unit.
func (s *Span) UnmarshalText(text []byte) error {
	x, err := strict.ParseMicros(text)
	*s = Span(x)
	return err
}

// Micros returns the span in microseconds.
func (s Span) Micros() int64 { return int64(s) }

// Shape describes a service: its servers, the mean service time of a visit and the load of a server.
type Shape struct {
	Servers int     `toml:"servers"`
	Work    Span    `toml:"work"`
	Load    float64 `toml:"load"`
}

// Terms holds all parameters, as in terms.toml.
type Terms struct {
	Sidecars []int   `toml:"sidecars"`
	LoadHigh float64 `toml:"load_high"`
	Service  Shape   `toml:"service"`
	Pool     Shape   `toml:"pool"`
	Fleet    struct {
		Zones        int     `toml:"zones"`
		Regions      int     `toml:"regions"`
		UnevenPart   float64 `toml:"uneven_part"`
		UnevenTimes  float64 `toml:"uneven_times"`
		Queue        int     `toml:"queue"`
		NetworkDelay Span    `toml:"way"`
		MaxListDelay Span    `toml:"told"`
		ReadLike     float64 `toml:"read_like"`
		Tagged       float64 `toml:"tagged"`
	} `toml:"fleet"`
	Settings struct {
		Target       Span    `toml:"target"`
		Timeout      Span    `toml:"timeout"`
		Window       Span    `toml:"window"`
		Group        string  `toml:"group"`
		Fetches      int     `toml:"fetches"`
		ColdFrom     float64 `toml:"cold_from"`
		Cold         Span    `toml:"cold"`
		FallMultiple float64 `toml:"fall_multiple"`
		Fall         Span    `toml:"fall"`
	} `toml:"settings"`
	Times struct {
		Warm         Span    `toml:"warm"`
		Notice       Span    `toml:"notice"`
		Back         Span    `toml:"back"`
		After        Span    `toml:"after"`
		Rack         float64 `toml:"rack"`
		Day          Span    `toml:"day"`
		Failures     float64 `toml:"failures"`
		Replacements float64 `toml:"replacements"`
		Changes      int     `toml:"changes"`
		InForce      Span    `toml:"in_force"`
		Drain        Span    `toml:"drain"`
		Forget       Span    `toml:"forget"`
		Rejoin       Span    `toml:"rejoin"`
		GroupForget  Span    `toml:"group_forget"`
	} `toml:"times"`
	Bound struct {
		Bytes    float64   `toml:"bytes"`
		Sidecars int       `toml:"sidecars"`
		Servers  int       `toml:"servers"`
		Loads    []float64 `toml:"loads"`
	} `toml:"bound"`
}

//go:embed terms.toml
var defaultTerms []byte

// DefaultTerms returns the default terms, which are embedded in the program.
func DefaultTerms() Terms {
	terms, err := Read("terms.toml", defaultTerms)
	if err != nil {
		panic(err) // cannot happen: the file is embedded and TestReadTerms parses it
	}
	return terms
}

// Read parses a file that overrides the default terms. Errors name the file, line and key.
func Read(file string, text []byte) (terms Terms, err error) {
	if err = strict.Decode("terms.toml", defaultTerms, &terms); err != nil {
		return terms, err
	}
	if err = strict.Decode(file, text, &terms); err != nil {
		return terms, err
	}
	if invalid := terms.validate(); invalid != nil {
		return terms, invalid.WithPosition(file, text)
	}
	return terms, nil
}

// validate returns the first invalid value, or nil if all are valid.
func (terms Terms) validate() *strict.FieldError {
	for _, sidecars := range terms.Sidecars {
		if sidecars < 5 || sidecars > 5000 {
			return &strict.FieldError{Name: "sidecars", Reason: "each must lie between 5 and 5000"}
		}
	}
	fleet, settings, times := terms.Fleet, terms.Settings, terms.Times
	for _, check := range []struct {
		wrong            bool
		table, name, why string
	}{
		{len(terms.Sidecars) == 0, "", "sidecars", "must contain at least one number"},
		{!(terms.LoadHigh > terms.Service.Load) || terms.LoadHigh > 1, "", "load_high", "must be more than the service's load, and 1 at most"},
		{terms.Service.Servers < 5 || terms.Service.Servers > 5000, "service", "servers", "must lie between 5 and 5000"},
		{terms.Service.Work <= 0, "service", "work", "must be over 0s"},
		{!(terms.Service.Load > 0) || terms.Service.Load >= 1, "service", "load", "must lie between 0 and 1"},
		{terms.Pool.Servers != 0, "pool", "servers", "must be 0: a pool has as many as sidecars"},
		{terms.Pool.Work <= 0, "pool", "work", "must be over 0s"},
		{!(terms.Pool.Load > 0) || terms.Pool.Load >= 1, "pool", "load", "must lie between 0 and 1"},
		{fleet.Zones < 2 || fleet.Zones > 100, "fleet", "zones", "must lie between 2 and 100"},
		{fleet.Regions < 2 || fleet.Regions > fleet.Zones, "fleet", "regions", "must be at least 2, and no more than the zones"},
		{!(fleet.UnevenPart >= 0) || fleet.UnevenPart > 1, "fleet", "uneven_part", "must lie between 0 and 1"},
		{!(fleet.UnevenTimes >= 1) || fleet.UnevenTimes > 1000, "fleet", "uneven_times", "must lie between 1 and 1000"},
		{fleet.Queue < 1, "fleet", "queue", "must be at least 1"},
		{fleet.NetworkDelay <= 0, "fleet", "way", "must be over 0s"},
		{fleet.MaxListDelay <= 0, "fleet", "told", "must be over 0s"},
		{!(fleet.ReadLike >= 0) || fleet.ReadLike > 1, "fleet", "read_like", "must lie between 0 and 1"},
		{!(fleet.Tagged >= 0) || fleet.ReadLike+fleet.Tagged > 1, "fleet", "tagged", "must lie between 0 and what read_like leaves"},
		{settings.Target <= 0 || settings.Target > settings.Timeout, "settings", "target", "must be over 0s, and no more than the timeout"},
		{settings.Group != "all" && settings.Group != "zone" && settings.Group != "cell", "settings", "group", "must be all, zone or cell"},
		{settings.Fetches < 1 || settings.Fetches > 255, "settings", "fetches", "must lie between 1 and 255"},
		{!(settings.ColdFrom > 0) || settings.ColdFrom > 1, "settings", "cold_from", "must be over 0, and 1 at most"},
		{settings.Cold <= 0, "settings", "cold", "must be over 0s"},
		{!(settings.FallMultiple > 0) || settings.FallMultiple > 100, "settings", "fall_multiple", "must be over 0, and 100 at most"},
		{settings.Fall <= 0, "settings", "fall", "must be over 0s"},
		{times.Warm < 1e6, "times", "warm", "must be at least 1s"},
		{times.Back <= times.Notice+Span(fleet.MaxListDelay), "times", "back", "must be more than notice and told"},
		{times.After < 2e6, "times", "after", "must be at least 2s"},
		{!(times.Rack > 0) || times.Rack > 0.5, "times", "rack", "must be over 0, and 0.5 at most"},
		{times.Day < 10e6, "times", "day", "must be at least 10s"},
		{!(times.Failures >= 0) || times.Failures > 1000, "times", "failures", "must lie between 0 and 1000"},
		{!(times.Replacements >= 0) || times.Replacements > 1000, "times", "replacements", "must lie between 0 and 1000"},
		{times.Changes < 0 || times.Changes > 100_000, "times", "changes", "must lie between 0 and 100000"},
		{times.InForce <= 0, "times", "in_force", "must be over 0s"},
		{times.Drain <= Span(fleet.MaxListDelay), "times", "drain", "must be more than told"},
		{times.Forget < 1e6, "times", "forget", "must be at least 1s"},
		{times.GroupForget < 1e6, "times", "group_forget", "must be at least 1s"},
		{!(terms.Bound.Bytes >= 1000) || terms.Bound.Bytes > 1e6, "bound", "bytes", "must lie between 1000 and 1000000"},
		{terms.Bound.Sidecars < 5 || terms.Bound.Sidecars > 5000, "bound", "sidecars", "must lie between 5 and 5000"},
		{terms.Bound.Servers < 5 || terms.Bound.Servers >= terms.Bound.Sidecars, "bound", "servers", "must be at least 5, and fewer than the sidecars"},
		{len(terms.Bound.Loads) == 0 || slices.Min(terms.Bound.Loads) <= 0 || slices.Max(terms.Bound.Loads) >= 1, "bound", "loads", "must contain at least one value, each between 0 and 1"},
	} {
		if check.wrong {
			return &strict.FieldError{Table: check.table, Name: check.name, Reason: check.why}
		}
	}
	return nil
}
