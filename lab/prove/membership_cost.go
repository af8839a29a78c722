package prove

// This file has the claims on the cost of membership, on floods of datagrams and on random schedules of faults.

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
	"ledgespread/lab/runner"
)

// checkTraffic measures the membership traffic per request while there are no faults.
func (p *Proof) checkTraffic(fleet *fleetRun) error {
	sum := func() (bytes, messages int64, err error) {
		for i := range fleet.members {
			table, err := fleet.Table(i)
			if err != nil {
				return 0, 0, err
			}
			bytes, messages = bytes+table.Counts["sent_bytes"], messages+table.Counts["sent"]
		}
		return bytes, messages, nil
	}
	(4 * clock.Second).Sleep() // the gossip on the joins has ended by then
	bytesBefore, messagesBefore, err := sum()
	if err != nil {
		return err
	}
	begun := fleet.Now()
	(5 * clock.Second).Sleep()
	bytesAfter, messagesAfter, err := sum()
	if err != nil {
		return err
	}
	memberSeconds := float64(fleet.Now()-begun) / 1e6 * float64(fleet.members)
	p.claim(float64(bytesAfter-bytesBefore)/memberSeconds/requestRate < maxBytesPerRequest, "traffic when calm, at 5 visits/s a sidecar", "under 256 bytes a visit", "the processes' counters",
		"%.0f bytes a visit, %.0f bytes/s and %.1f messages/s a member", float64(bytesAfter-bytesBefore)/memberSeconds/requestRate, float64(bytesAfter-bytesBefore)/memberSeconds, float64(messagesAfter-messagesBefore)/memberSeconds)
	return nil
}

// flood sends one member 50,000 malformed datagrams a second from two addresses and kills another member
// meanwhile. It claims that the flooded member uses little more CPU time and still learns of the death in time.
func (p *Proof) flood(fleet *fleetRun) error {
	p.progress("a flood of malformed datagrams")
	const datagramsPerSecond, target = 50_000, 0
	targetAddress := net.UDPAddrFromAddrPort(fleet.MemberAddress(target))
	cpuAndDropped := func() (cpu time.Duration, counts int64, err error) {
		cpu = fleet.CPU(target)
		table, err := fleet.Table(target)
		if err != nil {
			return 0, 0, err
		}
		for _, kind := range []string{"over_rate", "malformed", "group", "version", "strangers", "too_long", "flood"} {
			counts += table.Counts[kind]
		}
		return cpu, counts, nil
	}
	span := 3 * clock.Second
	cpuBefore, _, err := cpuAndDropped()
	if err != nil {
		return err
	}
	begun := fleet.Now()
	span.Sleep()
	cpuCalm, droppedBefore, err := cpuAndDropped()
	if err != nil {
		return err
	}
	calmCPU := float64(cpuCalm-cpuBefore) / float64((fleet.Now() - begun).Duration())
	stop, sent := make(chan bool), [2]int{}
	var senders sync.WaitGroup
	for sender := range 2 {
		conn, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 250, 0, byte(sender+1))}, targetAddress)
		if err != nil {
			return err
		}
		senders.Add(1)
		go func() {
			defer senders.Done()
			defer conn.Close()
			for begun, count := time.Now(), 0; ; {
				select {
				case <-stop:
					return
				default:
				}
				for due := int(time.Since(begun).Seconds() * datagramsPerSecond / 2); count < due; count++ {
					conn.Write([]byte{1, 6, 1, 2, 3, 4, 0, 1, 'x', 0, 0, 0, byte(count)})
					sent[sender]++
				}
				time.Sleep(500 * time.Microsecond)
			}
		}()
	}
	begun = fleet.Now()
	victim := fleet.members - 1
	name := fmt.Sprint("n", victim)
	fleet.Kill(victim)
	_, err = fleet.AwaitTables(fleet.except(victim), 30*time.Second, runner.HasState(name, "dead"))
	known, others := fleet.deathKnownAfter(name, begun, []int{target}), fleet.deathKnownAfter(name, begun, fleet.except(victim, target))
	if left := span - (fleet.Now() - begun); left > 0 {
		left.Sleep()
	}
	cpuFlooded, droppedAfter, tableErr := cpuAndDropped()
	floodedCPU := float64(cpuFlooded-cpuCalm) / float64((fleet.Now() - begun).Duration())
	rate := float64(sent[0]+sent[1]) / (float64(fleet.Now()-begun) / 1e6)
	close(stop)
	senders.Wait()
	if err != nil {
		return err
	}
	if tableErr != nil {
		return tableErr
	}
	p.claim(floodedCPU-calmCPU < 0.1 && known <= max(deathKnownWithin, others+toleratedPause/4), "a flood of datagrams that are no messages", "under 0.1 core more; a death known there in 3 s or 0.25 s after the others",
		"CPU time by the kernel; the processes' logs", "%.0f sent/s, %d dropped: %.3f core more (%.3f, %.3f calm); known there after %.2f s, to the others after %.2f s", rate, droppedAfter-droppedBefore,
		floodedCPU-calmCPU, floodedCPU, calmCPU, float64(known)/1e6, float64(others)/1e6)
	return fleet.Start(victim, false)
}

// checkSchedules runs random, possibly overlapping faults, drawn from a seed each, and checks that all members
// agree afterwards.
func (p *Proof) checkSchedules(schedules int) error {
	const members = 12
	var agreeTimes []clock.Micros
	violations, falseDeaths, visits := 0, 0, 0
	worst := ""
	for schedule := range schedules {
		seed := p.Seed*100 + uint64(schedule)
		p.progress("schedule %d of %d, seed %d", schedule+1, schedules, seed)
		fleet, err := p.startFleet(seed, members)
		if err != nil {
			return err
		}
		err = fleet.injectFaults(rng.New(seed, "schedule"), 7*clock.Second)
		if err != nil {
			fleet.Close()
			return err
		}
		took, err := fleet.AwaitTables(fleet.except(), 30*time.Second, runner.AliveExactly(fleet.except()))
		if err != nil {
			worst = fmt.Sprintf("; seed %d: %v", seed, err)
			took = -1
		}
		agreeTimes = append(agreeTimes, took)
		visits += len(fleet.Tries())
		broken, wrongDeaths, err := fleet.stop()
		if err != nil {
			return err
		}
		if len(broken) > 0 {
			worst = fmt.Sprintf("; seed %d: %v", seed, broken[0])
		}
		if len(wrongDeaths) > 0 {
			worst = fmt.Sprintf("; seed %d: %+v", seed, wrongDeaths[0])
		}
		violations, falseDeaths = violations+len(broken), falseDeaths+len(wrongDeaths)
	}
	p.claim(countWithin(agreeTimes, agreeWithin) == schedules && violations == 0 && falseDeaths == 0, fmt.Sprintf("%d random schedules of faults among %d processes", schedules, members),
		"all agree 5 s after the last; no visit lost; no false death", "tables; judge; logs against the truth", "agreed %s; %d broken of %d tries; %d false deaths%s",
		formatSpans(agreeTimes), violations, visits, falseDeaths, worst)
	return nil
}

// injectFaults injects random faults for a time (kills, pauses, cuts, packet loss) and then ends those that
// still last.
func (f *fleetRun) injectFaults(draw *rng.Source, span clock.Micros) error {
	begun := f.Now()
	paused, cut := map[int]bool{}, map[[2]int]bool{}
	var err error
	for err == nil && f.Now()-begun < span {
		member, other := draw.Below(f.members), draw.Below(f.members)
		switch what := draw.Below(7); {
		case what == 0 && !paused[member]:
			f.Kill(member)
			(clock.Micros(draw.Below(2500)) * clock.Milli).Sleep()
			err = f.Start(member, draw.Float() < 0.3)
		case what == 1:
			if paused[member] {
				f.Signal(member, syscall.SIGCONT)
			} else {
				f.Signal(member, syscall.SIGSTOP)
			}
			paused[member] = !paused[member]
		case what == 2 && member != other:
			cut[[2]int{member, other}] = !cut[[2]int{member, other}]
			f.Cut(member, other, cut[[2]int{member, other}])
		case what == 3:
			for to := range f.members {
				if to != member {
					cut[[2]int{member, to}] = to%2 == 0
					f.Cut(member, to, to%2 == 0)
				}
			}
		case what == 4:
			for from := range f.members {
				for to := range f.members {
					if on := (from < member) != (to < member); from != to {
						cut[[2]int{from, to}] = on
						f.Cut(from, to, on)
					}
				}
			}
		default:
			lossRate, lateRate := 0.4*draw.Float(), 0.2*draw.Float()
			f.SetAllLinks(lossRate, lossRate/2, lateRate, 2*clock.Second)
		}
		(clock.Micros(200+draw.Below(800)) * clock.Milli).Sleep()
	}
	for member, on := range paused {
		if on {
			f.Signal(member, syscall.SIGCONT)
		}
	}
	for direction, on := range cut {
		if on {
			f.Cut(direction[0], direction[1], false)
		}
	}
	f.SetAllLinks(0, 0, 0, 0)
	return err
}
