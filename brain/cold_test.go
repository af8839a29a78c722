package brain

import (
	"fmt"
	"math"
	"sync"
	"testing"
)

// coldDay is a fleet before twenty warm servers, to which six cold ones come while it works.
type coldDay struct {
	modules   int
	mean      float64 // work of a request, one core's microseconds
	load      float64 // of the warm servers
	uneven    bool    // a tenth of the sidecars have eight times the traffic
	restarts  bool    // while servers are cold half of the sidecars are restarted
	seed      uint64
	perServer float64 // what the settings allow a cold server at its start, in requests of mean work and a window
}

// play tells the worst excess of any server's window over what is allowed it then, beyond which the operators put no more
// down to chance (as a part of that chance: over 1 is a fault), and a cold server's part of a warm one's work.
func (c *coldDay) play(t *testing.T) (excess, used float64) {
	s := site("all", "balancers", float64(c.modules), "me", 0.0)
	from, warm := s["obligations.cold_from"].(float64), s["obligations.cold_us"].(float64)
	window, multiple := s["obligations.fall_us"].(float64), s["obligations.fall_multiple"].(float64)
	f := newFleet(t, c.modules, c.seed, s, "a b c d e f g h i j k l m n o p q r s t")
	for i := range f.rates {
		if c.uneven && i%10 == 0 {
			f.rates[i] *= 8
		}
	}
	allowed := func(since Micros) float64 { // in a window that begins so long after its start
		return multiple * min(1, from+(1-from)*float64(since)/warm) * window / c.mean
	}
	c.perServer = allowed(0)
	type send struct {
		at   Micros
		work float64
	}
	var start Micros
	sends, warmWork, coldWork := map[ServerID][]send{}, 0.0, 0.0
	note := func(now Micros, server ServerID, work float64) {
		if server >= 'u' {
			sends[server] = append(sends[server], send{now, work})
			coldWork += work / 6
		} else if start != 0 {
			warmWork += work / 20
		}
	}
	speed := func(ServerID) float64 { return 1 }
	perSecond, step := 20*c.load*1e6/c.mean, 20*ms
	if c.modules > 50 {
		step = 100 * ms
	}
	f.play(3000*ms, step, perSecond, c.mean, speed, note)
	start = f.days[0].now
	for _, d := range f.days {
		d.list(Changes, "u* v* w* x* y* z*")
	}
	f.play(2000*ms, step, perSecond, c.mean, speed, note)
	if c.restarts {
		for i := 0; i < c.modules; i += 2 {
			f.days[i] = restarted(t, f.days[i], s, c.seed*7919+uint64(i), start)
		}
	}
	f.play(5500*ms, step, perSecond, c.mean, speed, note)
	for _, to := range sends {
		for i, first := range to {
			sum := 0.0
			for _, s := range to[i:] {
				if float64(s.at-first.at) < window {
					sum += s.work / c.mean
				}
			}
			n := allowed(first.at - start)
			excess = max(excess, (sum-n)/(2*math.Sqrt(n)+2))
		}
	}
	return excess, coldWork / warmWork
}

// restarted is a sidecar's next process: it knows its saved list, cold servers and when they started among them.
func restarted(t *testing.T, old *day, s Settings, seed uint64, start Micros) *day {
	d := &day{now: old.now, sent: map[string]Micros{}, count: map[ServerID]int{}, quiet: true}
	b, err := New(d.now, s, seed, d)
	if err != nil {
		t.Fatal(err)
	}
	d.b = b
	b.ListBegins(d.now, Saved)
	for server := ServerID('a'); server <= 'z'; server++ {
		since := Micros(0)
		if server >= 'u' {
			since = start
		}
		b.Listed(d.now, server, 0, 0, Ready, 1, since)
	}
	b.ListEnds(d.now)
	return d
}

// What all sidecars send a cold server together stays within what the settings allow it, but for what the operators put down to
// chance: beyond N requests of mean work twice the root of N, and two. With three sidecars as with hundreds, some of which have
// several times the traffic, and half of which are restarted while it warms up. And the ramp is used.
func TestColdBudget(t *testing.T) {
	var d day
	cases := []coldDay{
		{modules: 3, mean: 28e3, load: 0.65},
		{modules: 3, mean: 250e3, load: 0.9, uneven: true},
		{modules: 12, mean: 28e3, load: 0.9, uneven: true, restarts: true},
		{modules: 20, mean: 250e3, load: 0.8, uneven: true},
		{modules: 30, mean: 28e3, load: 0.9, uneven: true, restarts: true},
		{modules: 30, mean: 5e3, load: 0.65, uneven: true},
		{modules: 80, mean: 28e3, load: 0.8, uneven: true},
		{modules: 350, mean: 28e3, load: 0.65, uneven: true, restarts: true},
	}
	lines := make([]string, len(cases))
	var all sync.WaitGroup
	for i, c := range cases {
		all.Go(func() {
			c.seed = 5
			excess, used := c.play(t)
			lines[i] = fmt.Sprintf("%d sidecars, %.0f visits a window allowed, load %.2f, uneven %v, restarts %v: within chance %v, used %v",
				c.modules, c.perServer, c.load, c.uneven, c.restarts, excess <= 1, used > 0.1)
			t.Logf("%+v: excess %.2f of chance, cold server's work %.2f of a warm one's", c, excess, used)
		})
	}
	all.Wait()
	for _, line := range lines {
		d.say("%s", line)
	}
	d.matches(t)
}

// A whole fleet leaves in one version and returns in one, all of it cold. No server is warm, so nothing tells what a warm one carries but what
// this fleet carried before; where that was forgotten nothing was sent to anybody until the warm-up was over. The cold budgets hold as ever.
func TestWholeFleetReturnsCold(t *testing.T) {
	var d day
	s := func(modules int) Settings { return site("all", "balancers", float64(modules), "me", 0.0) }
	const servers = "a* b* c* d* e* f* g* h* i* j*"
	const mean = 28e3
	for _, modules := range []int{3, 30} {
		for _, silentFirst := range []bool{false, true} {
			settings := s(modules)
			from, warm := settings["obligations.cold_from"].(float64), settings["obligations.cold_us"].(float64)
			window, multiple := settings["obligations.fall_us"].(float64), settings["obligations.fall_multiple"].(float64)
			f := newFleet(t, modules, 5, settings, "a b c d e f g h i j")
			before, after := 0.0, 0.0
			var start Micros
			type send struct {
				at   Micros
				work float64
			}
			sends := map[ServerID][]send{}
			note := func(now Micros, server ServerID, work float64) {
				if start == 0 {
					before += work
					return
				}
				after += work
				sends[server] = append(sends[server], send{now, work})
			}
			speed := func(ServerID) float64 { return 1 }
			perSecond := 10 * 0.6 * 1e6 / mean
			f.play(3000*ms, 20*ms, perSecond, mean, speed, note)
			tell := func(news News, servers string) {
				for _, d := range f.days {
					d.list(news, servers)
				}
			}
			tell(Whole, "")
			away := 2000 * ms
			if silentFirst {
				away = 12000 * ms
			}
			f.play(away, 20*ms, perSecond, mean, speed, note)
			tell(Whole, servers)
			start = f.days[0].now
			f.play(7000*ms, 20*ms, perSecond, mean, speed, note)
			excess := 0.0
			for _, to := range sends {
				for i, first := range to {
					sum := 0.0
					for _, s := range to[i:] {
						if float64(s.at-first.at) < window {
							sum += s.work / mean
						}
					}
					n := multiple * min(1, from+(1-from)*float64(first.at-start)/warm) * window / mean
					excess = max(excess, (sum-n)/(2*math.Sqrt(n)+2))
				}
			}
			part := after / 7 / (before / 3)
			d.say("%d sidecars, away for %d s: within chance %v, a fifth of the work of before is done while all are cold %v", modules, away/1000/ms,
				excess <= 1, part >= 0.2)
			t.Logf("%d sidecars, away for %d s: excess %.2f of chance, %.2f of the work of before", modules, away/1000/ms, excess, part)
		}
	}
	d.matches(t)
}
