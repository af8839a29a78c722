// Package reload applies a new configuration to a running sidecar, given as the bytes of a configuration file
// from any source.
package reload

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"sync"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/inbound"
	"ledgespread/internal/memory"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

// Reloader holds the parts of a running sidecar and the configuration that is in force.
type Reloader struct {
	mu      sync.Mutex
	inForce *site.Manifest
	relay   *relay.Relay
	inbound *inbound.Inbound
	counts  *counters.Set
	log     zerolog.Logger

	BeforeApply func(*site.Manifest) // called with each configuration before it is applied; set before the first one, may be nil
}

// Outcome says what a configuration that was applied has changed: the names, as in site.SettingRules, of all
// settings that differ from the configuration that was in force.
type Outcome struct{ site.Change }

// New returns a Reloader of parts that were started with the configuration manifest.
func New(manifest *site.Manifest, r *relay.Relay, clients *inbound.Inbound, counts *counters.Set, log zerolog.Logger) *Reloader {
	return &Reloader{inForce: manifest, relay: r, inbound: clients, counts: counts, log: log}
}

// Apply makes the bytes of a configuration file the configuration in force. Settings that need a restart keep
// their value and are listed in the outcome. A configuration that can't be parsed, or that a sidecar could
// not start with, changes nothing: it is counted, and the error has from (the file's name or another source),
// line and reason. Apply is safe for concurrent use.
func (r *Reloader) Apply(from string, text []byte) (Outcome, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	applied, outcome, err := r.applyBytes(from, text)
	if err != nil {
		r.counts.Add(counters.ReloadsRejected)
		r.log.Warn().Err(err).Msg("configuration refused; the old one stays in force")
		return Outcome{}, err
	}
	r.inForce = applied
	r.counts.Add(counters.Reloads)
	entry := r.log.Info().Str("from", from).Str("discovery", applied.Discovery)
	for _, list := range []struct {
		name  string
		names []string
	}{{"taken_over", outcome.Live}, {"need_a_restart", outcome.Restart}, {"unread", outcome.Unknown}} {
		if len(list.names) > 0 {
			entry = entry.Strs(list.name, list.names)
		}
	}
	entry.Msg("configuration read again")
	return outcome, nil
}

// applyBytes parses and applies a configuration. The caller holds the lock.
func (r *Reloader) applyBytes(from string, text []byte) (applied *site.Manifest, outcome Outcome, err error) {
	defer func() {
		// A panic over an unexpected configuration must not end the sidecar.
		if crash := recover(); crash != nil {
			r.counts.RecordPanic(r.log, "configuration", crash)
			err = fmt.Errorf("%s:1: it crashed over it: %v", from, crash)
		}
	}()
	next, err := Read(from, text)
	if err != nil {
		return nil, outcome, err
	}
	applied, outcome.Change = r.inForce.MergeLive(next)
	if !maps.Equal(applied.Settings, r.inForce.Settings) { // settings used by the relay and inbound differ
		if r.BeforeApply != nil {
			r.BeforeApply(applied)
		}
		if err := r.inbound.UpdateSettings(applied, func() error { return r.relay.Retune(applied) }); err != nil {
			return nil, outcome, site.WithPosition(from, text, err)
		}
	}
	if applied.Cores != r.inForce.Cores {
		SetCores(applied)
	}
	r.relay.SetDiscovery(applied.Discovery)
	return applied, outcome, nil
}

// SetCores limits the CPUs that the process uses at once to the configured number.
func SetCores(manifest *site.Manifest) { runtime.GOMAXPROCS(max(1, int(math.Ceil(manifest.Cores)))) }

// Read parses a configuration file and checks that a sidecar could start with it. An error has the file, the
// line and the reason.
func Read(file string, text []byte) (*site.Manifest, error) {
	manifest, err := site.ParseFile(file, text)
	if err != nil {
		return nil, err
	}
	if err := CheckStart(manifest); err != nil {
		return nil, site.WithPosition(file, text, err)
	}
	return manifest, nil
}

// CheckStart returns an error if a sidecar could not start with this configuration.
func CheckStart(manifest *site.Manifest) error {
	var counts counters.Set
	servers := outbound.New(0, 0, 0, memory.New(0), nil, &counts, zerolog.Nop())
	_, err := relay.New(manifest, 0, servers, nil, &counts, zerolog.Nop())
	return err
}
