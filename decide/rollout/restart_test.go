package rollout_test

import (
	"testing"

	"ledgespread/decide/rollout"
	"ledgespread/decide/rollout/fleet"
)

// All processes of a fleet end at once and start again, in the middle of a rollout or after it. What was stopped stays so,
// and what was not judged yet is judged: the processes that have just started are not taken for idle, though their clients come
// later.
func TestAllRestart(t *testing.T) {
	const clientsAfter = 2 * second // the processes' start
	harms := func(x *fleet.Content) { x.SuccessShare = 0.3 }
	for _, test := range []struct {
		name     string
		rate     float64 // requests per second of each member
		contents []fleet.Content
		runs     Micros // until all end
		want     bool   // in force everywhere afterwards
	}{
		{"harmful, after it was stopped", 40, []fleet.Content{content(1, harms)}, 10 * second, false},
		{"harmful, while it is tried", 40, []fleet.Content{content(1, harms)}, 8 * second / 10, false},
		{"harmful, before it is tried", 40, []fleet.Content{content(1, harms)}, second / 10, false},
		{"contested", 40, []fleet.Content{content(1), content(1, func(x *fleet.Content) { x.Size++ })}, 10 * second, false},
		{"refused by one", 40, []fleet.Content{content(1, func(x *fleet.Content) {
			x.Refusal, x.Refuses = "fleet.json:1: no", func(i int) bool { return i == 11 }
		})}, 10 * second, false},
		{"harmless, while it is tried", 40, []fleet.Content{content(1)}, 8 * second / 10, true},
		{"harmless, before it is tried", 40, []fleet.Content{content(1)}, second / 10, true},
		{"harmless, without requests", 0, []fleet.Content{content(1)}, second / 10, true},
		{"harmless, when it is in force", 40, []fleet.Content{content(1)}, 20 * second, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(20) {
				group := newTestFleet(seed, 16, test.rate)
				var version rollout.Version
				for i, c := range test.contents {
					version, _ = group.Publish(7*i, c)
				}
				group.RunFor(test.runs)
				stopped := group.events["1 stopped"]+group.events["1 contested"] > 0
				clientsFrom := group.Now + second + clientsAfter
				group.Rate = func(int) float64 {
					if group.Now < clientsFrom {
						return 0
					}
					return test.rate
				}
				for i := range group.Sidecars {
					group.Restart(i, second)
				}
				group.RunFor(2 * second)
				everywhere := group.RunUntil(40*second, group.InForceEverywhere(version)) >= 0
				if test.want && !everywhere {
					t.Fatalf("seed %d: not in force everywhere: %s, %v", seed, group.appliedNumbers(), group.events)
				}
				if in := group.events["1 in_force"]; !test.want && in > 0 {
					t.Fatalf("seed %d: in force at %d members, stopped before: %v; %v", seed, in, stopped, group.events)
				}
				if next := group.publish(0, content(2)); group.RunUntil(10*second, group.InForceEverywhere(next)) < 0 {
					t.Fatalf("seed %d: the next one is not in force everywhere: %s", seed, group.appliedNumbers())
				}
			}
		})
	}
}
