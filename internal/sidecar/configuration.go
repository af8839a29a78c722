package sidecar

import (
	"io"
	"os"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/internal/counters"
	"ledgespread/internal/extensions"
	"ledgespread/internal/live"
	"ledgespread/internal/rollouts"
	"ledgespread/internal/site"
)

// carryConfigurations has members carry configurations, where the extensions say so, and goes on with the one that is in force.
func (p *process) carryConfigurations() error {
	settings := p.Extensions.Rollout
	if settings == nil {
		return nil
	}
	if err := settings.Usable(); err != nil {
		return err
	}
	own, err := os.ReadFile(p.File)
	if err != nil {
		return err
	}
	take := func(from string, whole []byte) error {
		<-p.isLive
		_, err := p.live.Apply(from, whole)
		return err
	}
	terms := rollouts.Terms{Name: p.Manifest.Name, Group: p.Extensions.Membership.Group, Seed: p.Manifest.Seed,
		Every: membership.Micros(p.Extensions.Membership.Every), Overlay: rollouts.NewOverlay(p.Manifest, own), Take: take, Figures: p.figures}
	p.rollouts = rollouts.Open(settings, terms, p.Log)
	p.Manifest, err = site.From(p.File, p.rollouts.InForce(own))
	return err
}

// figures count this sidecar's requests since its start. One whose client left has ended too, and did not succeed.
func (p *process) figures() rollout.Figures {
	succeeded := p.counts[counters.VisitsDelivered].Load() // first: never more than ended
	ended := succeeded
	for _, c := range []counters.Count{counters.VisitsBounced, counters.VisitsErrored, counters.VisitsDropped} {
		ended += p.counts[c].Load()
	}
	taken := max(p.counts[counters.VisitsTaken].Load(), ended)
	return rollout.Figures{Taken: uint64(taken), Ended: uint64(ended), Succeeded: uint64(succeeded)}
}

// reload takes the file as it is now, and looks at the file of extensions, all of which needs a restart. Where either can't be read, or would
// not do for a start, nothing changes: a sidecar must not go on by half of what it was told.
func (p *process) reload() {
	next, err := extensions.Read(p.ExtensionsFile)
	var text []byte
	if err == nil {
		text, err = os.ReadFile(p.File)
	}
	if err == nil && p.rollouts != nil { // what is wrong with the file is told by its own lines, not by those of what lies over it
		_, err = live.Read(p.File, text)
	}
	if err != nil {
		p.counts.Add(counters.ReloadsRefused)
		p.Log.Warn().Err(err).Msg("configuration refused; the old one stays in force")
		return
	}
	if p.apply(text) != nil {
		return // it is told
	}
	if differ := extensions.Differ(p.Extensions, next); len(differ) > 0 {
		p.Log.Info().Str("from", p.ExtensionsFile).Strs("need_a_restart", differ).Msg("extensions read again")
	}
}

// apply has the sidecar go on by these bytes of its file.
func (p *process) apply(text []byte) error {
	apply := func(whole []byte) error {
		_, err := p.live.Apply(p.File, whole)
		return err
	}
	if p.rollouts != nil {
		return p.rollouts.Laid(text, apply)
	}
	return apply(text)
}

// both writes one behind the other.
type both [2]io.WriterTo

func (b both) WriteTo(w io.Writer) (sum int64, err error) {
	for _, x := range b {
		n, err := x.WriteTo(w)
		if sum += n; err != nil {
			return sum, err
		}
	}
	return sum, nil
}
