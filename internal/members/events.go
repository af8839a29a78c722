package members

// events.go: what the node tells, as the log and the counters have it.

import (
	"ledgespread/decide/membership"
)

// Changed is the node's: a change of one member, for the log.
func (m *Members) Changed(c membership.Change) {
	m.changed = true
	to := c.To.String()
	if c.Way != 0 {
		to = "cut"
	}
	m.counts["became_"+to]++
	e := m.log.Info()
	if c.To == membership.Dead || c.Way != 0 {
		e = m.log.Warn()
	}
	from := c.From.String()
	if c.From == 0 {
		from = ""
	}
	e.Str("member", string(c.Name)).Str("was", from).Str("is", c.To.String()).Str("why", c.Why).Str("by", string(c.By)).Msg(to)
}

// Stands is the node's: this member's own part changed.
func (m *Members) Stands(p membership.Part) {
	m.log.Info().Str("part_of_all", p.String()).Msg("stands in another part")
	if p != membership.Alone {
		m.noSeed = false
	}
}

// Contested is the node's: another process has this member's name.
func (m *Members) Contested(at membership.Address, away bool) {
	m.counts["name_contested"]++
	if away {
		m.log.Error().Str("other", spell(at)).Msgf("the name %s is held by %s: this sidecar is no member, and asks again later", m.self.Name, spell(at))
		return
	}
	m.log.Warn().Str("other", spell(at)).Msgf("%s claims the name %s too; it was told that it is held here", spell(at), m.self.Name)
}

// Stood is the node's: this member stood still.
func (m *Members) Stood(span membership.Micros, asked bool) {
	m.counts["stood_still"]++
	if asked {
		m.log.Warn().Int64("for_us", int64(span)).Msg("stood still; accuses nobody for it, and asks for news")
	}
}

// Refused is the node's: a message was passed over.
func (m *Members) Refused(kind string, _ membership.Address) { m.counts[kind]++ }
