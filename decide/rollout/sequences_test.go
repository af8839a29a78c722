package rollout_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
	"ledgespread/decide/rollout/fleet"
)

// Under random publications, restarts of one, some and all members, pauses, broken network paths and packet loss: the number
// in force never falls, a member that knows of a conflict does not put the contested number in force, and a harmful
// configuration comes into force nowhere, also where the clients of restarted members come some seconds after them. Once the
// faults end, a higher number is in force everywhere within 6 s.
func TestSequences(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const members = 6
		group := newTestFleet(rapid.Uint64Range(1, 1<<40).Draw(t, "seed"), members, 40)
		contestedAt := map[string]Micros{}
		harmful := map[rollout.Version]bool{}
		group.OnEvent = func(at Micros, i int, event rollout.Event) {
			key := fmt.Sprint(i, " ", event.Version.Number, " ", group.Sidecars[i].ProcessNumber())
			if event.Kind == "contested" {
				contestedAt[key] = at
			}
			// Later than a write that was in progress at the conflict.
			if event.Kind == "in_force" && contestedAt[key] > 0 && at-contestedAt[key] > 2*fleet.Disk {
				t.Fatalf("n%d put %d in force after it knew that two contents have that number", i, event.Version.Number)
			}
			if event.Kind == "in_force" && harmful[event.Version] {
				t.Fatalf("n%d put %d in force, which is harmful", i, event.Version.Number)
			}
		}
		cuts := map[[2]int]bool{}
		group.Cut = func(from, to int) bool { return cuts[[2]int{from, to}] }
		drawMember := func(what string) int { return rapid.IntRange(0, members-1).Draw(t, what) }
		highest, downUntil, clientsFrom := rollout.Number(0), map[int]Micros{}, map[int]Micros{}
		paused := map[int]bool{}
		group.Rate = func(i int) float64 {
			if group.Now < clientsFrom[i] {
				return 0
			}
			return 40
		}
		restart := func(i int, clientsAfter Micros) {
			if paused[i] || downUntil[i] > group.Now {
				return
			}
			downUntil[i] = group.Now + 500_001
			clientsFrom[i] = downUntil[i] + clientsAfter
			group.Restart(i, 500_000)
		}
		for range rapid.IntRange(3, 20).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			case 0, 1, 2:
				number := highest + rollout.Number(rapid.IntRange(0, 2).Draw(t, "above"))
				i, kind := drawMember("at"), rapid.IntRange(0, 4).Draw(t, "kind")
				if paused[i] || downUntil[i] > group.Now || number == 0 {
					continue
				}
				x := content(number, func(x *fleet.Content) {
					x.Size += rapid.IntRange(0, 1).Draw(t, "size")
					if kind == 0 {
						x.SuccessShare = 0.3
					}
					if kind == 1 {
						x.Refusal, x.Refuses = "fleet.json:1: no", func(index int) bool { return index == (i+1)%members }
					}
				})
				if version, err := group.Publish(i, x); err == nil {
					highest = max(highest, number)
					harmful[version] = kind == 0
				}
			case 3:
				restart(drawMember("restarts"), 0)
			case 4:
				i := drawMember("stands still")
				if downUntil[i] > group.Now {
					continue
				}
				if paused[i] = !paused[i]; paused[i] {
					group.Sidecars[i].Member.Stop()
				} else {
					group.Sidecars[i].Member.Continue()
				}
			case 5:
				i, j := drawMember("from"), drawMember("to")
				cuts[[2]int{i, j}] = !cuts[[2]int{i, j}]
			case 6:
				group.Network.LossRate = 0.1 * float64(rapid.IntRange(0, 3).Draw(t, "lost"))
			case 8, 9:
				some, clientsAfter := rapid.IntRange(1, 1<<members-1).Draw(t, "restart"), Micros(rapid.IntRange(0, 5).Draw(t, "clients after"))*second
				if rapid.Bool().Draw(t, "all") {
					some = 1<<members - 1
				}
				for i := range members {
					if some&(1<<i) != 0 {
						restart(i, clientsAfter)
					}
				}
			case 7:
				k := drawMember("halves")
				for i := range members {
					for j := range members {
						cuts[[2]int{i, j}] = (i < k) != (j < k)
					}
				}
			}
			group.RunFor(Micros(rapid.IntRange(20, 4000).Draw(t, "ms")) * 1000)
			for i, sidecar := range group.Sidecars {
				if sidecar.Decreases > 0 {
					t.Fatalf("n%d: the number in force fell", i)
				}
			}
		}
		clear(cuts)
		group.Network.LossRate = 0
		group.RunFor(second)
		for i := range members {
			if paused[i] {
				group.Sidecars[i].Member.Continue()
			}
		}
		agree := func() bool {
			for _, sidecar := range group.Sidecars {
				if sidecar.Member.StateCounts()[membership.Alive] != members-1 {
					return false
				}
			}
			return true
		}
		if group.RunUntil(60*second, agree) < 0 {
			t.Fatalf("the members don't find each other again")
		}
		group.RunFor(12 * second)
		version, err := group.Publish(0, content(highest+1))
		if err != nil {
			t.Fatal(err)
		}
		if group.RunUntil(6*second, group.InForceEverywhere(version)) < 0 {
			for i, sidecar := range group.Sidecars {
				t.Logf("n%d: %+v", i, sidecar.Status())
			}
			t.Fatalf("%d is not in force everywhere after 6 s: %s", version.Number, group.appliedNumbers())
		}
	})
}
