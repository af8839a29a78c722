package scale

// A fleet of real and hollow sidecars on sockets: its scenario, its traffic and its end.

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"ledgespread/brain"
	"ledgespread/lab/backend"
	"ledgespread/lab/clients"
	"ledgespread/lab/clock"
	"ledgespread/lab/hollow"
	"ledgespread/lab/network"
	"ledgespread/lab/plan"
	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
	"ledgespread/lab/sidecars"
)

// Purposes of a sidecar's loopback addresses: peer messages, discovery and membership.
const (
	peerAddress = iota
	discoveryAddress
	membershipAddress
)

const (
	maxConcurrentStarts = 8
	readyTimeout        = 30 * time.Second
	joinTimeout         = 60 * time.Second
	settleDelay         = 500 * time.Millisecond

	unboundedInterval, unboundedFactor = 4, 20 // with Options.Break "unbounded", every unboundedInterval-th sidecar's bound is multiplied by unboundedFactor
	membershipGroup                    = "scale"
)

// fleet is one size on sockets. Real sidecars have the lowest numbers, followed by the hollow ones. Silent
// sidecars are real processes that send no peer messages and aren't members; they have no number among the
// size's sidecars.
type fleet struct {
	run            *Run
	options        Options
	size           Size
	id             int // counts this process's fleets; part of the fleet's addresses
	scenario       *scenario.Scenario
	silentScenario *scenario.Scenario // for silent sidecars: peer messages are off
	started        time.Time
	clock          *clock.Clock
	alarms         *clock.Alarms
	service        *Service
	readers        []*Reader // by number, then the silent ones
	backends       []*backend.Backend
	sidecars       []*sidecars.Sidecar // real ones, then silent ones
	hollow         []*hollow.Sidecar
	account        *hollow.Account
	peerNetwork    *network.Datagrams
	folder         string
	clients        *clients.Clients
	hosts          []host

	unsettled bool // membership updates about joins were still spreading after Run.Settle
}

// startedFleets counts the fleets that this process has started.
var startedFleets int

// address returns the loopback address of sidecar i for a purpose.
func (f *fleet) address(purpose, i int) netip.AddrPort {
	return hollow.LoopbackAddress(f.id, purpose, i, os.Getpid())
}

// scenarioText returns the scenario file for the sidecars of a size; peerMessages enables peer messages.
func (r *Run) scenarioText(fleetSize Size, peerMessages bool) []byte {
	var text strings.Builder
	zones := make([]string, len(r.Zones))
	for i, zone := range r.Zones {
		zones[i] = fmt.Sprintf("%q", zone)
	}
	fmt.Fprintf(&text, "name = \"size\"\nlength = \"3600s\"\nzones = [%s]\n[sidecars]\ncount = %d\ncores = 1\nmemory_mb = 256\nsockets = 1024\n[[backend]]\n",
		strings.Join(zones, ", "), fleetSize.Sidecars)
	fmt.Fprintf(&text, "[[prefix]]\nname = \"look\"\nshare = 0.8\nwork = %[1]q\nwork_spread = \"exp\"\ntarget_latency = \"300ms\"\nclient_timeout = \"2s\"\n"+
		"[[prefix]]\nname = \"book\"\neffect = \"tagged\"\nshare = 0.2\nwork = %[1]q\nwork_spread = \"exp\"\ntarget_latency = \"300ms\"\nclient_timeout = \"2s\"\n",
		r.Work.M().Duration())
	for i := range fleetSize.Tenants {
		fmt.Fprintf(&text, "[[tenant]]\nname = \"t%d\"\nshare = 1\nquota = \"100000/s\"\n", i)
	}
	fmt.Fprintf(&text, "[traffic]\nrate = \"1/s\"\nhints = true\n[allowed]\npeer_messages = %v\n", peerMessages)
	return []byte(text.String())
}

// zone returns the zone of sidecar or server i; zones are assigned round robin.
func (r *Run) zone(i int) string { return r.Zones[i%len(r.Zones)] }

// awaitSettled waits until membership updates about joins have spread. Members then send little more than one
// probe and one answer in each probe period. If that takes longer than Run.Settle, the size is measured anyway
// and marked unsettled.
func (f *fleet) awaitSettled() (err error) {
	const interval, tolerance = time.Second, 1.25
	probes := 2 * interval.Seconds() * 1e6 / float64(f.run.Members.ProbeInterval)
	before, started := int64(0), time.Now()
	for {
		sent, members := int64(0), 0
		for _, s := range f.hollow {
			if counts := s.MemberCounts(); counts != nil {
				sent, members = sent+counts["members_sent"], members+1
			}
		}
		if f.unsettled = members > 0 && (before == 0 || float64(sent-before)/float64(members) > tolerance*probes); !f.unsettled || time.Since(started) > f.run.Settle.M().Duration() {
			return f.wait(settleDelay)
		}
		before = sent
		if err := f.wait(interval); err != nil {
			return err
		}
	}
}

// load returns the load of hollow sidecar i at a rate of visits per second.
func (r *Run) load(i int, rate float64) hollow.Load {
	return hollow.Load{Rate: rate, Work: brain.Micros(r.Work), Share: []float64{0.8, 0.2}, Seed: hollow.Seed(r.Seed, "visits", i),
		Bound: r.bound(i)}
}

// bound returns the limit on the messages of hollow sidecar i, in bytes per second. With the break "unbounded"
// the limit of every unboundedInterval-th sidecar is multiplied by unboundedFactor.
func (r *Run) bound(i int) float64 {
	if r.unbounded && i%unboundedInterval == unboundedInterval-1 {
		return unboundedFactor * float64(r.Bound)
	}
	return float64(r.Bound)
}

// await waits until holds is true for each hollow sidecar. It returns how long that took for each sidecar that
// got there, with an error if some did not within the limit.
func (f *fleet) await(limit time.Duration, holds func(s *hollow.Sidecar) bool) (took []time.Duration, err error) {
	started := time.Now()
	for pending := slices.Clone(f.hollow); ; {
		pending = slices.DeleteFunc(pending, func(s *hollow.Sidecar) bool {
			if !holds(s) {
				return false
			}
			took = append(took, time.Since(started))
			return true
		})
		switch {
		case len(pending) == 0:
			return took, nil
		case time.Since(started) > limit:
			return took, fmt.Errorf("after %v %d hollow sidecars of %d do not hold the others as they are; %s holds %d alive", limit, len(pending), len(f.hollow),
				hollow.Name(pending[0].Number), pending[0].AliveCount())
		case clock.Stopped(f.options.Stop):
			return took, errStopped
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// sendVisits starts the visits of a span. Hollow sidecars generate their own; clients send them to real
// processes. rate returns the visits per second of sidecar i.
func (f *fleet) sendVisits(span time.Duration, rate func(i int) float64) {
	visitPlan := &plan.Plan{Seed: f.run.Seed}
	var addresses []string
	for index, sidecar := range f.sidecars {
		addresses = append(addresses, sidecar.Address)
		number := index
		if index >= f.run.Real {
			number = index - f.run.Real
		}
		visitRate := rate(number)
		random := rng.New(f.run.Seed, "visits "+sidecar.Name)
		for t := 0.0; visitRate > 0; {
			if t += random.Exp(1e6 / visitRate); t >= float64(span.Microseconds()) {
				break
			}
			v := plan.Visit{At: clock.Micros(t), Sidecar: index, Prefix: random.Pick([]float64{0.8, 0.2}), Tenant: -1,
				Work: max(1, clock.Micros(random.Exp(float64(f.run.Work))))}
			if f.size.Tenants > 0 {
				v.Tenant = random.Below(f.size.Tenants)
			}
			visitPlan.Visits = append(visitPlan.Visits, v)
		}
	}
	slices.SortStableFunc(visitPlan.Visits, func(a, b plan.Visit) int { return int(a.At - b.At) })
	if f.clients != nil {
		f.clients.Close()
	}
	f.clients = clients.New(f.scenario, visitPlan, addresses, f.clock, f.alarms)
	f.clients.Begin(f.clock.Now())
	for _, s := range f.hollow {
		s.SetSilent(false)
		s.SetRate(rate(s.Number))
	}
}

// stopTraffic stops all traffic and waits for requests and messages in flight.
func (f *fleet) stopTraffic() {
	f.clients.StopSending()
	for _, s := range f.hollow {
		s.SetRate(0)
	}
	f.clients.Wait()
	time.Sleep(settleDelay)
	for _, s := range f.hollow {
		s.SetSilent(true)
	}
	time.Sleep(settleDelay)
}

// close stops everything that the fleet started, processes first.
func (f *fleet) close() {
	var all sync.WaitGroup
	for _, sidecar := range f.sidecars {
		all.Add(1)
		go func() {
			defer all.Done()
			sidecar.Signal(syscall.SIGCONT)
			sidecar.Kill()
		}()
	}
	all.Wait()
	for _, s := range f.hollow {
		s.Close()
	}
	if f.clients != nil {
		f.clients.Close()
	}
	if f.peerNetwork != nil {
		f.peerNetwork.Close()
	}
	for _, b := range f.backends {
		b.Kill()
	}
	f.service.close()
	f.alarms.Close()
	if f.options.Folder == "" && f.folder != "" {
		os.RemoveAll(f.folder)
	}
}

var errStopped = errors.New("run stopped before it finished")

// wait sleeps for span; it returns errStopped early if the run is stopped.
func (f *fleet) wait(span time.Duration) error {
	select {
	case <-f.options.Stop:
		return errStopped
	case <-time.After(span):
		return nil
	}
}
