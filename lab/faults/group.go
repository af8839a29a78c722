package faults

// group.go: runs of the membership protocol alone, without requests.

import (
	"slices"

	"ledgespread/decide/membership"
	"ledgespread/decide/membership/membersim"
)

// Group holds the measurements of the production membership protocol when a zone fails, or when a network partition lasts
// longer than dead members are retained. Traffic is the mean over members, with 28 bytes of headers per datagram.
type Group struct {
	Kind     Kind    `json:"kind"`
	Members  int     `json:"members"`
	Lost     int     `json:"lost"`          // members that failed, or that the partition separates from the majority
	Known    float64 `json:"known_s"`       // until all members hold all unreachable ones for dead; -1: not within the run
	First    float64 `json:"known_first_s"` // the same for the first member
	Calm     float64 `json:"bytes_per_s"`
	Worst    float64 `json:"bytes_per_s_worst_second"`
	Messages float64 `json:"messages_per_s_worst_second"`
	// Over is the number of seconds in which traffic exceeded the required limit on control bytes.
	Over float64 `json:"over_budget_s"`
	// For Regions: the lowest number of senders that any member counted before dead members were forgotten (Before) and that
	// any member of either part counted afterwards; and the sorted times from the end of the partition until each member of
	// the majority counts all senders again, -1 if not within 60 s.
	Forget       float64   `json:"forget_s,omitempty"`
	Before       int       `json:"senders_before_forget,omitempty"`
	GreaterAfter int       `json:"senders_by_the_greater,omitempty"`
	LesserAfter  int       `json:"senders_by_the_lesser,omitempty"`
	Again        []float64 `json:"whole_again_s,omitempty"`
}

// maxControlBytesPerSecond is the required limit on control traffic, in bytes per second.
const maxControlBytesPerSecond = 18_000

// SimulateGroup simulates a group of the given kind, Zone or Regions. Each member's settings state one sender only, so that
// it counts exactly the members that it has learned of.
func SimulateGroup(kind Kind, members int, forget Micros, seed uint64) Group {
	config := membership.Config{Group: "lab", ProbeInterval: 250_000, ExchangeInterval: 30_000_000, DeadRetention: membership.Micros(forget), LeaveLinger: 3_000_000, MinSenders: 1, MaxMembers: 20_000}
	simulation := membersim.New(seed, members, config, true)
	group := Group{Kind: kind, Members: members, Known: -1, First: -1}
	unreachable := func(i int) bool { // zone 1 of five for Zone, zones 1 and 3 for Regions
		return i%5 == 1 || kind == Regions && i%5 == 3
	}
	for i := range members {
		if unreachable(i) {
			group.Lost++
		}
	}
	calmSeconds, calmRate := 4, 0.0
	measureSecond := func() {
		sent, bytes := simulation.Datagrams, simulation.DatagramBytes+simulation.ExchangeBytes
		simulation.RunFor(1_000_000)
		living := float64(members)
		if kind == Zone && calmSeconds == 0 {
			living -= float64(group.Lost)
		}
		rate := (float64(simulation.DatagramBytes+simulation.ExchangeBytes-bytes) + 28*float64(simulation.Datagrams-sent)) / living
		if calmSeconds > 0 {
			calmRate += rate / 4
		}
		group.Worst, group.Messages = max(group.Worst, rate), max(group.Messages, float64(simulation.Datagrams-sent)/living)
		if rate > maxControlBytesPerSecond {
			group.Over++
		}
	}
	simulation.RunFor(20_000_000) // a new member exchanges tables several times in the meantime
	for calmSeconds > 0 {
		measureSecond()
		calmSeconds--
	}
	group.Calm = calmRate
	checkKnown := func(second int) {
		all, any := true, false
		for _, member := range simulation.Members {
			if member.Killed {
				continue
			}
			others := group.Lost
			if unreachable(member.Number) {
				others = members - group.Lost
			}
			if member.StateCounts()[membership.Dead] < others {
				all = false
			} else {
				any = true
			}
		}
		if any && group.First < 0 {
			group.First = float64(second + 1)
		}
		if all && group.Known < 0 {
			group.Known = float64(second + 1)
		}
	}
	if kind == Zone {
		for _, member := range simulation.Members {
			if unreachable(member.Number) {
				member.Kill()
			}
		}
		for second := 0; second < 60 && group.Known < 0; second++ {
			measureSecond()
			checkKnown(second)
		}
		return group
	}
	group.Forget, group.Before, group.GreaterAfter, group.LesserAfter = float64(forget)/1e6, members, members, members
	simulation.Cut = func(from, to int) bool { return unreachable(from) != unreachable(to) }
	for second := range int(forget / 1e6) {
		measureSecond()
		if group.Known < 0 {
			checkKnown(second)
		}
		for _, member := range simulation.Members {
			group.Before = min(group.Before, member.Senders())
		}
	}
	for range int(forget / 1e6) {
		measureSecond()
	}
	for _, member := range simulation.Members {
		if unreachable(member.Number) {
			group.LesserAfter = min(group.LesserAfter, member.Senders())
		} else {
			group.GreaterAfter = min(group.GreaterAfter, member.Senders())
		}
	}
	simulation.Cut = nil
	healed, whole := simulation.Now, map[int]bool{}
	for len(whole) < members-group.Lost && simulation.Now < healed+60_000_000 {
		simulation.RunFor(50_000)
		for _, member := range simulation.Members {
			if !unreachable(member.Number) && !whole[member.Number] && member.Senders() == members {
				whole[member.Number] = true
				group.Again = append(group.Again, float64(simulation.Now-healed)/1e6)
			}
		}
	}
	group.Again = slices.Concat(group.Again, slices.Repeat([]float64{-1}, members-group.Lost-len(whole)))
	return group
}
