package prove

// This file has the claims on configuration rollout that are checked in simulated time.

import (
	"fmt"
	"time"

	"ledgespread/decide/rollout"
	"ledgespread/decide/rollout/fleet"
	"ledgespread/lab/clock"
	"ledgespread/lab/runner"
)

// newFleet starts a simulated fleet: one member in ten gets no requests, the others 20 a second.
func (p *Proof) newFleet(seed uint64, members int, lost float64) *fleet.Fleet {
	settings := p.protocolSettings()
	settings.DisabledGuard = ""
	simulated := fleet.New(seed, members, settings, p.Break, func(i int) float64 {
		if i%10 == 3 {
			return 0
		}
		return 20
	})
	simulated.Network.LossRate = lost
	simulated.RunFor(5_000_000)
	return simulated
}

// harmlessContent returns a harmless configuration with this number, after the given changes.
func (p *Proof) harmlessContent(number rollout.Number, changes ...func(*fleet.Content)) fleet.Content {
	content := fleet.Content{Version: rollout.Version{Number: number}, Policy: rollout.CanaryPolicy{Canaries: trialMembers, Watch: 1_500_000}, Size: contentBytes, SuccessShare: 0.995}
	for _, apply := range changes {
		apply(&content)
	}
	return content
}

// mustPublish publishes a configuration at one member; it panics on an error, which the contents of the proof
// never cause.
func mustPublish(simulated *fleet.Fleet, at int, content fleet.Content) rollout.Version {
	version, err := simulated.Publish(at, content)
	if err != nil {
		panic(err)
	}
	return version
}

// changeCost holds the measured cost of one configuration change.
type changeCost struct {
	took                      clock.Micros // from publication until in force at the last member; -1: never
	mean, hottest             float64      // bytes a member sent beyond its usual traffic: the mean, and the maximum
	worstSecond               float64      // maximum bytes that a member sent or received within a second, including membership traffic
	idleTraffic, usualTraffic float64      // usual bytes per second and member: without any configuration, and with one in force
	copies                    int          // maximum that a member handed out in a second, four probe intervals
	tried, decreases          int
	table                     int // bytes of a full membership exchange, one way
}

// measureChange publishes a configuration and then the given one, which it measures second by second until it is in
// force everywhere, for at most 12 s.
func (p *Proof) measureChange(simulated *fleet.Fleet, content fleet.Content) (cost changeCost) {
	members := len(simulated.Sidecars)
	previous := simulated.OnEvent
	defer func() { simulated.OnEvent = previous }()
	simulated.OnEvent = func(_ fleet.Micros, _ int, event rollout.Event) {
		if event.Kind == "tries" && event.Version.Number == content.Number {
			cost.tried++
		}
	}
	counters := func() (out, in, served []int) {
		for _, sidecar := range simulated.Sidecars {
			out, in, served = append(out, sidecar.Out()), append(in, sidecar.In()), append(served, sidecar.Served)
		}
		return out, in, served
	}
	rate := func() (calm float64) {
		out, _, _ := counters()
		simulated.RunFor(2_000_000)
		now, _, _ := counters()
		for i := range now {
			calm += float64(now[i]-out[i]) / 2 / float64(members)
		}
		return calm
	}
	cost.idleTraffic = rate()
	mustPublish(simulated, 0, p.harmlessContent(content.Number-1))
	simulated.RunFor(8_000_000)
	cost.usualTraffic = rate()
	begun, _, _ := counters()
	version := mustPublish(simulated, 0, content)
	cost.took = -1
	last, lastIn, lastServed := counters()
	spent := 0.0
	for spent < 12 {
		took := simulated.RunUntil(1_000_000, simulated.InForceEverywhere(version))
		if took >= 0 {
			cost.took = clock.Micros(spent*1e6) + clock.Micros(took)
			simulated.RunFor(1_000_000 - took)
		}
		spent++
		now, in, served := counters()
		for i := range now {
			cost.worstSecond = max(cost.worstSecond, float64(now[i]-last[i]), float64(in[i]-lastIn[i]))
			cost.copies = max(cost.copies, served[i]-lastServed[i])
		}
		last, lastIn, lastServed = now, in, served
		if cost.took >= 0 {
			break
		}
	}
	for i := range last {
		more := float64(last[i]-begun[i]) - spent*cost.usualTraffic
		cost.mean += more / float64(members)
		cost.hottest = max(cost.hottest, more)
	}
	for _, sidecar := range simulated.Sidecars {
		cost.decreases += sidecar.Decreases
	}
	cost.table = len(simulated.Sidecars[0].Member.EncodeTable(4 << 20))
	return cost
}

// simulateRollout runs all claims in simulated time.
func (p *Proof) simulateRollout() {
	sizes, seeds := []int{50, 1000}, 1
	if !p.Quick {
		sizes, seeds = []int{50, 100, 200, 500, 1000}, 5
	}
	decreases := 0
	for _, members := range sizes {
		for _, lost := range []float64{0, 0.3} {
			p.progress("simulated: a change among %d, %.0f%% lost", members, 100*lost)
			var took []clock.Micros
			worst := changeCost{}
			for seed := range uint64(seeds) {
				cost := p.measureChange(p.newFleet(p.Seed*100+seed, members, lost), p.harmlessContent(2))
				took = append(took, cost.took)
				decreases += cost.decreases
				worst.mean, worst.hottest, worst.worstSecond = max(worst.mean, cost.mean), max(worst.hottest, cost.hottest), max(worst.worstSecond, cost.worstSecond)
				worst.table = max(worst.table, cost.table)
				worst.idleTraffic, worst.usualTraffic, worst.copies, worst.tried = max(worst.idleTraffic, cost.idleTraffic), max(worst.usualTraffic, cost.usualTraffic), max(worst.copies, cost.copies), max(worst.tried, cost.tried)
			}
			p.claim(countWithin(took, clock.Micros(inForceWithin)) == seeds, fmt.Sprintf("a change is in force at the last of %d, %.0f%% lost", members, 100*lost), "6 s", simulatedBySeed,
				"%s; tried by %d first", formatSpans(took), worst.tried)
			if lost == 0 {
				p.claim(worst.worstSecond <= maxBytesPerSecond && worst.copies <= maxCopies, fmt.Sprintf("its hottest member of %d: bytes sent, or come, in its worst second, with membership's messages and packets' heads", members),
					"18,000; 2 copies handed out", simulatedBySeed, "%.0f; %d copies of %d bytes (a full exchange of membership's, beside that, has %d)", worst.worstSecond, worst.copies, contentBytes, worst.table)
			} else {
				p.note(fmt.Sprintf("its hottest member of %d at 30%% lost", members), simulatedBySeed, "%.0f bytes in its worst second, of which membership's mean is %.0f anyway; %d copies", worst.worstSecond, worst.usualTraffic, worst.copies)
			}
			share := (worst.usualTraffic*changeInterval + worst.hottest) / changeInterval
			p.claim(share <= maxBytesPerSecond, fmt.Sprintf("bytes a second over the 51 s between two changes, the hottest of %d, %.0f%% lost", members, 100*lost), "18,000", simulatedBySeed,
				"%.0f (membership's messages %.0f, with the words on them %.0f; a change costs %.0f bytes in the mean, %.0f the hottest)", share, worst.idleTraffic, worst.usualTraffic, worst.mean, worst.hottest)
		}
	}
	decreases += p.checkHarmfulContents()
	decreases += p.checkTwoSources()
	decreases += p.checkLaggingMembers()
	decreases += p.checkManyChanges()
	p.claim(decreases == 0, "no number in force fell, in all of this", "0 times", simulatedBySeed, "%d", decreases)
}

// countDecreases returns how many times the number in force at a member went back.
func countDecreases(simulated *fleet.Fleet) (n int) {
	for _, sidecar := range simulated.Sidecars {
		n += sidecar.Decreases
	}
	return n
}

// checkHarmfulContents publishes harmful configurations and checks that only the members that try a change
// first are affected.
func (p *Proof) checkHarmfulContents() (decreases int) {
	members := 100
	p.progress("simulated: harmful configurations")
	simulated := p.newFleet(p.Seed, members, 0)
	counts := map[string]int{}
	simulated.OnEvent = func(_ fleet.Micros, _ int, e rollout.Event) { counts[fmt.Sprint(e.Version.Number, e.Kind)]++ }
	mustPublish(simulated, 0, p.harmlessContent(1))
	simulated.RunFor(20_000_000)
	for _, harmful := range []struct {
		number rollout.Number
		what   string
		share  float64
	}{{2, "delivers nothing", 0.0001}, {4, "delivers half", 0.5}} {
		version := mustPublish(simulated, 0, p.harmlessContent(harmful.number, func(content *fleet.Content) { content.SuccessShare = harmful.share }))
		simulated.RunFor(10_000_000)
		tried, force := counts[fmt.Sprint(harmful.number, "tries")], counts[fmt.Sprint(harmful.number, "in_force")]
		applied := simulated.CountApplied(version)
		back := mustPublish(simulated, 0, p.harmlessContent(harmful.number+1))
		took := clock.Micros(simulated.RunUntil(20_000_000, simulated.InForceEverywhere(back)))
		p.claim(tried <= trialMembers && force == 0 && applied <= trialMembers && took >= 0 && took <= clock.Micros(inForceWithin),
			fmt.Sprintf("one that %s, 20 visits/s a member: tried by few, in force nowhere; a higher number ends it", harmful.what), "5 of 100; 0; 6 s", simulatedBySeed,
			"tried by %d, in force at %d; %s", tried, force, formatSpans([]clock.Micros{took}))
		simulated.RunFor(15_000_000) // until there are enough requests again for the baseline
	}
	mustPublish(simulated, 0, p.harmlessContent(6, func(content *fleet.Content) { content.Crashes = true }))
	simulated.RunFor(15_000_000)
	killed, stoppedAt := simulated.Crashed, counts["6stopped"]
	back := mustPublish(simulated, 0, p.harmlessContent(7))
	took := clock.Micros(simulated.RunUntil(20_000_000, simulated.InForceEverywhere(back)))
	p.claim(killed <= 2*trialMembers && killed > 0 && counts["6in_force"] == 0 && took >= 0 && took <= clock.Micros(inForceWithin),
		"one that kills whoever takes it: twice each of the few at the most; a higher number ends it", "10 deaths of 100; 6 s", simulatedBySeed, "%d deaths, told by %d; %s",
		killed, stoppedAt, formatSpans([]clock.Micros{took}))
	simulated.RunFor(10_000_000)
	mustPublish(simulated, 0, p.harmlessContent(8, func(content *fleet.Content) {
		content.Refusal, content.Refuses = "fleet.json:12: no such name", func(i int) bool { return i == 77 }
	}))
	simulated.RunFor(10_000_000)
	p.claim(counts["8in_force"] == 0 && counts["8stopped"] == members, "one that a member can't read: in force nowhere, all are told", "0; all", simulatedBySeed,
		"in force at %d, tried by %d, told by %d of %d", counts["8in_force"], counts["8tries"], counts["8stopped"], members)
	return countDecreases(simulated)
}

// checkTwoSources publishes two different configurations with the same number at once: neither may be used.
func (p *Proof) checkTwoSources() (decreases int) {
	p.progress("simulated: two configurations with one number at once")
	inForce, contested, nextTook := 0, 0, []clock.Micros{}
	const runs = 10
	for seed := range uint64(runs) {
		simulated := p.newFleet(p.Seed*100+seed, 50, 0)
		mustPublish(simulated, 0, p.harmlessContent(1))
		simulated.RunFor(15_000_000)
		first, second := mustPublish(simulated, 0, p.harmlessContent(2)), mustPublish(simulated, 30, p.harmlessContent(2, func(c *fleet.Content) { c.Size++ }))
		simulated.RunFor(10_000_000)
		inForce += simulated.CountApplied(first) + simulated.CountApplied(second)
		for _, sidecar := range simulated.Sidecars {
			if sidecar.Status().Contested {
				contested++
			}
		}
		version := mustPublish(simulated, 0, p.harmlessContent(3))
		nextTook = append(nextTook, clock.Micros(simulated.RunUntil(20_000_000, simulated.InForceEverywhere(version))))
		decreases += countDecreases(simulated)
	}
	p.claim(inForce == 0 && contested == 50*runs && countWithin(nextTook, clock.Micros(inForceWithin)) == runs, "two contents of one number, at two control machines at once: neither is taken, all are told; a higher number ends it",
		"0 take one; all; 6 s", simulatedBySeed, "%d take one; %d of %d told; %s", inForce, contested, 50*runs, formatSpans(nextTook))
	return decreases
}

// checkLaggingMembers lets members miss changes, by a restart, a pause or a long split, and kills the control
// machine that was handed a change.
func (p *Proof) checkLaggingMembers() (decreases int) {
	p.progress("simulated: members that miss changes")
	const members = 50
	var restarted, paused, controlLost []clock.Micros
	runs := 4
	for seed := range uint64(runs) {
		simulated := p.newFleet(p.Seed*100+seed, members, 0)
		version := mustPublish(simulated, 0, p.harmlessContent(1))
		simulated.RunFor(500_000)
		simulated.Sidecars[0].Member.Kill()
		controlLost = append(controlLost, 500_000+clock.Micros(simulated.RunUntil(20_000_000, simulated.InForceEverywhere(version))))
		simulated.RunFor(5_000_000)
		simulated.Sidecars[7].Member.Stop()
		simulated.Restart(8, 10_000_000)
		mustPublish(simulated, 1, p.harmlessContent(2))
		simulated.RunFor(5_000_000)
		version = mustPublish(simulated, 2, p.harmlessContent(3))
		simulated.RunFor(4_999_000)
		simulated.Sidecars[7].Member.Continue()
		paused = append(paused, clock.Micros(simulated.RunUntil(20_000_000, func() bool { return simulated.Sidecars[7].Force == version })))
		begun := simulated.Now
		simulated.RunUntil(20_000_000, func() bool { return simulated.Sidecars[8].Force == version })
		restarted = append(restarted, clock.Micros(simulated.Now-begun)+paused[len(paused)-1])
		decreases += countDecreases(simulated)
	}
	p.claim(countWithin(controlLost, clock.Micros(inForceWithin)) == runs, fmt.Sprintf("the control machine dies 0.5 s after it was handed a change, %d members", members), "6 s", simulatedBySeed, "%s", formatSpans(controlLost))
	p.claim(countWithin(paused, clock.Micros(inForceWithin)) == runs && countWithin(restarted, clock.Micros(inForceWithin)) == runs, "one that stood still for 10 s, and one that restarts, over two changes: has the newest", "6 s", simulatedBySeed,
		"stood still: %s; restarted: %s", formatSpans(paused), formatSpans(restarted))
	splitSeconds := 3600
	if p.Quick {
		splitSeconds = 900
	}
	simulated := p.newFleet(p.Seed, 20, 0)
	simulated.Cut = func(from, to int) bool { return from%2 != to%2 }
	simulated.RunFor(30_000_000)
	mustPublish(simulated, 0, p.harmlessContent(1))
	simulated.RunFor(30_000_000)
	version := mustPublish(simulated, 0, p.harmlessContent(2))
	simulated.RunFor(fleet.Micros(splitSeconds) * 1_000_000)
	inForceApart := simulated.CountApplied(version)
	simulated.Cut = nil
	healed := clock.Micros(simulated.RunUntil(20_000_000, simulated.InForceEverywhere(version)))
	p.claim(inForceApart == 10 && healed >= 0 && healed <= clock.Micros(inForceWithin), fmt.Sprintf("halves of 20 apart for %d s, one of which has two changes: the others have the newest after it", splitSeconds), "10 of 20; 6 s", simulatedBySeed,
		"%d of 20; %s", inForceApart, formatSpans([]clock.Micros{healed}))
	return decreases + countDecreases(simulated)
}

// checkManyChanges publishes many good changes in a row while members restart: none may be stopped.
func (p *Proof) checkManyChanges() (decreases int) {
	const members, interval = 30, 4_000_000
	changes := 1700
	if p.Quick {
		changes = 150
	}
	p.progress("simulated: %d changes in a row", changes)
	simulated := p.newFleet(p.Seed, members, 0)
	simulated.RunFor(10_000_000)
	stopped := map[rollout.Number]bool{}
	simulated.OnEvent = func(_ fleet.Micros, _ int, event rollout.Event) {
		if event.Kind == "stopped" {
			stopped[event.Version.Number] = true
		}
	}
	var took []clock.Micros
	restarts := 0
	for number := range changes {
		version := mustPublish(simulated, number%2, p.harmlessContent(rollout.Number(number+1), func(content *fleet.Content) { content.Size += number }))
		if number%9 == 4 { // a restart every 36 s; the requirement has one every 480 s
			restarts++
			simulated.RunFor(1_000_000)
			simulated.Restart(2+(number*7)%(members-2), 1_500_000)
		}
		begun := simulated.Now
		one := clock.Micros(simulated.RunUntil(fleet.Micros(inForceWithin), simulated.InForceEverywhere(version)))
		took = append(took, one)
		if left := interval - (simulated.Now - begun); left > 0 {
			simulated.RunFor(left)
		}
	}
	late := len(took) - countWithin(took, clock.Micros(inForceWithin))
	p.claim(len(stopped) == 0 && late == 0, fmt.Sprintf("%d good changes in a row among %d, one each 4 s, and %d restarts: all in force in 6 s, none stopped", changes, members, restarts), "0 late, 0 stopped", simulatedBySeed,
		"%d late, %d stopped; %s", late, len(stopped), formatSpans(took))
	return countDecreases(simulated)
}

// publishAndWait publishes a harmless configuration, calls meanwhile, and returns how long it took until the
// configuration was in force at the last of the given processes.
func (r *rolloutRun) publishAndWait(at int, processes []int, meanwhile func() error) (clock.Micros, error) {
	begun, err := r.publish(at, harmlessConfig(int(r.published)))
	if err == nil && meanwhile != nil {
		err = meanwhile()
	}
	if err != nil {
		return -1, err
	}
	if _, err := r.AwaitRolloutStatus(processes, 30*time.Second, runner.InForce(r.published)); err != nil {
		return -1, err
	}
	return r.inForceAfter(begun, processes), nil
}
