package brain

import (
	"strings"
	"testing"
)

// TestListCallRetryDelay checks the delay between a failed call to the list and the next call: at most 4.5
// seconds, whatever the settings and the number of sidecars. A change of the list must reach the sidecars
// within 6 seconds, so that leaves time for the answer. The test also logs how many of many sidecars'
// calls fall into the same second.
func TestListCallRetryDelay(t *testing.T) {
	var all driver
	for _, interval := range []Micros{2000 * ms, 10_000 * ms, 120_000 * ms} {
		for _, sidecars := range []float64{1, 300} {
			for _, callTime := range []Micros{0, min(3000*ms, interval*3/10)} { // the call is refused at once, or given up after a while
				var latest, first Micros
				maxInOneSecond, callsPerSecond := 0, map[Micros]int{}
				for seed := range uint64(100) {
					driver := newSeededDriver(t, seed, testSettings("all", "discovery", "on_request", "balancers", sidecars, "me", 0.0,
						"obligations.ask_every_us",
						float64(interval)), "a b")
					for call := range 12 {
						from := driver.now
						for driver.balancer.listCalledAt == 0 && driver.now < from+60_000*ms {
							driver.advance(10 * ms)
						}
						switch calledAt := driver.now; {
						case call == 0:
							first = max(first, calledAt-from)
						default:
							latest = max(latest, calledAt-from+callTime)
							if call == 6 {
								callsPerSecond[(calledAt-1e9)/(1000*ms)]++
							}
						}
						driver.advance(callTime)
						driver.balancer.BeginList(driver.now, ListCallFailed)
						driver.balancer.EndList(driver.now)
					}
				}
				for _, n := range callsPerSecond {
					maxInOneSecond = max(maxInOneSecond, n)
				}
				all.record("asking time %d s, %.0f sidecars, a call fails after %d ms: the first comes within 3 s %v, the next begins within 4.5 s %v",
					interval/1000/ms, sidecars, callTime/ms, first <= 3000*ms, latest <= 4520*ms)
				t.Logf("latest first call after %d ms, latest repeated call after %d ms; at most %d of 100 seventh calls in one second",
					first/ms, latest/ms, maxInOneSecond)
			}
		}
	}
	all.compareTrace(t)
}

// A list that was taken over from another process of the sidecar is no answer of discovery: the call that is due after a failed
// one is made all the same. A single sidecar makes it only if asked to, so it would never call again.
func TestTakenOverListLeavesCalls(t *testing.T) {
	driver := newDriver(t, testSettings("all", "discovery", "on_request", "balancers", 1.0, "obligations.ask_every_us", 10e6), "a b")
	driver.advance(3000 * ms)
	driver.balancer.BeginList(driver.now, ListCallFailed)
	driver.balancer.EndList(driver.now)
	before := strings.Count(driver.trace.String(), "subscribed")
	driver.sendList(TakenOverList, "b")
	driver.advance(5000 * ms)
	if calls := strings.Count(driver.trace.String(), "subscribed") - before; calls != 1 {
		t.Errorf("%d calls after a failed one, want 1", calls)
	}
	if state := driver.balancer.servers['a'].state; state != Gone {
		t.Errorf("the server that the list leaves out has state %d", state)
	}
}
