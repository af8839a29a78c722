// Package live has a running sidecar take over a configuration: by the bytes of a file, whoever brings them.
package live

import (
	"fmt"
	"maps"
	"math"
	"runtime"
	"sync"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/inbound"
	"ledgespread/internal/outbound"
	"ledgespread/internal/relay"
	"ledgespread/internal/site"
)

// Sidecar is one that runs, with the configuration that is in force.
type Sidecar struct {
	mu     sync.Mutex
	now    *site.Manifest
	relay  *relay.Relay
	in     *inbound.Inbound
	counts *counters.Sheet
	log    zerolog.Logger

	Ahead func(*site.Manifest) // hears of each configuration before it is taken over; set before the first one, nil: nobody does
}

// Outcome is what became of a configuration that was taken over: the names, by site.Table, of what differed from the one that
// was in force.
type Outcome struct{ site.Change }

// New makes one of the parts that were started by b.
func New(b *site.Manifest, r *relay.Relay, in *inbound.Inbound, counts *counters.Sheet, log zerolog.Logger) *Sidecar {
	return &Sidecar{now: b, relay: r, in: in, counts: counts, log: log}
}

// Apply has the sidecar go on by these bytes of a configuration file: all that can be is taken over now, and what needs a restart is
// named and stays as it was. What can't be read, or would not do for a start, changes nothing: it is counted, and an error with
// from (the file's name, or whose word it is), line and reason. Any goroutine may call it; calls take turns.
func (s *Sidecar) Apply(from string, text []byte) (Outcome, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken, out, err := s.take(from, text)
	if err != nil {
		s.counts.Add(counters.ReloadsRefused)
		s.log.Warn().Err(err).Msg("configuration refused; the old one stays in force")
		return Outcome{}, err
	}
	s.now = taken
	s.counts.Add(counters.Reloads)
	entry := s.log.Info().Str("from", from).Str("discovery", taken.Discovery)
	for _, list := range []struct {
		name  string
		names []string
	}{{"taken_over", out.Live}, {"need_a_restart", out.Restart}, {"unread", out.Unread}} {
		if len(list.names) > 0 {
			entry = entry.Strs(list.name, list.names)
		}
	}
	entry.Msg("configuration read again")
	return out, nil
}

func (s *Sidecar) take(from string, text []byte) (taken *site.Manifest, out Outcome, err error) {
	defer func() {
		// A configuration that nobody thought of must not end the sidecar.
		if crash := recover(); crash != nil {
			s.counts.Crashed(s.log, "configuration", crash)
			err = fmt.Errorf("%s:1: it crashed over it: %v", from, crash)
		}
	}()
	next, err := Read(from, text)
	if err != nil {
		return nil, out, err
	}
	taken, out.Change = s.now.Take(next)
	if !maps.Equal(taken.Site, s.now.Site) { // or nothing of it is the module's matter
		if s.Ahead != nil {
			s.Ahead(taken)
		}
		if err := s.in.Retune(taken, func() error { return s.relay.Retune(taken) }); err != nil {
			return nil, out, site.In(from, text, err)
		}
	}
	if taken.Cores != s.now.Cores {
		Cores(taken)
	}
	s.relay.Move(taken.Discovery)
	return taken, out, nil
}

// Cores has the process use as many as it may.
func Cores(b *site.Manifest) { runtime.GOMAXPROCS(max(1, int(math.Ceil(b.Cores)))) }

// Read takes a file's bytes by which a sidecar could start. What is wrong with them is an error with the file, the line and the reason.
func Read(file string, text []byte) (*site.Manifest, error) {
	b, err := site.From(file, text)
	if err != nil {
		return nil, err
	}
	if err := Starts(b); err != nil {
		return nil, site.In(file, text, err)
	}
	return b, nil
}

// Starts tells whether a sidecar could start so.
func Starts(b *site.Manifest) error {
	var counts counters.Sheet
	out := outbound.New(0, 0, 0, 0, nil, &counts, zerolog.Nop())
	_, err := relay.New(b, 0, out, nil, &counts, zerolog.Nop())
	return err
}
