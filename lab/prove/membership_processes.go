package prove

// This file has the claims on membership that are checked with real processes, against the lab's record of what
// happened.

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/judge"
	"ledgespread/lab/network"
	"ledgespread/lab/rng"
	"ledgespread/lab/runner"
	"ledgespread/lab/sidecars"
)

// fleetRun is a running scenario with real sidecar processes under load.
type fleetRun struct {
	*runner.Rig
	members  int
	finished chan error
	verdict  *judge.Verdict
}

// startFleet starts the processes and the load, and waits until all members agree that all are alive.
func (p *Proof) startFleet(seed uint64, members int) (*fleetRun, error) {
	s := p.parse(membershipScenario, seed, members, probeEvery.Duration(), members*requestRate)
	rig, err := runner.NewRig(s, runner.Options{Program: sidecars.Program{Path: p.Sidecar.Path, Args: []string{"serve"}, Name: p.Sidecar.Name}, Seed: seed, Stop: p.Stop})
	if err != nil {
		return nil, err
	}
	fleet := &fleetRun{Rig: rig, members: members, finished: make(chan error, 1)}
	go func() {
		result, err := rig.Run()
		if err == nil {
			fleet.verdict = result.Verdict
		}
		fleet.finished <- err
	}()
	if _, err := fleet.AwaitTables(fleet.except(), 60*time.Second, runner.AliveExactly(fleet.except())); err != nil {
		rig.Close()
		return nil, err
	}
	return fleet, nil
}

// except returns the indices of all members but those given.
func (f *fleetRun) except(excluded ...int) (out []int) {
	for i := range f.members {
		if !slices.Contains(excluded, i) {
			out = append(out, i)
		}
	}
	return out
}

// stop stops the load and the processes. It returns the violations of rules and the wrong declarations of death.
func (f *fleetRun) stop() (broken []judge.Violation, falseDeaths []judge.StateChange, err error) {
	f.StopSending()
	if err = <-f.finished; err != nil {
		return nil, nil, err
	}
	truth := f.GroundTruth()
	for _, change := range f.StateReports() {
		if truth.IsFalseDeath(change, 4*clock.Second, toleratedPause) {
			falseDeaths = append(falseDeaths, change)
		}
	}
	f.Close()
	return f.verdict.Certain(), falseDeaths, nil
}

// deathKnownAfter returns how long after since the last of the observers had declared the named member dead; -1 if
// one of them has not.
func (f *fleetRun) deathKnownAfter(name string, since clock.Micros, observers []int) clock.Micros {
	last := map[string]clock.Micros{}
	for _, change := range f.StateReports() {
		if change.Name == name && change.Is == "dead" && change.At >= since {
			if _, had := last[change.By]; !had {
				last[change.By] = change.At - since
			}
		}
	}
	longest := clock.Micros(-1)
	for _, i := range observers {
		took, declared := last[fmt.Sprint("n", i)]
		if !declared {
			return -1
		}
		longest = max(longest, took)
	}
	return longest
}

// processLogs is how the claims on real processes are measured.
const processLogs = "the processes' logs, against the lab's truth"

// checkProcesses runs the claims on one group of processes in order: traffic, deaths, pauses and cuts, a split
// in halves and a flood. It then runs the random schedules.
func (p *Proof) checkProcesses() error {
	members, kills, disturbed, schedules := 50, 20, 120*clock.Second, 30
	if p.Quick {
		members, kills, disturbed, schedules = 16, 2, 5*clock.Second, 1
	}
	p.progress("%d processes", members)
	fleet, err := p.startFleet(p.Seed, members)
	if err != nil {
		return err
	}
	defer fleet.Close()
	if err := p.checkTraffic(fleet); err != nil {
		return err
	}
	var deathKnown, restartKnown []clock.Micros
	draw := rng.New(p.Seed, "muster")
	for round := range kills {
		p.progress("kill %d of %d", round+1, kills)
		victim := draw.Below(members)
		at := fleet.Now()
		fleet.Kill(victim)
		name := fmt.Sprint("n", victim)
		if _, err := fleet.AwaitTables(fleet.except(victim), 30*time.Second, runner.HasState(name, "dead")); err != nil {
			return err
		}
		deathKnown = append(deathKnown, fleet.deathKnownAfter(name, at, fleet.except(victim)))
		if err := fleet.Start(victim, round%3 == 2); err != nil {
			return err
		}
		took, err := fleet.AwaitTables(fleet.except(), 30*time.Second, runner.AliveExactly(fleet.except()))
		if err != nil {
			return err
		}
		restartKnown = append(restartKnown, took)
	}
	p.claim(countWithin(deathKnown, deathKnownWithin) >= (19*kills+19)/20, fmt.Sprintf("a killed process of %d is known to all", members), "3 s in 19 of 20", processLogs, "%s", formatSpans(deathKnown))
	p.note("restarted, at another address each third time: all agree after its start", "the processes' tables", "%s", formatSpans(restartKnown))

	p.progress("pauses of 1 s and cuts of one direction at 10%% loss, %.0f member-minutes", float64(members)*float64(disturbed)/60e6)
	eachPair := func(do func(i, j int)) {
		for i := range members {
			for j := range members {
				if i != j {
					do(i, j)
				}
			}
		}
	}
	eachPair(func(i, j int) { fleet.Link(i, j, func(link *network.Link) { link.Lost = 0.1 }) })
	disturbedFrom, begun := fleet.Now(), fleet.Now()
	for fleet.Now()-begun < disturbed {
		from, to, paused := draw.Below(members), draw.Below(members), draw.Below(members)
		toHalf := draw.Float() < 0.3
		cut := func(on bool) {
			for j := range members {
				if j != from && (j == to || toHalf && j%2 == 0) {
					fleet.Cut(from, j, on)
				}
			}
		}
		cut(true)
		fleet.Signal(paused, syscall.SIGSTOP)
		(toleratedPause * 9 / 10).Sleep() // shortened since the sleep of the lab itself takes longer than asked
		fleet.Signal(paused, syscall.SIGCONT)
		(1500 * clock.Milli).Sleep()
		cut(false)
	}
	memberMinutes := float64(members) * float64(fleet.Now()-begun) / 60e6
	eachPair(func(i, j int) { fleet.Link(i, j, func(link *network.Link) { link.Lost = 0 }) })
	deaths := 0
	truth := fleet.GroundTruth()
	for _, change := range fleet.StateReports() {
		if change.At >= disturbedFrom && truth.IsFalseDeath(change, 4*clock.Second, toleratedPause) {
			deaths++
		}
	}
	p.claim(deaths == 0, fmt.Sprintf("no false death among processes: pauses of 1 s, cuts one way, 10%% lost, %.0f member-minutes", memberMinutes), "0 words", processLogs, "%d", deaths)
	settled, err := fleet.AwaitTables(fleet.except(), 30*time.Second, runner.AliveExactly(fleet.except()))
	if err != nil {
		return err
	}

	p.progress("a split in halves")
	eachPair(func(i, j int) {
		if i%2 != j%2 {
			fleet.Cut(i, j, true)
		}
	})
	for side := range 2 {
		var oneSide []int
		for i := side; i < members; i += 2 {
			oneSide = append(oneSide, i)
		}
		if _, err := fleet.AwaitTables(oneSide, 30*time.Second, func(i int, table *runner.Table) bool {
			return runner.AliveExactly(oneSide)(i, table) && table.Part == "lesser" && table.Senders >= members
		}); err != nil {
			return err
		}
	}
	eachPair(func(i, j int) {
		if i%2 != j%2 {
			fleet.Cut(i, j, false)
		}
	})
	healed, err := fleet.AwaitTables(fleet.except(), 30*time.Second, runner.AliveExactly(fleet.except()))
	if err != nil {
		return err
	}
	p.claim(healed <= healWithin, "halves are healed: all agree", "2 s", "the processes' tables, looked at in turn", "%.2f s (after the disturbance %.2f s)", float64(healed)/1e6, float64(settled)/1e6)
	if err := p.flood(fleet); err != nil {
		return err
	}
	broken, falseDeaths, err := fleet.stop()
	if err != nil {
		return err
	}
	p.claim(len(broken) == 0, "the visits meanwhile: none lost, no effect twice", "no rule broken", "judge, by all accounts", "%s", formatViolations(broken))
	p.claim(len(falseDeaths) == 0, "no false death in all of this", "0 words", processLogs, "%d", len(falseDeaths))
	return p.checkSchedules(schedules)
}

// formatViolations formats the number of violations and the first of them.
func formatViolations(broken []judge.Violation) string {
	if len(broken) == 0 {
		return "none"
	}
	return fmt.Sprintf("%d, first %v", len(broken), broken[0])
}
