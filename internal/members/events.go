package members

// events.go: the membership.Ports callbacks that log and count events. The node calls them with m.mu held.

import (
	"ledgespread/decide/membership"
)

// Changed counts and logs a state change of one member. A live member with which direct messages fail in one or both
// directions is reported as "cut".
func (m *Members) Changed(c membership.Change) {
	m.changed = true
	to := c.To.String()
	if c.Cut != 0 {
		to = "cut"
	}
	m.counts["became_"+to]++
	line := m.log.Info()
	if c.To == membership.Dead || c.Cut != 0 {
		line = m.log.Warn()
	}
	from := c.From.String()
	if c.From == 0 {
		from = ""
	}
	line.Str("member", string(c.Name)).Str("was", from).Str("is", c.To.String()).Str("why", c.Reason).Str("by", string(c.ReportedBy)).Msg(to)
}

// SideChanged logs that this member now belongs to another part of a partitioned group. Once it is no longer alone, the
// warning about unreachable seeds may be logged again.
func (m *Members) SideChanged(p membership.PartitionSide) {
	m.log.Info().Str("part_of_all", p.String()).Msg("stands in another part")
	if p != membership.Isolated {
		m.seedWarningDone = false
	}
}

// NameContested reports that another process uses this member's name. heldByOther means that the other process keeps
// the name and this one gives it up until a later retry.
func (m *Members) NameContested(at membership.Address, heldByOther bool) {
	m.counts["name_contested"]++
	if heldByOther {
		m.log.Error().Str("other", formatAddress(at)).Msgf("the name %s is held by %s: this sidecar is no member, and asks again later", m.self.Name, formatAddress(at))
		return
	}
	m.log.Warn().Str("other", formatAddress(at)).Msgf("%s claims the name %s too; it was told that it is held here", formatAddress(at), m.self.Name)
}

// Paused reports that this process was paused for span microseconds. The timeouts that elapsed meanwhile are not
// held against other members; requestedUpdates means that it asks them for the changes it missed.
func (m *Members) Paused(span membership.Micros, requestedUpdates bool) {
	m.counts["stood_still"]++
	if requestedUpdates {
		m.log.Warn().Int64("for_us", int64(span)).Msg("stood still; accuses nobody for it, and asks for news")
	}
}

// Rejected counts a message that the node discarded; kind is the name of the counter.
func (m *Members) Rejected(kind string, _ membership.Address) { m.counts[kind]++ }
