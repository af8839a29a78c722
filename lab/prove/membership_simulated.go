package prove

// This file has the claims on membership that are checked in simulated time.

import (
	"fmt"
	"slices"
	"strings"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
)

// simulation is a simulated membership with a heartbeat protocol beside it on the same network, and the deaths
// that each declares.
type simulation struct {
	*membersim.Simulation
	heartbeats *membersim.HeartbeatDetector
	deaths     map[membership.Name]int
	revivals   int // dead members seen alive again without a higher incarnation
}

// newSimulation starts a simulated membership, lets it settle for 4 s and then adds the heartbeats.
func (p *Proof) newSimulation(seed uint64, members int) *simulation {
	simulated := &simulation{Simulation: membersim.New(seed, members, p.protocolSettings(), true), deaths: map[membership.Name]int{}}
	died := map[string]membership.Incarnation{}
	simulated.OnChange = func(_ membersim.Micros, by *membersim.Member, change membership.Change) {
		key, incarnation := fmt.Sprint(by.Number, change.Name), by.Entry(change.Name).Incarnation
		if change.To == membership.Dead {
			simulated.deaths[change.Name]++
			died[key] = incarnation
		} else if change.From == membership.Dead && incarnation <= died[key] {
			simulated.revivals++
		}
	}
	simulated.RunFor(4_000_000)
	simulated.heartbeats = simulated.StartHeartbeatDetector(membersim.Micros(probeEvery), membersim.Micros(heartbeatTimeout))
	return simulated
}

// declaredDeaths returns how many times a member declared another one dead.
func (s *simulation) declaredDeaths() (total int) {
	for _, count := range s.deaths {
		total += count
	}
	return total
}

// allAgree reports whether every running member sees all other running members, and only those, as alive.
func (s *simulation) allAgree() bool {
	running := 0
	for _, member := range s.Members {
		if !member.Killed {
			running++
		}
	}
	return !slices.ContainsFunc(s.Members, func(m *membersim.Member) bool { return !m.Killed && m.StateCounts()[membership.Alive] != running-1 })
}

// formatSpans formats the median and the maximum of durations in microseconds; a negative one means never.
func formatSpans[T ~int64](spans []T) string {
	if len(spans) == 0 {
		return "none"
	}
	all := slices.Clone(spans)
	slices.Sort(all)
	longest := fmt.Sprintf("%.2f s", float64(all[len(all)-1])/1e6)
	if all[0] < 0 {
		longest = "never"
	}
	return fmt.Sprintf("median %.2f s, most %s of %d", float64(all[len(all)/2])/1e6, longest, len(all))
}

// countWithin counts the durations that are at most the limit; a negative one means never.
func countWithin[T ~int64](spans []T, limit T) (n int) {
	for _, span := range spans {
		if span >= 0 && span <= limit {
			n++
		}
	}
	return n
}

// besideHeartbeats is how the claims are measured that compare with heartbeats.
const besideHeartbeats = "simulated, by seed; heartbeats beside it"

// simulateMembership runs all claims in simulated time.
func (p *Proof) simulateMembership() {
	runs, members := 20, 50
	if p.Quick {
		members = 30
	}
	for _, lost := range []float64{0, 0.1, 0.3} {
		p.progress("simulated: a death, %.0f%% lost", 100*lost)
		var known []membersim.Micros
		for seed := range uint64(runs) {
			known = append(known, membersim.Measure(members, lost, p.protocolSettings(), p.Seed*1000+seed, 4_000_000).KnownByAll)
		}
		limit := membersim.Micros(deathKnownWithin)
		if lost == 0.3 {
			limit = membersim.Micros(deathKnownWithinLossy)
		}
		p.claim(countWithin(known, limit) >= runs-1, fmt.Sprintf("a death among %d is known to all, %.0f%% lost", members, 100*lost), fmt.Sprintf("%d s in 19 of 20", limit/1e6),
			"simulated, by seed", "%s", formatSpans(known))
	}
	minutes := 1000.0
	if p.Quick {
		minutes = 120
	}
	p.checkPausesAndCuts(minutes)
	p.checkPauses()
	p.checkOneWayCuts()
	p.checkLateMessages()
	p.checkHealing()
	p.checkColdBudget()
}

// checkPausesAndCuts pauses members for a second and cuts connections in one direction, again and again, at 10%
// loss. No member may be declared dead; plain heartbeats do so.
func (p *Proof) checkPausesAndCuts(minutes float64) {
	p.progress("simulated: pauses of 1 s and cuts of one direction at 10%% loss, %.0f member-minutes", minutes)
	deaths, heartbeatDeaths, memberMinutes := 0, 0, 0.0
	for seed := p.Seed; memberMinutes < minutes; seed++ {
		simulated, draw := p.newSimulation(seed, 50), rng.New(seed, "pauses and cuts")
		from, to := -1, -1
		simulated.Network.LossRate = 0.1
		simulated.Cut = func(i, j int) bool { return i == from && (to < 0 && j%2 == 0 || j == to) }
		begun := simulated.Now
		for range 15 {
			if from, to = draw.Below(50), draw.Below(50); draw.Float() < 0.3 {
				to = -1 // cut to half of the members instead of one
			}
			member := simulated.Members[draw.Below(50)]
			member.Stop()
			simulated.RunFor(membersim.Micros(toleratedPause))
			member.Continue()
			simulated.RunFor(1_500_000)
		}
		memberMinutes += 50 * float64(simulated.Now-begun) / 60e6
		deaths += simulated.declaredDeaths()
		heartbeatDeaths += simulated.heartbeats.Deaths
	}
	p.claim(deaths == 0, fmt.Sprintf("no false death: pauses of 1 s, cuts one way, 10%% lost, %.0f member-minutes", memberMinutes), "0 words of death", besideHeartbeats,
		"%d (heartbeats: %d)", deaths, heartbeatDeaths)
	if p.Break == "" {
		p.claim(heartbeatDeaths > 0, "heartbeats with a limit fail there", "over 0", besideHeartbeats, "%d words of death", heartbeatDeaths)
	}
}

// checkPauses pauses all members at once, one often and briefly, one for long, and one again and again.
func (p *Proof) checkPauses() {
	p.progress("simulated: paused members")
	simulated := p.newSimulation(p.Seed, 16)
	for _, member := range simulated.Members {
		member.Stop()
	}
	simulated.RunFor(10_000_000)
	for _, member := range simulated.Members {
		member.Continue()
	}
	simulated.RunFor(5_000_000)
	p.claim(simulated.declaredDeaths() == 0, "all stand still for 10 s at once", "0 words of death", besideHeartbeats, "%d (heartbeats: %d)", simulated.declaredDeaths(), simulated.heartbeats.Deaths)

	accused, paused := 0, -1
	simulated = p.newSimulation(p.Seed, 16)
	record := simulated.OnChange
	simulated.OnChange = func(at membersim.Micros, by *membersim.Member, change membership.Change) {
		if record(at, by, change); by.Number == paused && change.To == membership.Suspect && change.ReportedBy == membersim.Name(by.Number) {
			accused++
		}
	}
	simulated.Network.Delay = 50_000 // so that a probe is usually in flight when the member is paused
	for round := range 40 {
		member := simulated.Members[round%16]
		paused = round % 16
		member.Stop()
		simulated.RunFor(400_000)
		member.Continue()
		simulated.RunFor(2_000_000)
		paused = -1
	}
	p.claim(accused == 0, "one stands still for 0.4 s, 40 times: it accuses nobody by what it missed", "0 accusations by it", "simulated, by seed", "%d", accused)

	simulated = p.newSimulation(p.Seed, 16)
	pausedMember := simulated.Members[3]
	pausedMember.Stop()
	simulated.RunFor(10_000_000)
	pausedMember.Continue()
	recovered := simulated.RunUntil(10_000_000, simulated.allAgree)
	p.claim(recovered >= 0 && recovered < membersim.Micros(clock.Second) && len(simulated.deaths) == 1, "one stands still for 10 s: dead, accuses nobody, is back", "back within 1 s, 1 name said",
		"simulated, by seed", "back after %.2f s, %d names said", float64(recovered)/1e6, len(simulated.deaths))

	simulated = p.newSimulation(p.Seed, 16)
	earlyDeaths := 0
	for round := range 12 {
		simulated.Members[3].Stop()
		simulated.RunFor(2_000_000)
		simulated.Members[3].Continue()
		simulated.RunFor(3_000_000)
		if round == 2 {
			earlyDeaths = simulated.declaredDeaths()
		}
	}
	after := simulated.declaredDeaths() - earlyDeaths
	simulated.RunFor(120_000_000)
	doublings := simulated.Members[0].Entry("n3").SuspicionDoublings
	p.claim(after == 0 && doublings == 0, "one stands still 2 s in every 5: held for longer, and by and by as before", "no death after the third time; 0 holds two minutes later", besideHeartbeats,
		"%d words after, %d before; %d holds (heartbeats: %d)", after, earlyDeaths, doublings, simulated.heartbeats.Deaths)
}

// checkOneWayCuts blocks messages in some directions for a minute: nobody may be declared dead, and the members
// must report which direction fails.
func (p *Proof) checkOneWayCuts() {
	for _, direction := range []struct {
		what      string
		cut       func(from, to int) bool
		wantLines string
	}{
		{"of n2 to n3", func(from, to int) bool { return from == 2 && to == 3 }, "n2 of n3: it doesn't hear this member; n3 of n2: this member doesn't hear it"},
		{"of n2 to half", func(from, to int) bool { return from == 2 && to >= 8 }, "n2 of n9: it doesn't hear this member; n9 of n2: this member doesn't hear it"},
		{"of all to n2", func(from, to int) bool { return to == 2 }, "n9 of n2: it doesn't hear this member; n2 of n9: this member doesn't hear it"},
		{"between halves but for a bridge", func(from, to int) bool { return from != 0 && to != 0 && (from < 8) != (to < 8) }, "n2 of n9: neither hears the other"},
	} {
		p.progress("simulated: the messages %s cut", direction.what)
		deaths, heartbeatDeaths, recovered, correctRuns := 0, 0, []membersim.Micros{}, 0
		const runs = 4
		for seed := range uint64(runs) {
			simulated := p.newSimulation(p.Seed*100+seed, 16)
			simulated.Cut = direction.cut
			simulated.RunFor(50_000_000)
			lines := map[string]bool{}
			for _, member := range simulated.Members { // the tables towards the end of the minute
				member.Each(func(m membership.Member) { lines[fmt.Sprintf("n%d of %s: %s", member.Number, m.Name, m.Cut)] = true })
			}
			reported := true
			for _, line := range strings.Split(direction.wantLines, "; ") {
				reported = reported && lines[line]
			}
			if reported {
				correctRuns++
			}
			simulated.RunFor(10_000_000)
			deaths, heartbeatDeaths = deaths+simulated.declaredDeaths(), heartbeatDeaths+simulated.heartbeats.Deaths
			simulated.Cut = nil
			recovered = append(recovered, simulated.RunUntil(20_000_000, func() bool {
				cuts := 0
				for _, member := range simulated.Members {
					member.Each(func(other membership.Member) { cuts += int(other.Cut) })
				}
				return cuts == 0 && simulated.allAgree()
			}))
		}
		p.claim(deaths == 0 && correctRuns == runs && countWithin(recovered, membersim.Micros(healWithin)) == runs, "words "+direction.what+" cut for a minute: no death, told with direction, ended after",
			"0 deaths, told, 2 s", besideHeartbeats, "%d deaths (heartbeats: %d), told in %d of %d runs, ended %s", deaths, heartbeatDeaths, correctRuns, runs, formatSpans(recovered))
	}
}

// checkLateMessages kills a member while messages are late, duplicated and reordered: an old message must not
// revive it.
func (p *Proof) checkLateMessages() {
	p.progress("simulated: late messages")
	revivals, known := 0, []membersim.Micros{}
	for seed := range uint64(10) {
		simulated := p.newSimulation(p.Seed*100+seed, 16)
		simulated.Network.DelayRate, simulated.Network.MaxExtraDelay, simulated.Network.DuplicateRate = 0.3, 4_000_000, 0.3
		simulated.RunFor(2_000_000)
		simulated.Members[5].Kill()
		known = append(known, simulated.RunUntil(20_000_000, func() bool {
			return !slices.ContainsFunc(simulated.Members, func(m *membersim.Member) bool { return !m.Killed && m.Entry("n5").State != membership.Dead })
		}))
		simulated.RunFor(10_000_000)
		revivals += simulated.revivals
	}
	p.claim(revivals == 0 && countWithin(known, 10_000_000) == 10, "words up to 4 s late, doubled, in another order: the dead stay dead", "0 revivals by an old word; known in 10 s",
		"simulated, by seed", "%d revivals; known %s", revivals, formatSpans(known))
}

// checkHealing splits the members in two or three parts and checks that they agree soon after the split ends.
func (p *Proof) checkHealing() {
	p.progress("simulated: splits")
	for parts := 2; parts <= 3; parts++ {
		members, healed, messages := 50, []membersim.Micros{}, 0.0
		for seed := range uint64(6) {
			simulated := p.newSimulation(p.Seed*100+seed, members)
			simulated.Cut = func(from, to int) bool { return from%parts != to%parts }
			simulated.RunFor(15_000_000)
			simulated.Cut = nil
			sent, begun := simulated.Datagrams, simulated.Now
			healed = append(healed, simulated.RunUntil(20_000_000, simulated.allAgree))
			messages = max(messages, float64(simulated.Datagrams-sent)/float64(members)/(float64(simulated.Now-begun)/1e6))
		}
		p.claim(countWithin(healed, membersim.Micros(healWithin)) == len(healed), fmt.Sprintf("%d in %d parts agree again", members, parts), "2 s", "simulated, by seed",
			"%s; at most %.0f messages/s a member", formatSpans(healed), messages)
	}
}

// checkColdBudget checks that the halves of a split membership together use at most one budget of a cold server.
func (p *Proof) checkColdBudget() {
	simulated := p.newSimulation(p.Seed, 20)
	simulated.Cut = func(from, to int) bool { return from%2 != to%2 }
	simulated.RunFor(20_000_000)
	share := 0.0
	for _, member := range simulated.Members {
		share += 1 / float64(member.Senders())
	}
	p.claim(share <= 1+1e-9, "halves share a cold server's budget among all that may be sending", "1.00 of one budget at most", "simulated, by seed", "%.2f", share)
}
