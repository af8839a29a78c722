// Package plan draws all that a scenario leaves to chance before anything starts: one seed gives one plan, the same
// arrivals, faults and draws bit for bit, told by a hash that is printed.
package plan

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"ledgespread/lab/chance"
	"ledgespread/lab/clock"
	"ledgespread/lab/scenario"
)

// VisitNo numbers the visits of a plan, from 0.
type VisitNo int

// Visit is one to come.
type Visit struct {
	At             clock.Micros // due
	Prefix, Tenant int          // their places; the tenant is -1 where there are none
	Sidecar        int
	Key            uint64
	Work           clock.Micros
	Leaves         clock.Micros // after so long its client leaves, 0: it stays
	Heeds          bool         // Retry-After
	Beyond         bool         // its tenant floods: it is beyond its share
}

// Event is one fault with the names it is aimed at.
type Event struct {
	scenario.Fault
	Names  []string
	Others []string // of ways: to whom
}

// Plan is all that will be done.
type Plan struct {
	Seed   uint64
	Visits []Visit
	Events []Event
	Rude   []clock.Micros
	Hash   uint64
}

// Draw makes the plan of a scenario.
func Draw(s *scenario.Scenario, seed uint64) (*Plan, error) {
	p := &Plan{Seed: seed}
	p.events(s)
	var err error
	if s.Traffic.Trace != "" {
		err = p.recorded(s)
	} else {
		p.arrivals(s)
	}
	if err != nil {
		return nil, err
	}
	if s.Traffic.Rude > 0 {
		draw := chance.New(seed, "rude")
		for at := 0.0; ; {
			at += draw.Exp(float64(clock.Second) / float64(s.Traffic.Rude))
			if at >= float64(s.Length) {
				break
			}
			p.Rude = append(p.Rude, clock.Micros(at))
		}
	}
	p.Hash = p.hash()
	return p, nil
}

func (p *Plan) events(s *scenario.Scenario) {
	draw := chance.New(p.Seed, "faults")
	for _, f := range s.Faults {
		e := Event{Fault: f}
		for _, aim := range []struct {
			at    any
			names []string
		}{{f.Backends, s.BackendNames()}, {f.Sidecars, s.SidecarNames()}} {
			if aim.at == nil {
				continue
			}
			shuffled := slices.Clone(aim.names)
			for i := len(shuffled) - 1; i > 0; i-- {
				j := draw.Below(i + 1)
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			}
			e.Names = scenario.Aimed(aim.at, aim.names, shuffled)
		}
		if e.Others = s.SidecarNames(); f.Others != nil {
			e.Others = scenario.Aimed(f.Others, s.SidecarNames(), s.SidecarNames())
		}
		p.Events = append(p.Events, e)
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// rate is what is asked for at a time, without floods.
func rate(s *scenario.Scenario, at float64) float64 {
	t := s.Traffic
	r := float64(t.Rate)
	switch t.Shape {
	case "bursts":
		if math.Mod(at, float64(t.BurstEvery)) < float64(t.BurstFor) {
			r *= t.BurstTimes
		}
	case "swing":
		r *= 1 + t.SwingBy*math.Sin(2*math.Pi*at/float64(t.SwingEvery))
	}
	for _, f := range s.Faults {
		if f.What == "surge" && at >= float64(f.At) && at < float64(f.At+f.For) {
			r *= f.Times
		}
	}
	return r
}

// flooding is a tenant's multiple at a time.
func flooding(s *scenario.Scenario, tenant string, at float64) float64 {
	times := 1.0
	for _, f := range s.Faults {
		if f.What == "flood" && f.Tenant == tenant && at >= float64(f.At) && at < float64(f.At+f.For) {
			times *= f.Times
		}
	}
	return times
}

// arrivals draws a stream for each tenant, by thinning the fastest it ever gets.
func (p *Plan) arrivals(s *scenario.Scenario) {
	shares, all := []float64{1}, 0.0
	if len(s.Tenants) > 0 {
		shares = shares[:0]
		for _, t := range s.Tenants {
			shares = append(shares, t.Share)
		}
	}
	for _, share := range shares {
		all += share
	}
	for i, share := range shares {
		tenant, name := -1, ""
		if len(s.Tenants) > 0 {
			tenant, name = i, s.Tenants[i].Name
		}
		most := float64(s.Traffic.Rate) * (1 + s.Traffic.SwingBy) * max(1, s.Traffic.BurstTimes)
		for _, f := range s.Faults {
			if f.What == "surge" || f.What == "flood" && f.Tenant == name {
				most *= f.Times
			}
		}
		draw, even := chance.New(p.Seed, "arrivals "+name), 0.0
		step := float64(clock.Second) / (most * share / all)
		for at := 0.0; ; {
			if s.Traffic.Shape == "even" {
				at += step
			} else {
				at += draw.Exp(step)
			}
			if at >= float64(s.Length) {
				break
			}
			flood := flooding(s, name, at)
			even += rate(s, at) * flood / most
			if s.Traffic.Shape == "even" && even < 1 || s.Traffic.Shape != "even" && draw.Float() >= rate(s, at)*flood/most {
				continue
			}
			even--
			p.visit(s, draw, clock.Micros(at), tenant, flood > 1 && draw.Float() >= 1/flood)
		}
	}
	slices.SortStableFunc(p.Visits, func(a, b Visit) int { return int(a.At - b.At) })
}

func (p *Plan) visit(s *scenario.Scenario, draw *chance.Source, at clock.Micros, tenant int, beyond bool) {
	shares := make([]float64, len(s.Prefixes))
	for i, x := range s.Prefixes {
		shares[i] = x.Share
	}
	v := Visit{At: at, Tenant: tenant, Prefix: draw.Pick(shares), Sidecar: sidecar(s, draw), Beyond: beyond}
	x, mean := s.Prefixes[v.Prefix], 0.0
	switch mean = float64(x.Work); x.Spread {
	case "exp":
		mean = draw.Exp(mean)
	case "heavy":
		mean = draw.Heavy(mean, x.Shape)
	}
	v.Work = max(1, clock.Micros(mean))
	if s.Traffic.Keys > 0 {
		v.Key = 1 + uint64(float64(s.Traffic.Keys)*math.Pow(draw.Float(), 1+s.Traffic.KeySkew))
	}
	if draw.Float() < s.Traffic.Impatient {
		v.Leaves = max(1, clock.Micros(draw.Float()*float64(x.Timeout)))
	}
	v.Heeds = draw.Float() < s.Traffic.Honour
	p.Visits = append(p.Visits, v)
}

func sidecar(s *scenario.Scenario, draw *chance.Source) int {
	weights := make([]float64, s.Sidecars.Count)
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(1+i), s.Traffic.SidecarSkew)
	}
	return draw.Pick(weights)
}

// recorded takes arrivals from a file beside the scenario.
func (p *Plan) recorded(s *scenario.Scenario) error {
	name := s.Traffic.Trace
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(s.File), name)
	}
	f, err := os.Open(name)
	if err != nil {
		return err
	}
	defer f.Close()
	prefixes, tenants := map[string]int{}, map[string]int{"-": -1}
	for i, x := range s.Prefixes {
		prefixes[x.Name] = i
	}
	for i, x := range s.Tenants {
		tenants[x.Name] = i
	}
	draw, last := chance.New(p.Seed, "recorded"), clock.Micros(0)
	in := bufio.NewScanner(f)
	for line := 1; in.Scan(); line++ {
		text := strings.TrimSpace(in.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var at, work clock.Micros
		var prefix, tenant string
		var key uint64
		if _, err := fmt.Sscan(text, &at, &prefix, &tenant, &key, &work); err != nil {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
		of, known := prefixes[prefix]
		by, sends := tenants[tenant]
		if !known || !sends || at < last || work <= 0 {
			return fmt.Errorf("%s:%d: an unknown path prefix or tenant, no work, or out of order", name, line)
		}
		if last = at; at < s.Length.M() {
			p.Visits = append(p.Visits, Visit{At: at, Prefix: of, Tenant: by, Key: key, Work: work, Sidecar: sidecar(s, draw),
				Heeds: draw.Float() < s.Traffic.Honour})
		}
	}
	return in.Err()
}

// hash tells one plan from another.
func (p *Plan) hash() uint64 {
	h := fnv.New64a()
	var b [8]byte
	put := func(xs ...uint64) {
		for _, x := range xs {
			binary.LittleEndian.PutUint64(b[:], x)
			h.Write(b[:])
		}
	}
	bit := map[bool]uint64{true: 1}
	put(p.Seed, uint64(len(p.Visits)))
	for _, v := range p.Visits {
		put(uint64(v.At), uint64(v.Prefix), uint64(v.Tenant), uint64(v.Sidecar), v.Key, uint64(v.Work), uint64(v.Leaves),
			bit[v.Heeds]|bit[v.Beyond]<<1)
	}
	for _, e := range p.Events {
		fmt.Fprintf(h, "%d %d %s %v %s %s %s %v %d %v\n", e.At, e.For, e.What, e.Names, e.From, e.To, e.Tenant, e.Times, e.By, e.Part)
	}
	for _, at := range p.Rude {
		put(uint64(at))
	}
	return h.Sum64()
}
