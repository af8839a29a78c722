package faults

import (
	"fmt"
	"math"
	"slices"
	"sort"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ledgespread/brain"
	"ledgespread/lab/chance"
	"ledgespread/lab/sim"
)

// Kind is what happens.
type Kind string

const (
	Calm    Kind = "calm"
	Zone    Kind = "zone"    // all of one zone falls silent, its sidecars with it, and comes back cold
	Rack    Kind = "rack"    // the same of a part of the servers, over all zones
	Day     Kind = "day"     // failures and replacements of a day, squeezed
	Changes Kind = "changes" // such a day with its changes of configuration
	Slow    Kind = "slow"    // one server of eight takes five times as long from some time on
	Regions Kind = "regions" // apart for longer than forget; a server of each is restarted shortly before they meet
)

// Kinds are all of them.
var Kinds = []Kind{Calm, Zone, Rack, Day, Changes, Regions}

// Run is what is played.
type Run struct {
	Kind     Kind
	Pool     bool
	Sidecars int
	Named    float64 // part of the sidecars that were there when they were started, and which their settings name; others name all; 0: all
	Load     float64 // of a server, in place of the terms'; 0: theirs
	Servers  int     // of the service, in place of the terms'; 0: theirs
	Break    string  // a fault put in on purpose, which the judge has to catch; see Breaks
	Bound    float64 // bytes a second and sidecar for what these tell each other; 0: none
	Mute     bool    // they may tell each other nothing
}

// Breaks are the faults put in on purpose: of each rule one, by what its modules are told. "late": clients that are more
// patient than they are; "twice": that nothing is mutating; "drain": nothing of servers that leave; "budget": that no
// server is cold for longer than a microsecond.
var Breaks = map[string]int{"late": 1, "twice": 2, "drain": 3, "budget": 4}

// mislead puts one in.
func (f *fleet) mislead(t Terms) error {
	switch f.run.Break {
	case "", "unbounded": // that one is no fault of the modules
	case "late":
		f.patient = Micros(t.Settings.Timeout) / 2
	case "twice":
		f.net.Mislead = func(s brain.Settings) {
			for i := range sim.Effects {
				s[fmt.Sprintf("path_prefixes.%d.effect", i)] = "read_like"
			}
		}
	case "drain":
		f.net.Deaf = true
	case "budget":
		f.net.Mislead = func(s brain.Settings) { s["obligations.cold_us"] = 1.0 }
	default:
		return fmt.Errorf("%q is no fault that can be put in", f.run.Break)
	}
	return nil
}

// Cold is what became of the servers that started while the run went on, by their own accounts.
type Cold struct {
	Servers int     `json:"servers"`
	Allowed float64 `json:"allowed"` // visits of mean work in a window that begins with its start (N)
	// Worst is the worst window's visits of mean work, as a part of N + 2 sqrt(N) + 2, beyond which its server falls.
	Worst     float64 `json:"worst_window"`
	WorstTold float64 `json:"worst_window_told"` // of windows of which over two thirds came from sidecars that were told of the start
	Falls     int     `json:"falls"`             // servers with such a told window
	Untold    int     `json:"falls_untold"`      // and with another
	Used      float64 `json:"used"`              // of its budget over its cold time
	UsedLeast float64 `json:"used_least"`        // by the server that got least
	UsedMost  float64 `json:"used_most"`
	OfWarm    float64 `json:"of_a_warm_ones_work"`
}

// Figures are a run's.
type Figures struct {
	Kind        Kind           `json:"kind"`
	Shape       string         `json:"shape"`
	Sidecars    int            `json:"sidecars"`
	Servers     int            `json:"servers"`
	Load        float64        `json:"load"`
	HighLoad    float64        `json:"high_load"`      // from which it is a run of its own name
	Named       int            `json:"sidecars_named"` // by the settings of so many; the others' name all
	VisitsPerS  float64        `json:"visits_per_s"`   // of a sidecar, in the mean
	Most        float64        `json:"visits_per_s_most"`
	Seconds     float64        `json:"seconds"`
	Factor      float64        `json:"factor,omitempty"`  // a day was made so much shorter
	Changes     int            `json:"changes,omitempty"` // of configuration, each taken over by each sidecar that was up
	Visits      int            `json:"visits"`
	Delivered   float64        `json:"delivered"`
	WorstSecond float64        `json:"delivered_worst_second"`
	InTarget    float64        `json:"in_target"`
	Lost        int            `json:"lost_with_sidecar"` // visits whose sidecar was killed
	Turned      map[string]int `json:"turned"`
	Retries     float64        `json:"retries_a_visit"`
	RetriesMost float64        `json:"retries_a_visit_worst_second"`
	Says        float64        `json:"messages_out_per_s"` // of a sidecar, before
	SaysMost    float64        `json:"messages_out_per_s_worst_second"`
	HeardMost   float64        `json:"messages_in_per_s_worst_second_most_loaded"`
	Bound       float64        `json:"bound_bytes_per_s,omitempty"`
	Mute        bool           `json:"mute,omitempty"`
	Bytes       float64        `json:"bytes_per_s"`                          // of a sidecar, in and out, over the whole run
	BytesMost   float64        `json:"bytes_per_s_worst_second_most_loaded"` // of one sidecar, in and out
	P50         float64        `json:"p50_us"`                               // of what was delivered, from a visit's beginning
	P99         float64        `json:"p99_us"`
	Cold        Cold           `json:"cold"`
	Broken      [5]int         `json:"rules_broken"` // by rule; the fourth is the falls of which told ones make two thirds
	First       string         `json:"first_break,omitempty"`
}

// machine is a server in simulated time: one core, a bounded queue. What is called off runs on.
type machine struct {
	*sim.Server
	fleet *fleet
	free  Micros
	in    int
	life  int
	comes []arrival // of its present process
	past  []started // of those before it
	born  Micros    // of its present process, 0: long ago
	gone  bool
	work  float64
	slow  float64 // times as long
}

type started struct {
	at, to Micros
	comes  []arrival
}

type arrival struct {
	at   Micros
	work float64
	told bool
}

type fleet struct {
	sim.Clock
	Terms
	run     Run
	shape   Shape
	net     *sim.Net
	draws   *chance.Source
	every   []*machine
	upTo    []float64 // sums of the sidecars' shares of all visits
	begin   Micros
	lost    int
	began   []int // by second
	done    []int
	again   []int
	turned  map[string]int
	all, ok int
	inTime  int
	says    []int  // by second, all sidecars
	heard   []int  // by second, the most that any sidecar heard
	patient Micros // so much longer the modules are told that clients wait
	was     []int
	changed int
	bytes   []int64 // by sidecar, till the last second
	most    []int64 // by second, the most of any sidecar
	took    *hdrhistogram.Histogram
	nextID  brain.ServerID
}

// Play plays one run.
func Play(t Terms, r Run, seed uint64) (Figures, error) {
	f := &fleet{Terms: t, run: r, shape: t.Service, draws: chance.New(seed, "faults "+string(r.Kind)), turned: map[string]int{}}
	if r.Pool {
		f.shape = t.Pool
		f.shape.Servers = r.Sidecars
	}
	if r.Named == 0 {
		r.Named = 1
	}
	if r.Load != 0 {
		f.shape.Load = r.Load
	}
	if r.Servers != 0 {
		f.shape.Servers = r.Servers
	}
	f.Now = 1e9
	f.begin = f.Now
	f.net = sim.NewNet(&f.Clock, Micros(t.Fleet.Way))
	if err := f.mislead(t); err != nil {
		return Figures{}, err
	}
	for range f.shape.Servers {
		f.add(0)
	}
	named := max(1, int(r.Named*float64(r.Sidecars)+0.5))
	settings := sim.Terms{Target: Micros(t.Settings.Target), Timeout: Micros(t.Settings.Timeout), Window: Micros(t.Settings.Window),
		Group: t.Settings.Group, Sidecars: named, Fetches: t.Settings.Fetches, ColdFrom: t.Settings.ColdFrom, Cold: Micros(t.Settings.Cold),
		FallMultiple: t.Settings.FallMultiple, Fall: Micros(t.Settings.Fall), Messages: !r.Mute}.Settings()
	if f.net.Bound = r.Bound; r.Break == "unbounded" {
		f.net.Bound *= 100
	}
	sum, shares := 0.0, make([]float64, r.Sidecars)
	for i := range r.Sidecars {
		settings["balancers"] = float64(named)
		if i >= named { // it was started since the fleet has grown, and its settings name all
			settings["balancers"] = float64(r.Sidecars)
		}
		sidecar, err := f.net.Join(brain.Zone(i%t.Fleet.Zones), f.draws.Bits(), settings)
		if err != nil {
			return Figures{}, err
		}
		sidecar.List(brain.Saved, f.list()...)
		shares[i] = 1
		if f.draws.Float() < t.Fleet.UnevenPart {
			shares[i] = t.Fleet.UnevenTimes
		}
		sum += shares[i]
		f.upTo = append(f.upTo, sum)
	}
	end := f.plan()
	seconds := int((end-f.begin)/1e6) + 4
	f.began, f.done, f.again, f.says, f.heard = make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds)
	for _, sidecar := range f.net.Sidecars {
		sidecar.Hooks.Sent = func(x *sim.Fetch) {
			if x.No > 0 {
				f.again[f.second()]++
			}
		}
	}
	f.was, f.bytes, f.most = make([]int, r.Sidecars), make([]int64, r.Sidecars), make([]int64, seconds)
	f.took = hdrhistogram.New(1, t.Settings.Timeout.Micros()+1_000_000, 3)
	f.count()
	rate := float64(f.shape.Servers) * f.shape.Load * 1e6 / float64(f.shape.Work)
	f.arrive(rate, end)
	f.Play(end + Micros(t.Settings.Timeout) + 10_000)
	return f.figures(rate, slices.Max(shares)/sum, end, named), nil
}

func (f *fleet) second() int { return int((f.Now - f.begin) / 1e6) }

// add is a new machine: cold since then, or, 0, long warm.
func (f *fleet) add(born Micros) *machine {
	f.nextID++
	m := &machine{fleet: f, born: born}
	m.Server = f.net.Serve(&sim.Server{ID: f.nextID, Zone: brain.Zone(int(f.nextID-1) % f.Fleet.Zones), Started: born})
	m.Take = m.take
	f.every = append(f.every, m)
	return m
}

// warmth is the part of its capacity that it has.
func (m *machine) warmth(at Micros) float64 {
	if m.born == 0 {
		return 1
	}
	s := m.fleet.Settings
	return min(1, s.ColdFrom+(1-s.ColdFrom)*float64(at-m.born)/float64(s.Cold))
}

func (m *machine) take(x *sim.Fetch) {
	f := m.fleet
	if m.born != 0 && f.Now < m.born+Micros(f.Settings.Cold) {
		m.comes = append(m.comes, arrival{f.Now, float64(x.Work) / float64(f.shape.Work), x.Told})
	}
	if m.in >= f.Fleet.Queue {
		f.net.Answer(x, brain.Overloaded)
		return
	}
	m.in++
	m.work += float64(x.Work)
	begin := max(f.Now, m.free)
	m.free = begin + max(1, Micros(float64(x.Work)*max(m.slow, 1)/m.warmth(begin)))
	life := m.life
	f.At(m.free, func() {
		if life == m.life {
			m.in--
			f.net.Answer(x, brain.Succeeded)
		}
	})
}

// falls ends its process: silent (its machine or its way is gone), or so that connections are refused and reset.
func (m *machine) falls(silent bool) {
	m.keep()
	m.life++
	m.in, m.free = 0, 0
	m.Silent, m.Refuses = silent, !silent
	m.fleet.net.Fell(m.Server, silent)
}

// keep puts its process's account by.
func (m *machine) keep() {
	if m.born != 0 {
		m.past = append(m.past, started{m.born, min(m.fleet.Now, m.born+Micros(m.fleet.Settings.Cold)), m.comes})
	}
	m.comes = nil
}

// starts begins its next process, cold.
func (m *machine) starts() {
	m.life++
	m.born = m.fleet.Now
	m.Started, m.Silent, m.Refuses = m.fleet.Now, false, false
}

func (m *machine) line(st brain.Standing) sim.Line {
	return sim.Line{ID: m.ID, Zone: m.Zone, Standing: st, Started: m.Started}
}

// list is the list as it is now.
func (f *fleet) list() (lines []sim.Line) {
	for _, m := range f.every {
		if !m.gone {
			lines = append(lines, m.line(brain.Ready))
		}
	}
	return lines
}

// tell has each sidecar hear of changed lines, by chance within the time that the terms say. among nil: all.
func (f *fleet) tell(among func(*sim.Sidecar) bool, lines ...sim.Line) {
	for _, sidecar := range f.net.Sidecars {
		if among == nil || among(sidecar) {
			f.After(Micros(f.draws.Float()*float64(f.Fleet.Told)), func() { sidecar.List(brain.Changes, lines...) })
		}
	}
}

// arrive has visits come, one after the other; each client turns to its own sidecar or, if that is down, to another.
func (f *fleet) arrive(rate float64, end Micros) {
	next := f.Now + max(1, Micros(f.draws.Exp(1e6/rate)))
	if next >= end {
		return
	}
	f.At(next, func() {
		sidecar := f.net.Sidecars[f.draw()]
		for sidecar.Down {
			sidecar = f.net.Sidecars[f.draw()]
		}
		on := brain.ClassID(2)
		if x := f.draws.Float(); x < f.Fleet.ReadLike {
			on = 0
		} else if x < f.Fleet.ReadLike+f.Fleet.Tagged {
			on = 1
		}
		work, second := max(1, Micros(f.draws.Exp(float64(f.shape.Work)))), f.second()
		f.began[second]++
		f.all++
		sidecar.VisitTold(on, work, work, Micros(f.Settings.Timeout), Micros(f.Settings.Timeout)+f.patient, nil, func(v *sim.Visit) {
			switch v.Ending {
			case sim.Delivered:
				f.ok++
				f.took.RecordValue(int64(f.Now - v.Began))
				f.done[second]++
				if f.Now-v.Began <= Micros(f.Settings.Target) {
					f.inTime++
				}
			case sim.Gone:
				f.lost++
			}
		})
		f.arrive(rate, end)
	})
}

func (f *fleet) draw() int {
	return min(sort.SearchFloat64s(f.upTo, f.draws.Float()*f.upTo[len(f.upTo)-1]), len(f.upTo)-1)
}

// count looks each second at what sidecars told each other.
func (f *fleet) count() {
	f.At(f.Now+1e6, func() {
		at := f.second() - 1
		for i, sidecar := range f.net.Sidecars {
			f.says[at] += sidecar.Said
			sidecar.Said = 0
			f.heard[at] = max(f.heard[at], sidecar.Heard-f.was[i])
			f.was[i] = sidecar.Heard
			all := sidecar.BytesIn + sidecar.BytesOut
			f.most[at] = max(f.most[at], all-f.bytes[i])
			f.bytes[i] = all
		}
		if at+2 < len(f.says) {
			f.count()
		}
	})
}

// plan says what happens when, and tells when the run ends.
func (f *fleet) plan() (end Micros) {
	m := f.Times
	at := f.begin + Micros(m.Warm)
	switch f.run.Kind {
	case Zone, Rack:
		f.lose(at)
	case Slow:
		f.At(at, func() {
			for i := 0; i < len(f.every); i += 8 {
				f.every[i].slow = 5
			}
		})
	case Day:
		return f.day(at)
	case Changes:
		end = f.day(at)
		f.changes(at, end)
		return end
	case Regions:
		return f.apart(at)
	}
	return at + Micros(m.Back+m.After)
}

// lose has a zone or a rack fall silent with its sidecars, and come back cold.
func (f *fleet) lose(at Micros) {
	var lost []*machine
	var sidecars []*sim.Sidecar
	if f.run.Kind == Zone {
		for _, s := range f.every {
			if s.Zone == 1 {
				lost = append(lost, s)
			}
		}
		for _, sidecar := range f.net.Sidecars {
			if sidecar.Zone == 1 {
				sidecars = append(sidecars, sidecar)
			}
		}
	} else {
		lost = append(lost, f.every[:max(1, int(f.Times.Rack*float64(len(f.every))+0.5))]...)
		sidecars = append(sidecars, f.net.Sidecars[:max(1, int(f.Times.Rack*float64(len(f.net.Sidecars))+0.5))]...)
	}
	f.At(at, func() {
		for _, s := range lost {
			s.falls(true)
		}
		for _, sidecar := range sidecars {
			sidecar.Stop()
		}
	})
	f.At(at+Micros(f.Times.Notice), func() {
		var lines []sim.Line
		for _, s := range lost {
			s.gone = true
			lines = append(lines, s.line(brain.Gone))
		}
		f.tell(nil, lines...)
	})
	f.At(at+Micros(f.Times.Back), func() {
		var lines []sim.Line
		for _, s := range lost {
			s.starts()
			s.gone = false
			lines = append(lines, s.line(brain.Ready))
		}
		f.tell(func(sidecar *sim.Sidecar) bool { return !slices.Contains(sidecars, sidecar) }, lines...)
		for _, sidecar := range sidecars {
			f.After(Micros(f.draws.Float()*float64(f.Fleet.Told)), func() { // a new process waits for its first list
				if sidecar.Start(f.draws.Bits()) == nil {
					sidecar.List(brain.Saved, f.list()...)
				}
			})
		}
	})
}

// day has servers fail for good and be replaced, one after the other.
func (f *fleet) day(at Micros) (end Micros) {
	end = at + Micros(f.Times.Day)
	times := func(ofThousand float64) int { return max(1, int(ofThousand*float64(len(f.every))/1000+0.5)) }
	failures, replaced := times(f.Times.Failures), times(f.Times.Replacements)
	first := len(f.every)
	for i := range failures + replaced {
		m := f.every[(i*7)%first]
		if first%7 == 0 {
			m = f.every[i%first]
		}
		from := at + Micros(float64(f.Times.Day-f.Times.Back)*f.draws.Float())
		anew := func() {
			f.At(f.Now, func() { f.tell(nil, f.add(f.Now).line(brain.Ready)) })
		}
		if i < failures {
			f.At(from, func() { m.falls(false) })
			f.At(from+Micros(f.Times.Notice), func() {
				m.gone = true
				f.tell(nil, m.line(brain.Gone))
				anew()
			})
			continue
		}
		f.At(from, func() {
			if m.gone || m.Refuses {
				return
			}
			m.gone = true
			f.tell(nil, m.line(brain.Draining))
			anew()
		})
		f.At(from+Micros(f.Times.Drain), func() {
			if !m.Refuses {
				m.falls(false)
				f.tell(nil, m.line(brain.Gone))
			}
		})
	}
	return end
}

// changes has configurations come one after the other, each to all sidecars within the time that the terms say, but never after a later one.
// Each counts by itself, over the settings that the sidecar was started with. The judge goes on by those, so none is looser.
func (f *fleet) changes(at, end Micros) {
	s := f.Settings
	each := func(name string, value any) brain.Settings {
		over := brain.Settings{}
		for i := range sim.Effects {
			over[fmt.Sprintf("path_prefixes.%d.%s", i, name)] = value
		}
		return over
	}
	all := []brain.Settings{nil,
		{"allowed.max_backend_fetches": float64(max(1, s.Fetches/2))},
		each("memory_span_us", float64(s.Window)*0.6),
		{"obligations.cold_from": s.ColdFrom * 0.8, "obligations.fall_multiple": s.FallMultiple * 0.8},
		each("target_latency_us", float64(s.Target)*0.8),
		each("value", 0.5),
		{"allowed.cancel": false, "allowed.conn_idle_us": 5e6, "allowed.max_retry_after_us": 1e6},
	}
	in := make([]int, len(f.net.Sidecars)) // the number that is in force
	for i := 1; i <= f.Times.Changes; i++ {
		over := all[i%len(all)]
		f.At(at+Micros(float64(end-at)*float64(i-1)/float64(f.Times.Changes)), func() {
			f.changed++
			for k, sidecar := range f.net.Sidecars {
				f.After(Micros(f.draws.Float()*float64(f.Times.InForce)), func() {
					if in[k] < i {
						if in[k] = i; sidecar.Lay(over) != nil {
							panic("a configuration was refused") // it is the terms' own
						}
					}
				})
			}
		})
	}
}

// apart cuts the regions from each other for longer than the group's forget. Each side's count of senders is as
// docs/membership.md has it: all, until the dead are forgotten; then its own, on the side that has the greater part. The list
// names all, since neither side's discovery hears of the other's end.
func (f *fleet) apart(at Micros) (end Micros) {
	region := func(z brain.Zone) int { return int(z) % f.Fleet.Regions }
	still := false
	f.net.Beyond = func(from *sim.Sidecar, to *sim.Server) bool { return still && region(from.Zone) != region(to.Zone) }
	f.net.Apart = func(from, to *sim.Sidecar) bool { return still && region(from.Zone) != region(to.Zone) }
	sides := make([]int, f.Fleet.Regions)
	for _, sidecar := range f.net.Sidecars {
		sides[region(sidecar.Zone)]++
		sidecar.B.Senders(len(f.net.Sidecars))
	}
	forgotten := at + Micros(f.Times.Forget)
	heals := forgotten + Micros(f.Times.Forget)/2
	f.At(at, func() { still = true })
	f.At(forgotten, func() {
		for _, sidecar := range f.net.Sidecars {
			if own := sides[region(sidecar.Zone)]; 2*own > len(f.net.Sidecars) {
				sidecar.B.Senders(own)
			}
		}
	})
	f.At(heals-500_000, func() { // known to its own side only, until they meet
		for r := range f.Fleet.Regions {
			m := f.every[slices.IndexFunc(f.every, func(m *machine) bool { return region(m.Zone) == r })]
			m.falls(false)
			m.starts()
			line := m.line(brain.Ready)
			f.tell(func(sidecar *sim.Sidecar) bool { return region(sidecar.Zone) == r }, line)
			f.At(heals, func() { f.tell(func(sidecar *sim.Sidecar) bool { return region(sidecar.Zone) != r }, line) })
		}
	})
	f.At(heals, func() { still = false })
	f.At(heals+Micros(f.Times.Rejoin), func() {
		for _, sidecar := range f.net.Sidecars {
			sidecar.B.Senders(len(f.net.Sidecars))
		}
	})
	return heals + Micros(f.Times.After)
}

func part(of, all int) float64 { return float64(of) / math.Max(float64(all), 1) }

func (f *fleet) figures(rate, most float64, end Micros, named int) Figures {
	n := float64(len(f.net.Sidecars))
	g := Figures{Kind: f.run.Kind, Shape: "service", Sidecars: len(f.net.Sidecars), Servers: f.shape.Servers, Load: f.shape.Load, HighLoad: f.LoadHigh, Named: named, VisitsPerS: rate / n,
		Most: rate * most, Seconds: float64(end-f.begin) / 1e6, Visits: f.all, Delivered: part(f.ok, f.all), InTarget: part(f.inTime, f.all),
		Lost: f.lost, Turned: map[string]int{}, WorstSecond: 1, Broken: f.net.Broken, First: f.net.First}
	if f.run.Pool {
		g.Shape = "pool"
	}
	if f.run.Kind == Day || f.run.Kind == Changes {
		g.Factor = 86400e6 / float64(f.Times.Day)
	}
	again := 0
	for s := 1; s < int((end-f.begin)/1e6); s++ { // the first second learns
		g.WorstSecond = min(g.WorstSecond, part(f.done[s], f.began[s]))
		g.RetriesMost = max(g.RetriesMost, part(f.again[s], f.began[s]))
		again += f.again[s]
		g.SaysMost = max(g.SaysMost, float64(f.says[s])/n)
		g.HeardMost = max(g.HeardMost, float64(f.heard[s]))
		g.BytesMost = max(g.BytesMost, float64(f.most[s]))
		if s < int(f.Times.Warm)/1e6 {
			g.Says += float64(f.says[s]) / n / float64(int(f.Times.Warm)/1e6-1)
		}
	}
	g.Retries = part(again, f.all)
	for _, all := range f.bytes {
		g.Bytes += float64(all) / n / g.Seconds
	}
	g.Bound, g.Mute = f.run.Bound, f.run.Mute
	g.P50, g.P99 = float64(f.took.ValueAtQuantile(50)), float64(f.took.ValueAtQuantile(99))
	for _, sidecar := range f.net.Sidecars {
		for why, k := range sidecar.B.Tally() {
			g.Turned[why] += k
		}
	}
	g.Changes = f.changed
	g.Cold = f.cold()
	g.Broken[4] = g.Cold.Falls
	if g.First == "" && g.Cold.Falls > 0 {
		g.First = fmt.Sprintf("rule 4: a window of %.2f times what is allowed", g.Cold.WorstTold)
	}
	return g
}

// cold judges rule 4 by the servers' accounts: each window that begins with a visit while its server is cold.
func (f *fleet) cold() (c Cold) {
	s := f.Settings
	allowed := func(since Micros) float64 { // visits of mean work in a window
		return s.FallMultiple * min(1, s.ColdFrom+(1-s.ColdFrom)*float64(since)/float64(s.Cold)) * float64(s.Fall) / float64(f.shape.Work)
	}
	c.Allowed, c.UsedLeast = allowed(0), math.Inf(1)
	var used, ofWarm float64
	for _, m := range f.every {
		if m.born != 0 {
			m.past = append(m.past, started{m.born, min(f.Now, m.born+Micros(s.Cold)), m.comes})
		}
		for _, p := range m.past {
			if p.to-p.at < Micros(s.Fall) {
				continue // hardly there
			}
			c.Servers++
			worst, worstTold := f.windows(p, allowed)
			c.Worst, c.WorstTold = max(c.Worst, worst), max(c.WorstTold, worstTold)
			if worstTold > 1 {
				c.Falls++
			} else if worst > 1 {
				c.Untold++
			}
			got, budget := 0.0, 0.0
			for _, a := range p.comes {
				got += a.work
			}
			for t := p.at; t < p.to; t += 10_000 {
				budget += allowed(t-p.at) * 10_000 / float64(s.Fall)
			}
			used, c.UsedLeast = used+got/budget, min(c.UsedLeast, got/budget)
			c.UsedMost = max(c.UsedMost, got/budget)
			ofWarm += got / (f.shape.Load * float64(p.to-p.at) / float64(f.shape.Work))
		}
	}
	if c.Servers == 0 {
		c.UsedLeast = 0
		return c
	}
	c.Used, c.OfWarm = used/float64(c.Servers), ofWarm/float64(c.Servers)
	return c
}

// windows tells the worst of a process's windows, of all, and of those of which over two thirds came from told ones.
func (f *fleet) windows(p started, allowed func(Micros) float64) (worst, told float64) {
	to, sum, knew, many := 0, 0.0, 0, 0
	for _, first := range p.comes {
		for ; to < len(p.comes) && p.comes[to].at < first.at+Micros(f.Settings.Fall); to++ {
			sum, many = sum+p.comes[to].work, many+1
			if p.comes[to].told {
				knew++
			}
		}
		n := allowed(first.at - p.at)
		of := sum / (n + 2*math.Sqrt(n) + 2)
		if worst = max(worst, of); 3*knew > 2*many {
			told = max(told, of)
		}
		sum, many = sum-first.work, many-1
		if first.told {
			knew--
		}
	}
	return worst, told
}
