package brain

import (
	"fmt"
	"math"
	"sync"
	"testing"
)

// coldScenario is a fleet with twenty warm servers, to which six cold ones are added under load.
type coldScenario struct {
	sidecars  int     // number of sidecars
	meanWork  float64 // mean work of a request, in microseconds of one core
	load      float64 // utilization of the warm servers
	uneven    bool    // a tenth of the sidecars have eight times the traffic
	restarts  bool    // half of the sidecars are restarted while servers are cold
	seed      uint64
	perServer float64 // what the settings allow a cold server in its first window, in requests of mean work
}

// run runs the scenario. It returns by how much any window of a server exceeds what the settings allow, as a
// fraction of the excess that counts as random variation (above 1 the budget is violated), and a cold
// server's work relative to a warm server's.
func (c *coldScenario) run(t *testing.T) (excess, used float64) {
	settings := testSettings("all", "balancers", float64(c.sidecars), "me", 0.0)
	from, warm := settings["obligations.cold_from"].(float64), settings["obligations.cold_us"].(float64)
	window, multiple := settings["obligations.fall_us"].(float64), settings["obligations.fall_multiple"].(float64)
	fleet := newFleet(t, c.sidecars, c.seed, settings, "a b c d e f g h i j k l m n o p q r s t")
	for i := range fleet.rates {
		if c.uneven && i%10 == 0 {
			fleet.rates[i] *= 8
		}
	}
	allowed := func(since Micros) float64 { // limit of a window that begins at the given time after the server's start
		return multiple * min(1, from+(1-from)*float64(since)/warm) * window / c.meanWork
	}
	c.perServer = allowed(0)
	type send struct {
		at   Micros
		work float64
	}
	var start Micros
	sends, warmWork, coldWork := map[ServerID][]send{}, 0.0, 0.0
	recordSend := func(now Micros, server ServerID, work float64) {
		if server >= 'u' {
			sends[server] = append(sends[server], send{now, work})
			coldWork += work / 6
		} else if start != 0 {
			warmWork += work / 20
		}
	}
	speed := func(ServerID) float64 { return 1 }
	perSecond, step := 20*c.load*1e6/c.meanWork, 20*ms
	if c.sidecars > 50 {
		step = 100 * ms
	}
	fleet.run(3000*ms, step, perSecond, c.meanWork, speed, recordSend)
	start = fleet.drivers[0].now
	for _, driver := range fleet.drivers {
		driver.sendList(ListChanges, "u* v* w* x* y* z*")
	}
	fleet.run(2000*ms, step, perSecond, c.meanWork, speed, recordSend)
	if c.restarts {
		for i := 0; i < c.sidecars; i += 2 {
			fleet.drivers[i] = restartDriver(t, fleet.drivers[i], settings, c.seed*7919+uint64(i), start)
		}
	}
	fleet.run(5500*ms, step, perSecond, c.meanWork, speed, recordSend)
	for _, to := range sends {
		for i, first := range to {
			sum := 0.0
			for _, later := range to[i:] {
				if float64(later.at-first.at) < window {
					sum += later.work / c.meanWork
				}
			}
			limit := allowed(first.at - start)
			excess = max(excess, (sum-limit)/(2*math.Sqrt(limit)+2))
		}
	}
	return excess, coldWork / warmWork
}

// restartDriver starts a new process of a sidecar. It only knows the saved list, which contains the cold servers
// with their start times.
func restartDriver(t *testing.T, old *driver, settings Settings, seed uint64, start Micros) *driver {
	restarted := &driver{now: old.now, sentAt: map[string]Micros{}, sentTo: map[ServerID]int{}, muted: true}
	balancer, err := New(restarted.now, settings, seed, restarted)
	if err != nil {
		t.Fatal(err)
	}
	restarted.balancer = balancer
	balancer.BeginList(restarted.now, SavedList)
	for server := ServerID('a'); server <= 'z'; server++ {
		since := Micros(0)
		if server >= 'u' {
			since = start
		}
		balancer.ListServer(restarted.now, server, 0, 0, Ready, 1, since)
	}
	balancer.EndList(restarted.now)
	return restarted
}

// TestColdBudget checks that all sidecars together send a cold server no more than the settings allow, up
// to random variation: N requests of mean work may be exceeded by twice the square root of N plus two.
// This must hold with three sidecars as with hundreds, with uneven traffic, and if half of the sidecars
// restart during the warm-up. It also checks that a substantial part of the budget is used.
func TestColdBudget(t *testing.T) {
	var results driver
	cases := []coldScenario{
		{sidecars: 3, meanWork: 28e3, load: 0.65},
		{sidecars: 3, meanWork: 250e3, load: 0.9, uneven: true},
		{sidecars: 12, meanWork: 28e3, load: 0.9, uneven: true, restarts: true},
		{sidecars: 20, meanWork: 250e3, load: 0.8, uneven: true},
		{sidecars: 30, meanWork: 28e3, load: 0.9, uneven: true, restarts: true},
		{sidecars: 30, meanWork: 5e3, load: 0.65, uneven: true},
		{sidecars: 80, meanWork: 28e3, load: 0.8, uneven: true},
		{sidecars: 350, meanWork: 28e3, load: 0.65, uneven: true, restarts: true},
	}
	lines := make([]string, len(cases))
	var all sync.WaitGroup
	for i, scenario := range cases {
		all.Go(func() {
			scenario.seed = 5
			excess, used := scenario.run(t)
			lines[i] = fmt.Sprintf("%d sidecars, %.0f visits a window allowed, load %.2f, uneven %v, restarts %v: within chance %v, used %v",
				scenario.sidecars, scenario.perServer, scenario.load, scenario.uneven, scenario.restarts, excess <= 1, used > 0.1)
			t.Logf("%+v: excess %.2f of the allowed random variation, a cold server's work %.2f of a warm one's", scenario, excess, used)
		})
	}
	all.Wait()
	for _, line := range lines {
		results.record("%s", line)
	}
	results.compareTrace(t)
}

// TestWholeFleetReturnsCold removes the whole fleet in one list version and adds all of it again, cold. No
// server is warm then, so the budgets have to be based on the work from before. When that was forgotten,
// nothing was sent to any server until the warm-up was over. The cold budgets must hold as well.
func TestWholeFleetReturnsCold(t *testing.T) {
	var results driver
	settingsFor := func(sidecars int) Settings { return testSettings("all", "balancers", float64(sidecars), "me", 0.0) }
	const servers = "a* b* c* d* e* f* g* h* i* j*"
	const mean = 28e3
	for _, sidecars := range []int{3, 30} {
		for _, longOutage := range []bool{false, true} {
			settings := settingsFor(sidecars)
			from, warm := settings["obligations.cold_from"].(float64), settings["obligations.cold_us"].(float64)
			window, multiple := settings["obligations.fall_us"].(float64), settings["obligations.fall_multiple"].(float64)
			fleet := newFleet(t, sidecars, 5, settings, "a b c d e f g h i j")
			before, after := 0.0, 0.0
			var start Micros
			type send struct {
				at   Micros
				work float64
			}
			sends := map[ServerID][]send{}
			recordSend := func(now Micros, server ServerID, work float64) {
				if start == 0 {
					before += work
					return
				}
				after += work
				sends[server] = append(sends[server], send{now, work})
			}
			speed := func(ServerID) float64 { return 1 }
			perSecond := 10 * 0.6 * 1e6 / mean
			fleet.run(3000*ms, 20*ms, perSecond, mean, speed, recordSend)
			sendList := func(kind ListKind, servers string) {
				for _, driver := range fleet.drivers {
					driver.sendList(kind, servers)
				}
			}
			sendList(FullList, "")
			outage := 2000 * ms
			if longOutage {
				outage = 12000 * ms
			}
			fleet.run(outage, 20*ms, perSecond, mean, speed, recordSend)
			sendList(FullList, servers)
			start = fleet.drivers[0].now
			fleet.run(7000*ms, 20*ms, perSecond, mean, speed, recordSend)
			excess := 0.0
			for _, to := range sends {
				for i, first := range to {
					sum := 0.0
					for _, later := range to[i:] {
						if float64(later.at-first.at) < window {
							sum += later.work / mean
						}
					}
					limit := multiple * min(1, from+(1-from)*float64(first.at-start)/warm) * window / mean
					excess = max(excess, (sum-limit)/(2*math.Sqrt(limit)+2))
				}
			}
			part := after / 7 / (before / 3)
			results.record("%d sidecars, away for %d s: within chance %v, a fifth of the work of before is done while all are cold %v",
				sidecars, outage/1000/ms,
				excess <= 1, part >= 0.2)
			t.Logf("%d sidecars, outage of %d s: excess %.2f of the allowed random variation, work %.2f of that before the outage",
				sidecars, outage/1000/ms, excess, part)
		}
	}
	results.compareTrace(t)
}

// During an upgrade two processes of a sidecar sent to a cold server, each as much as the whole sidecar may. Together they
// have the budget of one, where it is divided equally and where sidecars draw tokens.
func TestProcessesShareColdBudget(t *testing.T) {
	driver := newDriver(t, testSettings("all"), "a")
	driver.warmUp(60)
	driver.sendList(ListChanges, "b*")
	cold := driver.balancer.servers['b']
	earned := func(processes int) float64 {
		cold.credit = 0
		driver.balancer.SetProcesses(processes)
		driver.advance(50 * ms)
		return cold.credit / driver.balancer.workPerWeight / driver.balancer.warmFraction(cold)
	}
	const tolerance = 0.05 // what is known of the work for each weight decays meanwhile
	if one, two := earned(1), earned(2); one <= 0 || math.Abs(2*two-one) > tolerance*one {
		t.Errorf("credit %v of each of two processes, %v of one", two, one)
	}
	const (
		ticks    = 400
		maxShare = 0.6 // tokens are drawn at random
	)
	drawn := func(processes int) (tokens int) {
		for seed := range uint64(20) {
			driver := newSeededDriver(t, seed, testSettings("all", "balancers", 40.0, "me", 0.0, "obligations.cold_us", 100e6), "a b")
			driver.balancer.SetProcesses(processes)
			driver.sendList(ListChanges, "c*")
			driver.advance(ticks * 50 * ms)
			tokens += int(driver.balancer.counters["cold_tokens"])
		}
		return tokens
	}
	if one, two := drawn(1), drawn(2); two == 0 || float64(two) > maxShare*float64(one) {
		t.Errorf("tokens drawn by each of two processes: %d, by one: %d", two, one)
	}
}
