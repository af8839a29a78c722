package scenario

// read.go reads a scenario from its file, merges it with its base and fills in defaults.

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"ledgespread/lab/clock"
	"ledgespread/strict"
)

// Read reads and validates the scenario in a file.
func Read(file string) (*Scenario, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// ReadOver reads a scenario and uses base as its base file, whichever base the file names itself.
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

// Parse reads a scenario from text. File is used in errors and to resolve a relative base path.
func Parse(file string, text []byte) (*Scenario, error) { return parse(file, text, "") }

// Renamed maps field names of earlier versions to the current ones, so that an error can name the replacement.
func (*Scenario) Renamed() map[string]string {
	return map[string]string{"box": "backend", "boxes": "backends"}
}

func parse(file string, text []byte, base string) (*Scenario, error) {
	parsed := &Scenario{File: file, Seed: 1}
	if err := strict.Decode(file, text, parsed); err != nil {
		return nil, err
	}
	if base = cmp.Or(base, parsed.Base); base != "" {
		baseScenario := &Scenario{File: file, Seed: 1}
		if !filepath.IsAbs(base) {
			base = filepath.Join(filepath.Dir(file), base)
		}
		baseText, err := os.ReadFile(base)
		if err != nil {
			return nil, fmt.Errorf("%s:%d: base: %w", file, strict.FindLine(text, "", 0, "base"), err)
		}
		if err := strict.Decode(base, baseText, baseScenario); err != nil {
			return nil, err
		}
		if baseScenario.Base != "" {
			return nil, fmt.Errorf("%s:%d: base: %s has a base itself", file, strict.FindLine(text, "", 0, "base"), filepath.Base(base))
		}
		baseScenario.Expect = Expect{} // expectations are not inherited from the base
		if parsed = baseScenario; strict.Decode(file, text, parsed) != nil {
			return nil, fmt.Errorf("%s: can't be merged with its base", file)
		}
	}
	parsed.applyDefaults()
	if err := parsed.validate(); err != nil {
		var fieldError *strict.FieldError
		if errors.As(err, &fieldError) {
			return nil, fieldError.WithPosition(file, text)
		}
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return parsed, nil
}

// setDefault sets a field to a default value if the field is zero.
func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// applyDefaults sets the default of every field that the file leaves out.
func (s *Scenario) applyDefaults() {
	if len(s.Zones) == 0 {
		s.Zones = []string{"a"}
	}
	setDefault(&s.Sidecars.Count, 1)
	setDefault(&s.Sidecars.Cores, 1)
	setDefault(&s.Sidecars.MemoryMB, 192)
	setDefault(&s.Sidecars.Sockets, 1024)
	for i := range s.Backends {
		backend := &s.Backends[i]
		setDefault(&backend.Count, 1)
		setDefault(&backend.Zone, s.Zones[0])
		setDefault(&backend.Model, "backend")
		setDefault(&backend.Cores, 1)
		setDefault(&backend.Speed, 1)
		setDefault(&backend.Queue, 400)
		setDefault(&backend.Connections, 2000)
		setDefault(&backend.ReportEvery, Span(500*clock.Milli))
		setDefault(&backend.WarmPart, 1)
		setDefault(&backend.SlowFactor, 1)
	}
	for i := range s.Prefixes {
		prefix := &s.Prefixes[i]
		setDefault(&prefix.Effect, "read_like")
		setDefault(&prefix.Group, "all")
		setDefault(&prefix.Share, 1)
		setDefault(&prefix.Spread, "fixed")
		setDefault(&prefix.Shape, 2.2)
		setDefault(&prefix.Value, 1)
		setDefault(&prefix.Timeout, 5*prefix.Target)
		setDefault(&prefix.Memory, prefix.Timeout)
	}
	setDefault(&s.Traffic.Shape, "poisson")
	setDefault(&s.Traffic.RetryWait, Span(50*clock.Milli))
	setDefault(&s.Traffic.BodyBytes, 64)
	setDefault(&s.List.Mode, "on_request")
	setDefault(&s.Rules.Drain, Span(500*clock.Milli))
	setDefault(&s.Rules.ColdFrom, 0.31)
	setDefault(&s.Rules.Cold, Span(8600*clock.Milli))
	setDefault(&s.Rules.FallMultiple, 3)
	setDefault(&s.Rules.Fall, Span(1500*clock.Milli))
	setDefault(&s.Rules.AskEvery, Span(10*clock.Second))
	setDefault(&s.Rules.Slack, Span(50*clock.Milli))
}
