package sidecar

import (
	"io"
	"os"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/internal/counters"
	"ledgespread/internal/extensions"
	"ledgespread/internal/reload"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// carryConfigurations starts the distribution of configurations among members, if the extensions enable it,
// and continues with the configuration that is in force.
func (p *process) carryConfigurations() error {
	settings := p.Extensions.Rollout
	if settings == nil {
		return nil
	}
	if err := settings.CheckFolder(); err != nil {
		return err
	}
	own, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	apply := func(from string, content []byte) error {
		<-p.reloaderReady
		_, err := p.reloader.Apply(from, content)
		return err
	}
	terms := rollouts.Config{Name: p.Manifest.Name, Group: p.Extensions.Membership.Group, Seed: p.Manifest.Seed,
		ProbeInterval: membership.Micros(p.Extensions.Membership.ProbeInterval), Overlay: rollouts.NewOverlay(p.Manifest, own), Activate: apply, RequestCounts: p.requestFigures}
	p.rollouts = rollouts.Open(settings, terms, p.Log)
	p.Manifest, err = site.ParseFile(p.File, p.rollouts.StartManifest(own))
	return err
}

// requestFigures counts this sidecar's requests since its start. A request whose client left counts as ended,
// but not as succeeded.
func (p *process) requestFigures() rollout.RequestCounts {
	succeeded := p.counts[counters.RequestsDelivered].Load() // read first, so that it never exceeds ended
	ended := succeeded
	for _, c := range []counters.Count{counters.RequestsRejected, counters.RequestsErrored, counters.RequestsAbandoned} {
		ended += p.counts[c].Load()
	}
	received := max(p.counts[counters.RequestsAccepted].Load(), ended)
	return rollout.RequestCounts{Started: uint64(received), Ended: uint64(ended), Succeeded: uint64(succeeded)}
}

// reload applies the configuration file as it is now, and compares the extensions file, whose changes all
// need a restart. If either file can't be parsed or does not do for a start, nothing changes: a sidecar must
// not run on a partial configuration.
func (p *process) reload() {
	next, err := extensions.ReadFile(p.ExtensionsFile)
	var text []byte
	if err == nil {
		text, err = os.ReadFile(p.File)
	}
	if err == nil && p.rollouts != nil { // report the file's own line numbers, not those of the text that it is merged into
		_, err = reload.Read(p.File, text)
	}
	if err != nil {
		p.counts.Add(counters.ReloadsRejected)
		p.Log.Warn().Err(err).Msg("configuration refused; the old one stays in force")
		return
	}
	if p.apply(text) != nil {
		return // apply has logged the error
	}
	if differ := extensions.ChangedTables(p.Extensions, next); len(differ) > 0 {
		p.Log.Info().Str("from", p.ExtensionsFile).Strs("need_a_restart", differ).Msg("extensions read again")
	}
}

// apply applies the bytes of the configuration file, merged with the configuration that members distribute.
func (p *process) apply(text []byte) error {
	apply := func(whole []byte) error {
		_, err := p.reloader.Apply(p.File, whole)
		return err
	}
	if p.rollouts != nil {
		return p.rollouts.ReloadOwnFile(text, apply)
	}
	return apply(text)
}

// twoParts writes two parts one after the other.
type twoParts [2]io.WriterTo

func (parts twoParts) WriteTo(w io.Writer) (sum int64, err error) {
	for _, part := range parts {
		n, err := part.WriteTo(w)
		if sum += n; err != nil {
			return sum, err
		}
	}
	return sum, nil
}
