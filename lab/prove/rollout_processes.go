package prove

// This file has the claims on configuration rollout that are checked with real processes.

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/network"
	"ledgespread/lab/runner"
	"ledgespread/lab/sidecars"
)

// rolloutScenario is the scenario of the rollout proof with real processes; seed, number of sidecars, probe interval
// and rate are filled in.
const rolloutScenario = `name = "carried"
length = "3600s"
zones = ["bangna", "lat-krabang", "chon-buri"]
seed = %d
[sidecars]
count = %d
[members]
probe_every = %q
control = 2
` + workload

// harmlessConfig returns a harmless configuration, a different one for each number.
func harmlessConfig(number int) string {
	return fmt.Sprintf("{\"settings\": {\"beyond_share_value\": %g}}", 0.1+float64(number)/10_000)
}

// harmfulConfig is a configuration with which no connection to a server can be established.
const harmfulConfig = "{\"settings\": {\"allowed\": {\"conn_idle_us\": 1, \"connect_timeout_us\": 1}}}"

// rolloutRun is a running scenario with real processes, and the number of the configuration published last.
type rolloutRun struct {
	*fleetRun
	published uint64
}

// publish hands the next configuration to one process and returns when it did so.
func (r *rolloutRun) publish(at int, text string) (begun clock.Micros, err error) {
	r.published++
	begun = r.Now()
	refused, err := r.Publish(at, r.published, text)
	if err == nil && refused != "" {
		err = fmt.Errorf("number %d is refused: %s", r.published, refused)
	}
	return begun, err
}

// inForceAfter returns how long after since the last of the given processes had logged that the newest
// configuration is in force; -1 if one has not.
func (r *rolloutRun) inForceAfter(since clock.Micros, processes []int) clock.Micros {
	appliedAt := map[int]clock.Micros{}
	for _, applied := range r.AppliedConfigurations() {
		if _, had := appliedAt[applied.Sidecar]; !had && applied.Number >= r.published {
			appliedAt[applied.Sidecar] = applied.At
		}
	}
	longest := clock.Micros(0)
	for _, i := range processes {
		when, there := appliedAt[i]
		if !there {
			return -1
		}
		longest = max(longest, when-since)
	}
	return longest
}

// checkRolloutProcesses runs all claims on one group of processes.
func (p *Proof) checkRolloutProcesses() error {
	members, changes := 24, 10
	if p.Quick {
		members, changes = 12, 3
	}
	p.progress("%d processes", members)
	s := p.parse(rolloutScenario, p.Seed, members, probeEvery.Duration(), members*rolloutRequestRate)
	rig, err := runner.NewRig(s, runner.Options{Program: sidecars.Program{Path: p.Sidecar.Path, Args: []string{"serve"}, Name: p.Sidecar.Name}, Seed: p.Seed, Stop: p.Stop})
	if err != nil {
		return err
	}
	run := &rolloutRun{fleetRun: &fleetRun{Rig: rig, members: members, finished: make(chan error, 1)}}
	defer run.Close()
	go func() {
		result, err := rig.Run()
		if err == nil {
			run.verdict = result.Verdict
		}
		run.finished <- err
	}()
	if _, err := run.AwaitTables(run.except(), 60*time.Second, runner.AliveExactly(run.except())); err != nil {
		return err
	}
	baselineTime.Sleep()
	if err := p.checkCalm(run, changes); err != nil {
		return err
	}
	if err := p.checkFaults(run); err != nil {
		return err
	}
	if err := p.checkHarmful(run); err != nil {
		return err
	}
	last, decreases := map[int]uint64{}, 0
	for _, applied := range run.AppliedConfigurations() {
		if applied.Number < last[applied.Sidecar] {
			decreases++
		}
		last[applied.Sidecar] = applied.Number
	}
	p.claim(decreases == 0, "no number in force fell, among processes", "0 times", rolloutLogs, "%d", decreases)
	visits := len(run.Tries())
	broken, falseDeaths, err := run.stop()
	if err != nil {
		return err
	}
	p.claim(len(broken) == 0, "the visits meanwhile: none lost, no effect twice", "no rule broken", "judge, by all accounts", "%s, of %d tries", formatViolations(broken), visits)
	p.claim(len(falseDeaths) == 0, "no false death in all of this", "0 words", processLogs, "%d", len(falseDeaths))
	return nil
}

// totals returns the bytes that all processes sent in datagrams, the most copies of the configuration that one of
// them handed out, and the bytes of all copies.
func (r *rolloutRun) totals() (datagrams, copies, served int64, err error) {
	for i := range r.members {
		table, err := r.Table(i)
		if err != nil {
			return 0, 0, 0, err
		}
		status, err := r.RolloutStatus(i)
		if err != nil {
			return 0, 0, 0, err
		}
		datagrams += table.Counts["sent_bytes"]
		copies, served = max(copies, status.Counts["served"]), served+status.Counts["served_bytes"]
	}
	return datagrams, copies, served, nil
}

// checkCalm measures how long changes take and what they cost while there are no faults.
func (p *Proof) checkCalm(run *rolloutRun, times int) error {
	datagramsBefore, _, servedBefore, err := run.totals()
	if err != nil {
		return err
	}
	begun := run.Now()
	(4 * clock.Second).Sleep()
	datagramsCalm, copiesCalm, _, err := run.totals()
	if err != nil {
		return err
	}
	calm := float64(datagramsCalm-datagramsBefore) / float64(run.members) / (float64(run.Now()-begun) / 1e6)
	begun = run.Now()
	var took []clock.Micros
	for change := range times {
		p.progress("a change, %d of %d", change+1, times)
		changeTook, err := run.publishAndWait(change%2, run.except(), nil)
		if err != nil {
			return err
		}
		took = append(took, changeTook)
	}
	datagramsAfter, copiesAfter, servedAfter, err := run.totals()
	if err != nil {
		return err
	}
	span := float64(run.Now()-begun) / 1e6
	each := float64(datagramsAfter-datagramsCalm+servedAfter-servedBefore)/float64(run.members) - span*calm
	p.claim(countWithin(took, inForceWithin) == times, fmt.Sprintf("a change is in force at the last of %d processes", run.members), "6 s", rolloutLogs, "%s", formatSpans(took))
	p.claim(calm+each/float64(times)/changeInterval < maxBytesPerSecond, "bytes a second and process over the 51 s between two changes", "18,000", "the processes' counters",
		"%.0f of membership's messages with the words in, and %.0f a change; %d copies at the most from one, in %d changes", calm, each/float64(times), copiesAfter-copiesCalm, times)
	return nil
}

// checkFaults publishes changes during a kill, a pause, cuts, packet loss, a split, the loss of a control
// machine, and with two sources of one number.
func (p *Proof) checkFaults(run *rolloutRun) error {
	members := run.members
	draw := func(i int) int { return 2 + (int(p.Seed)*5+i*3)%(members-2) } // never a control machine, which are 0 and 1
	killed, paused, cut := draw(0), draw(1), draw(2)
	var ready, resumed clock.Micros
	p.progress("one process is killed and one paused during a change")
	_, err := run.publishAndWait(0, run.except(), func() error {
		(300 * clock.Milli).Sleep()
		run.Signal(paused, syscall.SIGSTOP)
		run.Kill(killed)
		(1500 * clock.Milli).Sleep()
		run.Signal(paused, syscall.SIGCONT)
		resumed = run.Now()
		ready = run.Now()
		return run.Start(killed, false)
	})
	if err != nil {
		return err
	}
	killedTook, pausedTook := run.inForceAfter(ready, []int{killed}), run.inForceAfter(resumed, []int{paused})
	others := run.inForceAfter(resumed, run.except(killed, paused))
	p.claim(countWithin([]clock.Micros{max(killedTook, 0), max(pausedTook, 0), max(others, 0)}, inForceWithin) == 3, "one is killed and one stopped for 1.5 s, 0.3 s after a change: in force at them, and at all others", "6 s after start and pause", rolloutLogs,
		"killed: %.3f s, stopped: %.3f s, others %.3f s", toSeconds(killedTook), toSeconds(pausedTook), toSeconds(others))

	(4 * clock.Second).Sleep()
	p.progress("all messages to one process are blocked")
	for j := range members {
		if j != cut {
			run.Cut(j, cut, true)
		}
	}
	if _, err := run.publishAndWait(1, run.except(cut), nil); err != nil {
		return err
	}
	(2 * clock.Second).Sleep()
	status, err := run.RolloutStatus(cut)
	if err != nil {
		return err
	}
	kept := status.InForce == run.published-1
	reconnected := run.Now()
	for j := range members {
		if j != cut {
			run.Cut(j, cut, false)
		}
	}
	if _, err := run.AwaitRolloutStatus(run.except(), 30*time.Second, runner.InForce(run.published)); err != nil {
		return err
	}
	reached := run.inForceAfter(reconnected, []int{cut})
	p.claim(kept && reached >= 0 && reached <= inForceWithin, "every word to one is cut during a change: it goes on with its last, and has the newest once mended", "its last; 6 s", rolloutLogs,
		"its last: %v; %.2f s", kept, toSeconds(reached))

	p.progress("30%% of the datagrams lost")
	setLoss := func(lost float64) {
		for i := range members {
			for j := range members {
				if i != j {
					run.Link(i, j, func(link *network.Link) { link.Lost = lost })
				}
			}
		}
	}
	setLoss(0.3)
	(3 * clock.Second).Sleep()
	lossy, err := run.publishAndWait(0, run.except(), nil)
	if err != nil {
		return err
	}
	setLoss(0)
	p.claim(lossy >= 0 && lossy <= inForceWithin, "a change with 30% of datagrams lost between all", "6 s", rolloutLogs, "%.2f s", toSeconds(lossy))

	p.progress("a split in halves, with a change in one of them")
	splitHalves := func(on bool) {
		for i := range members {
			for j := range members {
				if i%2 != j%2 {
					run.Cut(i, j, on)
				}
			}
		}
	}
	var oneHalf []int
	for i := 0; i < members; i += 2 {
		oneHalf = append(oneHalf, i)
	}
	splitHalves(true)
	(4 * clock.Second).Sleep() // by then most have declared the other half dead
	if _, err := run.publishAndWait(0, oneHalf, nil); err != nil {
		return err
	}
	reconnected = run.Now()
	splitHalves(false)
	if _, err := run.AwaitRolloutStatus(run.except(), 30*time.Second, runner.InForce(run.published)); err != nil {
		return err
	}
	healed := run.inForceAfter(reconnected, run.except())
	p.claim(healed >= 0 && healed <= inForceWithin, "halves, one of which has a change: the other has it once healed", "6 s", rolloutLogs, "%.2f s", toSeconds(healed))

	p.progress("a control machine is lost")
	lost, err := run.publishAndWait(0, run.except(0), func() error {
		(100 * clock.Milli).Sleep()
		run.Kill(0)
		return nil
	})
	if err != nil {
		return err
	}
	other, err := run.publishAndWait(1, run.except(0), nil)
	if err != nil {
		return err
	}
	ready = run.Now()
	if err := run.Start(0, false); err != nil {
		return err
	}
	if _, err := run.AwaitRolloutStatus(run.except(), 30*time.Second, runner.InForce(run.published)); err != nil {
		return err
	}
	took := run.inForceAfter(ready, []int{0})
	p.claim(countWithin([]clock.Micros{lost, other, max(took, 0)}, inForceWithin) == 3, "the control machine is killed 0.1 s after it was handed a change; the other has the next; the first is back", "6 s each", rolloutLogs,
		"%.2f s, %.2f s; back after %.2f s", toSeconds(lost), toSeconds(other), toSeconds(took))

	p.progress("two configurations with one number at once")
	splitHalves(true)
	(3 * clock.Second).Sleep()
	if _, err := run.publish(0, harmlessConfig(1000)); err != nil {
		return err
	}
	if refused, err := run.Publish(1, run.published, harmlessConfig(1001)); err != nil || refused != "" {
		return fmt.Errorf("%s %v", refused, err)
	}
	(300 * clock.Milli).Sleep()
	reconnected = run.Now()
	splitHalves(false)
	if _, err := run.AwaitRolloutStatus(run.except(), 30*time.Second, func(_ int, s *runner.RolloutStatus) bool { return s.Newest == run.published && s.Contested }); err != nil {
		return err
	}
	conflictSeen := run.Now() - reconnected
	inForce := 0
	for i := range members {
		status, err := run.RolloutStatus(i)
		if err != nil {
			return err
		}
		if status.InForce == run.published {
			inForce++
		}
	}
	next, err := run.publishAndWait(0, run.except(), nil)
	if err != nil {
		return err
	}
	p.claim(inForce == 0 && conflictSeen <= inForceWithin && next >= 0 && next <= inForceWithin, "two contents of one number, in halves that heal before either is judged: neither is in force, all are told; a higher number ends it", "0; 6 s; 6 s",
		rolloutLogs, "in force at %d; told after %.2f s; %.2f s", inForce, toSeconds(conflictSeen), toSeconds(next))
	return nil
}

// checkHarmful publishes an invalid and a harmful configuration: neither may come into force.
func (p *Proof) checkHarmful(run *rolloutRun) error {
	p.progress("a harmful configuration")
	baselineTime.Sleep() // so that restarted processes have a baseline too
	refused, err := run.Publish(0, run.published+1, "{\n \"settings\": {\n  \"me\": 1,\n  \"step_us\": 0}}")
	if err != nil {
		return err
	}
	p.claim(strings.HasPrefix(refused, fmt.Sprintf("configuration %d:4: settings: step_us: ", run.published+1)), "a file that can't be: refused to staff with its line, in force nowhere", "line 4, step_us", "the control machine's answer", "%s", refused)
	begun, err := run.publish(0, harmfulConfig)
	if err != nil {
		return err
	}
	if _, err := run.AwaitRolloutStatus(run.except(), 30*time.Second, func(_ int, s *runner.RolloutStatus) bool { return s.Newest == run.published && s.Stage == "stopped" }); err != nil {
		return err
	}
	stopped := run.Now() - begun
	tried, inForce := 0, 0
	for i := range run.members {
		status, err := run.RolloutStatus(i)
		if err != nil {
			return err
		}
		if status.OnTrial {
			tried++
		}
		if status.InForce == run.published {
			inForce++
		}
	}
	nextTook, err := run.publishAndWait(1, run.except(), nil)
	if err != nil {
		return err
	}
	trials := min(trialMembers, run.members/3)
	p.claim(tried > 0 && tried <= trials && inForce == 0 && stopped <= inForceWithin && nextTook >= 0 && nextTook <= inForceWithin, fmt.Sprintf("a file with which no connection comes about, %d visits/s a process: tried by few, in force nowhere; a higher number ends it", rolloutRequestRate),
		fmt.Sprintf("%d of %d; 0; 6 s each", trials, run.members), rolloutLogs, "tried by %d, in force at %d; known to all after %.2f s; ended after %.2f s", tried, inForce, toSeconds(stopped), toSeconds(nextTook))
	return nil
}
