package faults

// faults.go: the kinds of run, and the simulated fleet and its client load.

import (
	"fmt"
	"slices"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ledgespread/brain"
	"ledgespread/lab/rng"
	"ledgespread/lab/sim"
)

// Kind is the kind of fault in a run.
type Kind string

const (
	Calm    Kind = "calm"    // no fault
	Zone    Kind = "zone"    // all servers and sidecars of a zone fail silently and return, the servers cold
	Rack    Kind = "rack"    // like Zone, for a part of the servers across all zones
	Day     Kind = "day"     // a shortened day with failures and replacements of servers
	Changes Kind = "changes" // such a day with configuration changes as well
	Slow    Kind = "slow"    // one server in eight becomes five times slower during the run
	Regions Kind = "regions" // a network partition that outlasts the retention of dead members; a server of each region restarts just before it heals
)

// Kinds lists the kinds that Sweep runs.
var Kinds = []Kind{Calm, Zone, Rack, Day, Changes, Regions}

// Run describes one simulation.
type Run struct {
	Kind       Kind
	Pool       bool
	Sidecars   int
	Named      float64 // fraction of the sidecars that started first, whose settings state only their own number; later ones' state the total. 0: all
	Load       float64 // load of a server; 0: as in the terms
	Servers    int     // servers of the service; 0: as in the terms
	Break      string  // injected fault that the checks must detect; see RuleByInjectedFault
	Bound      float64 // limit on message traffic per sidecar, in bytes per second; 0: unlimited
	NoMessages bool    // sidecars exchange no messages
}

// RuleByInjectedFault maps each injected fault to the rule that it makes the modules break, through wrong input. "late": a client
// timeout that is too long; "twice": every request declared read-like; "drain": no notice of servers that leave; "budget": a
// cold time of one microsecond.
var RuleByInjectedFault = map[string]int{"late": 1, "twice": 2, "drain": 3, "budget": 4}

// injectFault injects the fault that the run names.
func (f *fleet) injectFault(terms Terms) error {
	switch f.run.Break {
	case "", "unbounded": // "unbounded" only raises the message limit
	case "late":
		f.extraTimeout = Micros(terms.Settings.Timeout) / 2
	case "twice":
		f.net.AlterSettings = func(s brain.Settings) {
			for i := range sim.Effects {
				s[fmt.Sprintf("path_prefixes.%d.effect", i)] = "read_like"
			}
		}
	case "drain":
		f.net.HideDrains = true
	case "budget":
		f.net.AlterSettings = func(s brain.Settings) { s["obligations.cold_us"] = 1.0 }
	default:
		return fmt.Errorf("unknown injected fault %q", f.run.Break)
	}
	return nil
}

// arrival is an attempt that arrived at a cold server, with its work in multiples of the mean.
type arrival struct {
	at        Micros
	work      float64
	knewStart bool // its sidecar had learned of the server's start
}

// fleet is the state of one run.
type fleet struct {
	sim.Clock
	Terms
	run                  Run
	shape                Shape
	net                  *sim.Network
	random               *rng.Source
	machines             []*machine // all servers, including removed ones
	cumulativeShares     []float64  // cumulative sums of the sidecars' shares of all visits
	begin                Micros
	lostVisits           int   // visits whose sidecar was killed
	visitsBySecond       []int // visits by second of their start
	deliveredBySecond    []int // delivered visits by second of their start
	retriesBySecond      []int // retries by second
	rejected             map[string]int
	visits, delivered    int     // visits, and those delivered
	inTime               int     // visits delivered within the target latency
	sentBySecond         []int   // messages sent by second, by all sidecars
	maxReceivedBySecond  []int   // by second, the most messages that any sidecar received
	extraTimeout         Micros  // excess of the declared client timeout over the real one
	receivedBefore       []int   // messages received by sidecar, up to the last second
	configurationChanges int     // configuration changes made
	bytesBefore          []int64 // message bytes by sidecar, up to the last second
	maxBytesBySecond     []int64 // by second, the most message bytes of any sidecar
	latencies            *hdrhistogram.Histogram
	nextID               brain.ServerID
}

// Simulate simulates one run and returns its measurements.
func Simulate(terms Terms, run Run, seed uint64) (Figures, error) {
	simulated := &fleet{Terms: terms, run: run, shape: terms.Service, random: rng.New(seed, "faults "+string(run.Kind)), rejected: map[string]int{}}
	if run.Pool {
		simulated.shape = terms.Pool
		simulated.shape.Servers = run.Sidecars
	}
	if run.Named == 0 {
		run.Named = 1
	}
	if run.Load != 0 {
		simulated.shape.Load = run.Load
	}
	if run.Servers != 0 {
		simulated.shape.Servers = run.Servers
	}
	simulated.Now = 1e9
	simulated.begin = simulated.Now
	simulated.net = sim.NewNetwork(&simulated.Clock, Micros(terms.Fleet.NetworkDelay))
	if err := simulated.injectFault(terms); err != nil {
		return Figures{}, err
	}
	for range simulated.shape.Servers {
		simulated.addServer(0)
	}
	named := max(1, int(run.Named*float64(run.Sidecars)+0.5))
	settings := sim.Terms{Target: Micros(terms.Settings.Target), Timeout: Micros(terms.Settings.Timeout), Window: Micros(terms.Settings.Window),
		Group: terms.Settings.Group, Sidecars: named, Fetches: terms.Settings.Fetches, ColdFrom: terms.Settings.ColdFrom, Cold: Micros(terms.Settings.Cold),
		FallMultiple: terms.Settings.FallMultiple, Fall: Micros(terms.Settings.Fall), Messages: !run.NoMessages}.Settings()
	if simulated.net.MessageBytesPerSecond = run.Bound; run.Break == "unbounded" {
		simulated.net.MessageBytesPerSecond *= 100
	}
	sum, shares := 0.0, make([]float64, run.Sidecars)
	for i := range run.Sidecars {
		settings["balancers"] = float64(named)
		if i >= named { // started after the fleet had grown, so that its settings state the total
			settings["balancers"] = float64(run.Sidecars)
		}
		sidecar, err := simulated.net.AddSidecar(brain.Zone(i%terms.Fleet.Zones), simulated.random.Bits(), settings)
		if err != nil {
			return Figures{}, err
		}
		sidecar.DeliverList(brain.SavedList, simulated.listedServers()...)
		shares[i] = 1
		if simulated.random.Float() < terms.Fleet.UnevenPart {
			shares[i] = terms.Fleet.UnevenTimes
		}
		sum += shares[i]
		simulated.cumulativeShares = append(simulated.cumulativeShares, sum)
	}
	end := simulated.scheduleFaults()
	seconds := int((end-simulated.begin)/1e6) + 4
	simulated.visitsBySecond, simulated.deliveredBySecond, simulated.retriesBySecond, simulated.sentBySecond, simulated.maxReceivedBySecond = make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds)
	for _, sidecar := range simulated.net.Sidecars {
		sidecar.Hooks.AttemptSent = func(attempt *sim.Attempt) {
			if attempt.Index > 0 {
				simulated.retriesBySecond[simulated.second()]++
			}
		}
	}
	simulated.receivedBefore, simulated.bytesBefore, simulated.maxBytesBySecond = make([]int, run.Sidecars), make([]int64, run.Sidecars), make([]int64, seconds)
	simulated.latencies = hdrhistogram.New(1, terms.Settings.Timeout.Micros()+1_000_000, 3)
	simulated.countMessages()
	rate := float64(simulated.shape.Servers) * simulated.shape.Load * 1e6 / float64(simulated.shape.Work)
	simulated.scheduleArrivals(rate, end)
	simulated.RunUntil(end + Micros(terms.Settings.Timeout) + 10_000)
	return simulated.figures(rate, slices.Max(shares)/sum, end, named), nil
}

// second returns the number of whole seconds since the start of the run.
func (f *fleet) second() int { return int((f.Now - f.begin) / 1e6) }

// listedServers returns the current server list.
func (f *fleet) listedServers() (lines []sim.ListEntry) {
	for _, m := range f.machines {
		if !m.unlisted {
			lines = append(lines, m.listLine(brain.Ready))
		}
	}
	return lines
}

// publishLines delivers changed list lines to the sidecars that selects accepts (nil: all), each at a random
// time within Fleet.MaxListDelay.
func (f *fleet) publishLines(selects func(*sim.Sidecar) bool, lines ...sim.ListEntry) {
	for _, sidecar := range f.net.Sidecars {
		if selects == nil || selects(sidecar) {
			f.After(Micros(f.random.Float()*float64(f.Fleet.MaxListDelay)), func() { sidecar.DeliverList(brain.ListChanges, lines...) })
		}
	}
}

// scheduleArrivals schedules the next visit of a Poisson process until the end of the run. A client whose sidecar is down goes to
// another one.
func (f *fleet) scheduleArrivals(rate float64, end Micros) {
	next := f.Now + max(1, Micros(f.random.Exp(1e6/rate)))
	if next >= end {
		return
	}
	f.At(next, func() {
		sidecar := f.net.Sidecars[f.drawSidecar()]
		for sidecar.Down {
			sidecar = f.net.Sidecars[f.drawSidecar()]
		}
		class := brain.ClassID(2)
		if draw := f.random.Float(); draw < f.Fleet.ReadLike {
			class = 0
		} else if draw < f.Fleet.ReadLike+f.Fleet.Tagged {
			class = 1
		}
		work, second := max(1, Micros(f.random.Exp(float64(f.shape.Work)))), f.second()
		f.visitsBySecond[second]++
		f.visits++
		sidecar.VisitWithDeclaredTimeout(class, work, work, Micros(f.Settings.Timeout), Micros(f.Settings.Timeout)+f.extraTimeout, nil, func(visit *sim.Visit) {
			switch visit.Ending {
			case sim.Delivered:
				f.delivered++
				f.latencies.RecordValue(int64(f.Now - visit.StartedAt))
				f.deliveredBySecond[second]++
				if f.Now-visit.StartedAt <= Micros(f.Settings.Target) {
					f.inTime++
				}
			case sim.Abandoned:
				f.lostVisits++
			}
		})
		f.scheduleArrivals(rate, end)
	})
}

// drawSidecar selects a sidecar at random, weighted by its share of all visits.
func (f *fleet) drawSidecar() int {
	return min(sort.SearchFloat64s(f.cumulativeShares, f.random.Float()*f.cumulativeShares[len(f.cumulativeShares)-1]), len(f.cumulativeShares)-1)
}

// countMessages records once a second the messages that the sidecars exchanged.
func (f *fleet) countMessages() {
	f.At(f.Now+1e6, func() {
		second := f.second() - 1
		for i, sidecar := range f.net.Sidecars {
			f.sentBySecond[second] += sidecar.MessagesSent
			sidecar.MessagesSent = 0
			f.maxReceivedBySecond[second] = max(f.maxReceivedBySecond[second], sidecar.MessagesReceived-f.receivedBefore[i])
			f.receivedBefore[i] = sidecar.MessagesReceived
			total := sidecar.BytesIn + sidecar.BytesOut
			f.maxBytesBySecond[second] = max(f.maxBytesBySecond[second], total-f.bytesBefore[i])
			f.bytesBefore[i] = total
		}
		if second+2 < len(f.sentBySecond) {
			f.countMessages()
		}
	})
}
