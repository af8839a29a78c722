package prove

import (
	"fmt"
	"slices"

	"ledgespread/lab/size"
)

// RolloutSizes simulates a configuration change in fleets of the given sizes, without packet loss and with 30%,
// once for each of the given number of seeds, which count up from seed. It returns the input of
// docs/CAPACITY.md: durations in seconds, and bytes including packet headers. The result depends on the
// arguments only.
func RolloutSizes(members []int, seeds int, seed uint64) *size.Report {
	proof := &Proof{Name: "rollout", Seed: seed}
	report := &size.Report{Run: fmt.Sprintf("ledgelab rollout, members %d, %d seeds from %d on", members, seeds, seed), Seed: seed, Bound: "none: one thread, in simulated time",
		Stubs: []string{"network, time, disk, connections and visits are simulated; what members decide and say is the program's own (decide/rollout, decide/membership)"}}
	for _, count := range members {
		for _, lost := range []float64{0, 0.3} {
			var took, second, share []float64
			for n := range uint64(seeds) {
				cost := proof.measureChange(proof.newFleet(seed*100+n, count, lost), proof.harmlessContent(2))
				if cost.took < 0 {
					report.Claims = append(report.Claims, size.Claim{Claim: fmt.Sprintf("a change is in force at the last of %d, %.0f%% lost", count, 100*lost), Aim: "within 12 s", Measured: "never", Account: simulatedBySeed})
					continue
				}
				took, second = append(took, toSeconds(cost.took)), append(second, cost.worstSecond)
				share = append(share, (cost.usualTraffic*changeInterval+cost.hottest)/changeInterval)
			}
			for _, figure := range []struct {
				name, unit, what string
				all              []float64
			}{
				{size.ConfigInForce, "s", "from publishing one to in force at the last member, first at a few; a change each", took},
				{"config.hottest_second", "B/s", fmt.Sprintf("what the hottest member sent, or what came to it, in its worst second of a change of %d bytes, membership's messages among it", contentBytes), second},
				{"config.hottest_share", "B/s", "what the hottest member sends over the 51 s from one change to the next, membership's messages among it", share},
			} {
				if len(figure.all) == 0 {
					continue
				}
				slices.Sort(figure.all)
				name, what := figure.name, figure.what
				if lost > 0 {
					name, what = figure.name+"_30_lost", fmt.Sprintf("%s; %.0f%% of the messages lost", figure.what, 100*lost)
				}
				report.Events = append(report.Events, size.Event{Name: name, What: what, Account: "simulated", At: size.Conditions{"sidecars": float64(count)}, Unit: figure.unit,
					Median: figure.all[len(figure.all)/2], Last: figure.all[len(figure.all)-1], N: len(figure.all)})
			}
		}
	}
	return report
}
