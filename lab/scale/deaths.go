package scale

// Membership under mass failures and network partitions.

import (
	"fmt"
	"slices"
	"time"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
	"ledgespread/lab/hollow"
	"ledgespread/lab/size"
)

// measureDeaths measures how long members take to detect that many others fail at once and rejoin. It runs on
// sockets and in simulated time, where members don't compete for the processor.
func (runner *runner) measureDeaths() error {
	deaths := runner.Deaths
	if deaths == nil {
		return nil
	}
	runner.simulateDeaths()
	fleetSize := Size{deaths.Sidecars, 20, 0, runner.Tenants}
	runner.progress("membership: %d of %d die at once", deaths.Dead, deaths.Sidecars)
	fleet, err := startFleet(runner.Run, runner.options, fleetSize, 0, 0, true)
	if err != nil {
		return err
	}
	defer fleet.close()
	defer func() { runner.timerLateness = max(runner.timerLateness, fleet.alarms.Lateness().Quantile(0.99)) }()
	const account = "hollow members' tables"
	took, err := fleet.await(joinTimeout, func(s *hollow.Sidecar) bool { return s.AliveCount() == fleetSize.Sidecars-1 })
	if err != nil {
		return err
	}
	runner.addDurations("membership.joined", "from the last start to all held alive by all", account, fleetSize, took, nil)
	if err := fleet.awaitSettled(); err != nil {
		return err
	}
	dead, names := map[int]bool{}, map[string]bool{}
	for k := range deaths.Dead { // evenly spaced, so that every zone is affected
		i := runner.Real + k*(fleetSize.Sidecars-runner.Real)/deaths.Dead
		dead[i], names[hollow.Name(i)] = true, true
	}
	before, err := fleet.takeSnapshot()
	if err != nil {
		return err
	}
	for _, s := range fleet.hollow {
		if dead[s.Number] {
			s.Crash()
		}
	}
	// Each surviving member must regard all of these as dead; its view of other members does not matter.
	took, err = fleet.await(deaths.Timeout.M().Duration(), func(s *hollow.Sidecar) bool { return dead[s.Number] || s.DeadCount(names) == len(names) })
	if err == errStopped {
		return err
	}
	took = took[min(len(dead), len(took)):]
	after, lookErr := fleet.takeSnapshot()
	if lookErr != nil {
		return lookErr
	}
	runner.addDurations("membership.deaths_known", fmt.Sprintf("%d of %d members die in one moment: until each of the others holds all of them for dead", deaths.Dead, deaths.Sidecars), account, fleetSize, took, err)
	falseDeaths, span := 0, after.at.Sub(before.at).Seconds()
	bytes := summarize(fleetSize.Sidecars, runner.Real, func(i int) float64 {
		if dead[i] {
			return 0
		}
		counterDelta := func(name string) float64 { return float64(after.members[i][name] - before.members[i][name]) }
		return (counterDelta("heard_bytes") + hollow.DatagramHeaderBytes*counterDelta("heard") + counterDelta("exchanged_bytes_in")) / span
	})
	for i, counts := range after.members {
		if !dead[i] {
			falseDeaths += int(counts["became_dead"] - before.members[i]["became_dead"])
		}
	}
	falseDeaths -= len(dead) * (fleetSize.Sidecars - len(dead))
	runner.addEvent("membership.deaths_bytes", "what a member hears meanwhile, in the mean and the most of any", "members' own counters, heads added", fleetSize, "B/s", bytes.Mean, bytes.Most, fleetSize.Sidecars)
	runner.addEvent("membership.deaths_words", "words of death beyond one a dead member and survivor, over all survivors: false ones, less those not yet said", account, fleetSize, "1",
		float64(max(falseDeaths, 0)), float64(max(falseDeaths, 0)), 1)
	for _, s := range fleet.hollow {
		if dead[s.Number] {
			settings, err := fleet.membershipSettings(s.Number)
			if err == nil {
				err = s.Join(settings)
			}
			if err != nil {
				return err
			}
		}
	}
	took, err = fleet.await(deaths.Timeout.M().Duration(), func(s *hollow.Sidecar) bool { return s.AliveCount() == fleetSize.Sidecars-1 })
	if err == errStopped {
		return err
	}
	runner.addDurations("membership.back", fmt.Sprintf("%d members return in one moment: until all hold all to be alive", deaths.Dead), account, fleetSize, took, err)
	return nil
}

// simulateDeaths measures the same failures in simulated time.
func (runner *runner) simulateDeaths() {
	deaths := runner.Deaths
	runner.progress("membership, simulated: %d of %d die at once", deaths.Dead, deaths.Sidecars)
	simulation := membersim.New(runner.Seed, deaths.Sidecars, membership.Config{Group: membershipGroup, ProbeInterval: membership.Micros(runner.Members.ProbeInterval), ExchangeInterval: membership.Micros(runner.Members.ExchangeInterval),
		DeadRetention: 600_000_000, LeaveLinger: 1_000_000, MinSenders: 1, MaxMembers: 10_000}, true)
	simulation.RunFor(5_000_000)
	dead, detected := map[membership.Name]bool{}, make([]int, deaths.Sidecars)
	for k := range deaths.Dead {
		member := simulation.Members[k*deaths.Sidecars/deaths.Dead]
		member.Kill()
		dead[membersim.Name(member.Number)] = true
	}
	started, falseDeaths := simulation.Now, 0
	var took []time.Duration
	simulation.OnChange = func(at membersim.Micros, observer *membersim.Member, change membership.Change) {
		switch {
		case change.To == membership.Dead && !dead[change.Name]:
			falseDeaths++
		case change.To == membership.Dead:
			if detected[observer.Number]++; detected[observer.Number] == deaths.Dead {
				took = append(took, time.Duration(at-started)*time.Microsecond)
			}
		case change.From == membership.Dead:
			detected[observer.Number]--
		}
	}
	sent, bytes := simulation.Datagrams, simulation.DatagramBytes
	simulation.RunUntil(membersim.Micros(deaths.Timeout), func() bool { return len(took) >= deaths.Sidecars-deaths.Dead })
	var missing error
	if n := deaths.Sidecars - deaths.Dead - len(took); n > 0 {
		missing = fmt.Errorf("after %v %d members did not hold all of them for dead", deaths.Timeout.M().Duration(), n)
	}
	fleetSize := Size{deaths.Sidecars, 20, 0, runner.Tenants}
	const account = "simulated time"
	runner.addDurations("membership.deaths_known", fmt.Sprintf("the same in simulated time: %d of %d", deaths.Dead, deaths.Sidecars), account, fleetSize, took, missing)
	span, survivors := float64(simulation.Now-started)/1e6, float64(deaths.Sidecars-deaths.Dead)
	runner.addEvent("membership.deaths_bytes", "what a living member sends meanwhile, without exchanges, in simulated time",
		account, fleetSize, "B/s",
		(float64(simulation.DatagramBytes-bytes)+hollow.DatagramHeaderBytes*float64(simulation.Datagrams-sent))/survivors/span, (float64(simulation.DatagramBytes-bytes)+hollow.DatagramHeaderBytes*float64(simulation.Datagrams-sent))/survivors/span, int(survivors))
	runner.addEvent("membership.deaths_false", "words of death of a member that lives, in simulated time", account, fleetSize, "1",
		float64(falseDeaths), float64(falseDeaths), int(survivors))
}

// addDurations adds an event for durations, one per sidecar; failed says why some sidecars are missing.
func (runner *runner) addDurations(name, what, account string, fleetSize Size, durations []time.Duration, failed error) {
	if failed != nil {
		what += "; NOT ALL: " + failed.Error()
	}
	if len(durations) > 0 {
		slices.Sort(durations)
		runner.addEvent(name, what, account, fleetSize, "s", durations[len(durations)/2].Seconds(), durations[len(durations)-1].Seconds(), len(durations))
	}
}

// addEvent adds an event to the report.
func (runner *runner) addEvent(name, what, account string, fleetSize Size, unit string, median, last float64, count int) {
	runner.report.Events = append(runner.report.Events, size.Event{Name: name, What: what, Account: account, At: fleetSize.variables(), Unit: unit, Median: median, Last: max(last, median), N: count})
}

// simulatePartition simulates a partition between two regions, of two and of three zones, that lasts longer
// than members remember the dead, and then heals.
func (runner *runner) simulatePartition() {
	partition := runner.Partition
	if partition == nil {
		return
	}
	fleetSize := Size{partition.Sidecars, 20, 0, runner.Tenants}
	const account = "simulated time"
	runner.progress("membership, simulated: %d members in two regions, of two and of three zones, partitioned for %v; dead members are forgotten after %v", partition.Sidecars, partition.Duration.M().Duration(), partition.DeadRetention.M().Duration())
	simulation := membersim.New(runner.Seed, partition.Sidecars, membership.Config{Group: membershipGroup, ProbeInterval: membership.Micros(runner.Members.ProbeInterval), ExchangeInterval: membership.Micros(runner.Members.ExchangeInterval),
		DeadRetention: membership.Micros(partition.DeadRetention), LeaveLinger: 1_000_000, MinSenders: 1, MaxMembers: 10_000}, true)
	simulation.RunFor(5_000_000)
	simulation.Cut = func(from, to int) bool { return (from%5 < 2) != (to%5 < 2) }
	highest, budgetShare := 0.0, func() (sum float64) { // sum of the shares of a common budget that the members claim
		for _, member := range simulation.Members {
			sum += 1 / float64(member.Senders())
		}
		return sum
	}
	highestAt := 0.0
	for span := membersim.Micros(0); span < membersim.Micros(partition.Duration); span += 1_000_000 {
		simulation.RunFor(1_000_000)
		if share := budgetShare(); share > highest {
			highest, highestAt = share, float64(span+1_000_000)/1e6
		}
	}
	runner.addEvent("regions.budget_taken", fmt.Sprintf("of a cold server's budget, by all together while regions are apart for %v and the dead forgotten after %v; at the most after %.0f s. The settings' number of sidecars, where it is true, bounds it to 1",
		partition.Duration.M().Duration(), partition.DeadRetention.M().Duration(), highestAt),
		account, fleetSize, "1", budgetShare(), highest, partition.Sidecars)
	simulation.Cut = nil
	sent, bytes, exchanged, started := simulation.Datagrams, simulation.DatagramBytes, simulation.ExchangeBytes, simulation.Now
	took := simulation.RunUntil(membersim.Micros(partition.Timeout), func() bool {
		return !slices.ContainsFunc(simulation.Members, func(member *membersim.Member) bool {
			return member.StateCounts()[membership.Alive] != partition.Sidecars-1
		})
	})
	what := "from the end of the cut until all hold all to be alive"
	if took < 0 {
		fewest := partition.Sidecars
		for _, member := range simulation.Members {
			fewest = min(fewest, member.StateCounts()[membership.Alive]+1)
		}
		what = fmt.Sprintf("%s; NOT ALL: after %v one holds %d of %d", what, partition.Timeout.M().Duration(), fewest, partition.Sidecars)
		took = membersim.Micros(partition.Timeout)
	}
	runner.addEvent("regions.healed", what, account, fleetSize, "s", float64(took)/1e6, float64(took)/1e6, partition.Sidecars)
	bytesPerMember := (float64(simulation.DatagramBytes-bytes) + hollow.DatagramHeaderBytes*float64(simulation.Datagrams-sent) + float64(simulation.ExchangeBytes-exchanged)) / float64(partition.Sidecars) / max(float64(simulation.Now-started)/1e6, 1e-3)
	runner.addEvent("regions.heal_bytes", "what a member sends meanwhile, in the mean, exchanges too", account, fleetSize, "B/s", bytesPerMember, bytesPerMember, partition.Sidecars)
}
