package rollout_test

import (
	"testing"

	"ledgespread/decide/rollout"
	"ledgespread/decide/rollout/fleet"
)

// restartCase is a rollout during or after which processes end at once and start again.
type restartCase struct {
	name     string
	rate     float64 // requests per second of each member
	contents []fleet.Content
	runs     Micros // from the publication to the end of the processes
	want     bool   // in force everywhere afterwards; false: nowhere
}

// maxTriedBy is how many of 16 members may try a configuration for which five are asked: twice as many, since others take the places
// of those that have said nothing for six probes.
const maxTriedBy = 10

func harms(x *fleet.Content) { x.SuccessShare = 0.3 }

// play plays the case in a fleet of 16, of which these restart, some seconds before their clients come back.
func (c restartCase) play(t *testing.T, seed uint64, restarts func(i int) bool, clientsAfter Micros) {
	group := newTestFleet(seed, 16, c.rate)
	triedBy := map[int]bool{}
	count := group.OnEvent
	group.OnEvent = func(at Micros, i int, event rollout.Event) {
		count(at, i, event)
		if event.Kind == "on_trial" {
			triedBy[i] = true
		}
	}
	var version rollout.Version
	for i, x := range c.contents {
		version, _ = group.Publish(7*i, x)
	}
	group.RunFor(c.runs)
	const downFor = second
	clientsFrom := group.Now + downFor + clientsAfter
	group.Rate = func(i int) float64 {
		if group.Now < clientsFrom && restarts(i) {
			return 0
		}
		return c.rate
	}
	for i := range group.Sidecars {
		if restarts(i) {
			group.Restart(i, downFor)
		}
	}
	group.RunFor(downFor + second)
	everywhere := group.RunUntil(60*second, group.InForceEverywhere(version)) >= 0
	if c.want != everywhere {
		t.Fatalf("seed %d: in force everywhere: %v; %s, %v", seed, everywhere, group.appliedNumbers(), group.events)
	}
	if in := group.events["1 in_force"]; !c.want && in > 0 {
		t.Fatalf("seed %d: in force at %d members, %v", seed, in, group.events)
	}
	if len(triedBy) > maxTriedBy {
		t.Fatalf("seed %d: tried by %d members, %v", seed, len(triedBy), group.events)
	}
	if next := group.publish(0, content(2)); group.RunUntil(20*second, group.InForceEverywhere(next)) < 0 {
		t.Fatalf("seed %d: the next one is not in force everywhere: %s", seed, group.appliedNumbers())
	}
}

// Guards against a configuration that goes everywhere untried after processes have started at once: they have had no requests
// yet, which says nothing about the configuration.
func TestStartedProcessesAreNotIdle(t *testing.T) {
	all := func(int) bool { return true }
	most := func(i int) bool { return i%4 != 0 }
	few := func(i int) bool { return i%4 == 0 }
	for _, test := range []restartCase{
		{"harmful, before it is tried", 40, []fleet.Content{content(1, harms)}, second / 10, false},
		{"harmful, while it is tried", 40, []fleet.Content{content(1, harms)}, 8 * second / 10, false},
		{"harmless, before it is tried", 40, []fleet.Content{content(1)}, second / 10, true},
		{"harmless, while it is tried", 40, []fleet.Content{content(1)}, 8 * second / 10, true},
		{"harmless, without requests", 0, []fleet.Content{content(1)}, second / 10, true},
		{"harmless, when it is in force", 40, []fleet.Content{content(1)}, 20 * second, true},
	} {
		for _, ends := range []struct {
			name     string
			restarts func(i int) bool
		}{{"all", all}, {"most", most}, {"few", few}} {
			for _, clientsAfter := range []Micros{0, 2 * second, 5 * second} {
				t.Run(test.name+", "+ends.name, func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(10) {
						test.play(t, seed, ends.restarts, clientsAfter)
					}
				})
			}
		}
	}
}

// Guards against a configuration that was stopped, or whose number is contested, and is tried again or put in force after all
// processes that knew of it have ended.
func TestOutcomeSurvivesProcesses(t *testing.T) {
	harmful, other := content(1, harms), content(1, func(x *fleet.Content) { x.Size++ })
	refused := content(1, func(x *fleet.Content) {
		x.Refusal, x.Refuses = "fleet.json:1: no", func(i int) bool { return i == 11 }
	})
	for _, test := range []struct {
		name     string
		contents []fleet.Content
		knows    func(rollout.Status) bool
	}{
		{"worse", []fleet.Content{harmful}, func(s rollout.Status) bool { return s.Stage == rollout.Stopped }},
		{"refused", []fleet.Content{refused}, func(s rollout.Status) bool { return s.Stage == rollout.Stopped }},
		{"contested", []fleet.Content{content(1), other}, func(s rollout.Status) bool { return s.Contested }},
	} {
		t.Run(test.name, func(t *testing.T) {
			for seed := range uint64(10) {
				group := newTestFleet(seed, 16, 40)
				for i, x := range test.contents {
					group.Publish(7*i, x)
				}
				group.RunFor(10 * second)
				clear(group.events)
				for i := range group.Sidecars {
					group.Restart(i, second)
				}
				group.RunFor(second + second/100)
				for i, sidecar := range group.Sidecars {
					if status := sidecar.Status(); status.Newest.Number != 1 || !test.knows(status) {
						t.Fatalf("seed %d: n%d begins with %+v", seed, i, status)
					}
				}
				group.RunFor(30 * second)
				if tried, in := group.events["1 tries"], group.events["1 in_force"]; tried+in > 0 {
					t.Fatalf("seed %d: tried by %d, in force at %d members: %v", seed, tried, in, group.events)
				}
				if next := group.publish(0, content(2)); group.RunUntil(6*second, group.InForceEverywhere(next)) < 0 {
					t.Fatalf("seed %d: the next one is not in force everywhere: %s", seed, group.appliedNumbers())
				}
			}
		})
	}
}

// Guards against members that begin to try a configuration which is in force at others: all processes end while it is being put
// in force everywhere.
func TestPutInForceGoesOnAfterRestart(t *testing.T) {
	for seed := range uint64(10) {
		group := newTestFleet(seed, 16, 40)
		version := group.publish(0, content(1))
		group.RunUntil(10*second, func() bool { return group.events["1 in_force"] > 0 })
		before := group.events["1 in_force"]
		clear(group.events)
		for i := range group.Sidecars {
			group.Restart(i, second)
		}
		group.RunFor(second)
		elapsed := group.RunUntil(10*second, group.InForceEverywhere(version))
		if elapsed < 0 || before == 16 {
			t.Fatalf("seed %d: in force at %d before, everywhere after %d us: %v", seed, before, elapsed, group.events)
		}
		if tried := group.events["1 on_trial"]; elapsed > 3*second || tried > 5 {
			t.Errorf("seed %d: after %d us, tried by %d: %v", seed, elapsed, tried, group.events)
		}
	}
}
