// Package plan makes all random choices of a scenario before a run starts. The same scenario and seed give the same
// arrivals and faults bit for bit on any machine; the hash of a plan identifies it in reports.
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

	"ledgespread/lab/clock"
	"ledgespread/lab/rng"
	"ledgespread/lab/scenario"
)

// VisitIndex is the index of a request in Plan.Visits. A visit is one request of a client, including its retries.
type VisitIndex int

// Visit is one planned client request.
type Visit struct {
	At             clock.Micros // when it is due, from the start of the run
	Prefix, Tenant int          // indexes into the scenario; Tenant is -1 if the request has none
	Sidecar        int
	Key            uint64
	Work           clock.Micros
	Leaves         clock.Micros // the client cancels after this time; 0: it waits until its timeout
	Heeds          bool         // the client obeys Retry-After
	Beyond         bool         // part of its tenant's flood, in excess of the tenant's share
}

// Event is a fault with the names of its targets.
type Event struct {
	scenario.Fault
	Names  []string
	Others []string // for faults on paths between sidecars: the sidecars at the far ends
}

// Plan holds everything that a run will do: the requests, the faults, and the times of malformed requests (MalformedTimes).
type Plan struct {
	Seed           uint64
	Visits         []Visit
	Events         []Event
	MalformedTimes []clock.Micros
	Hash           uint64
}

// Draw makes the plan of a scenario from a seed. It fails only if the recorded arrivals can't be read.
func Draw(spec *scenario.Scenario, seed uint64) (*Plan, error) {
	plan := &Plan{Seed: seed}
	plan.resolveFaults(spec)
	var err error
	if spec.Traffic.Trace != "" {
		err = plan.readArrivals(spec)
	} else {
		plan.drawArrivals(spec)
	}
	if err != nil {
		return nil, err
	}
	if spec.Traffic.MalformedRate > 0 {
		draw := rng.New(seed, "rude")
		for at := 0.0; ; {
			at += draw.Exp(float64(clock.Second) / float64(spec.Traffic.MalformedRate))
			if at >= float64(spec.Length) {
				break
			}
			plan.MalformedTimes = append(plan.MalformedTimes, clock.Micros(at))
		}
	}
	plan.Hash = plan.hash()
	return plan, nil
}

// resolveFaults resolves the targets of all faults and sorts the faults by time.
func (p *Plan) resolveFaults(spec *scenario.Scenario) {
	draw := rng.New(p.Seed, "faults")
	for _, fault := range spec.Faults {
		event := Event{Fault: fault}
		for _, aim := range []struct {
			at    any
			names []string
		}{{fault.Backends, spec.BackendNames()}, {fault.Sidecars, spec.SidecarNames()}} {
			if aim.at == nil {
				continue
			}
			shuffled := slices.Clone(aim.names)
			for i := len(shuffled) - 1; i > 0; i-- {
				j := draw.Below(i + 1)
				shuffled[i], shuffled[j] = shuffled[j], shuffled[i]
			}
			event.Names = scenario.SelectTargets(aim.at, aim.names, shuffled)
		}
		if event.Others = spec.SidecarNames(); fault.Others != nil {
			event.Others = scenario.SelectTargets(fault.Others, spec.SidecarNames(), spec.SidecarNames())
		}
		p.Events = append(p.Events, event)
	}
	slices.SortStableFunc(p.Events, func(a, b Event) int { return int(a.At - b.At) })
}

// requestRate returns the request rate per second of all tenants at a time, without floods.
func requestRate(spec *scenario.Scenario, at float64) float64 {
	traffic := spec.Traffic
	rate := float64(traffic.Rate)
	switch traffic.Shape {
	case "bursts":
		if math.Mod(at, float64(traffic.BurstEvery)) < float64(traffic.BurstFor) {
			rate *= traffic.BurstTimes
		}
	case "swing":
		rate *= 1 + traffic.SwingBy*math.Sin(2*math.Pi*at/float64(traffic.SwingEvery))
	}
	for _, fault := range spec.Faults {
		if fault.What == "surge" && at >= float64(fault.At) && at < float64(fault.At+fault.For) {
			rate *= fault.Times
		}
	}
	return rate
}

// floodFactor returns the factor by which floods multiply a tenant's rate at a time.
func floodFactor(spec *scenario.Scenario, tenant string, now float64) float64 {
	factor := 1.0
	for _, fault := range spec.Faults {
		if fault.What == "flood" && fault.Tenant == tenant && now >= float64(fault.At) && now < float64(fault.At+fault.For) {
			factor *= fault.Times
		}
	}
	return factor
}

// drawArrivals draws the requests of each tenant as a stream of its own. It generates arrivals at the tenant's maximum
// rate and keeps each with the probability of the current rate over the maximum (thinning).
func (p *Plan) drawArrivals(spec *scenario.Scenario) {
	shares, total := []float64{1}, 0.0
	if len(spec.Tenants) > 0 {
		shares = shares[:0]
		for _, t := range spec.Tenants {
			shares = append(shares, t.Share)
		}
	}
	for _, share := range shares {
		total += share
	}
	for i, share := range shares {
		tenant, name := -1, ""
		if len(spec.Tenants) > 0 {
			tenant, name = i, spec.Tenants[i].Name
		}
		maxRate := float64(spec.Traffic.Rate) * (1 + spec.Traffic.SwingBy) * max(1, spec.Traffic.BurstTimes)
		for _, fault := range spec.Faults {
			if fault.What == "surge" || fault.What == "flood" && fault.Tenant == name {
				maxRate *= fault.Times
			}
		}
		draw, credit := rng.New(p.Seed, "arrivals "+name), 0.0
		step := float64(clock.Second) / (maxRate * share / total)
		for at := 0.0; ; {
			if spec.Traffic.Shape == "even" {
				at += step
			} else {
				at += draw.Exp(step)
			}
			if at >= float64(spec.Length) {
				break
			}
			flood := floodFactor(spec, name, at)
			credit += requestRate(spec, at) * flood / maxRate
			if spec.Traffic.Shape == "even" && credit < 1 || spec.Traffic.Shape != "even" && draw.Float() >= requestRate(spec, at)*flood/maxRate {
				continue
			}
			credit--
			p.addVisit(spec, draw, clock.Micros(at), tenant, flood > 1 && draw.Float() >= 1/flood)
		}
	}
	slices.SortStableFunc(p.Visits, func(a, b Visit) int { return int(a.At - b.At) })
}

// addVisit draws the properties of one request and adds it to the plan.
func (p *Plan) addVisit(spec *scenario.Scenario, draw *rng.Source, at clock.Micros, tenant int, beyond bool) {
	shares := make([]float64, len(spec.Prefixes))
	for i, prefix := range spec.Prefixes {
		shares[i] = prefix.Share
	}
	visit := Visit{At: at, Tenant: tenant, Prefix: draw.Pick(shares), Sidecar: drawSidecar(spec, draw), Beyond: beyond}
	prefix, mean := spec.Prefixes[visit.Prefix], 0.0
	switch mean = float64(prefix.Work); prefix.Spread {
	case "exp":
		mean = draw.Exp(mean)
	case "heavy":
		mean = draw.Heavy(mean, prefix.Shape)
	}
	visit.Work = max(1, clock.Micros(mean))
	if spec.Traffic.Keys > 0 {
		visit.Key = 1 + uint64(float64(spec.Traffic.Keys)*math.Pow(draw.Float(), 1+spec.Traffic.KeySkew))
	}
	if draw.Float() < spec.Traffic.Impatient {
		visit.Leaves = max(1, clock.Micros(draw.Float()*float64(prefix.Timeout)))
	}
	visit.Heeds = draw.Float() < spec.Traffic.Honour
	p.Visits = append(p.Visits, visit)
}

// drawSidecar draws the sidecar that a request is sent to, by the weights of Traffic.SidecarSkew.
func drawSidecar(spec *scenario.Scenario, draw *rng.Source) int {
	weights := make([]float64, spec.Sidecars.Count)
	for i := range weights {
		weights[i] = 1 / math.Pow(float64(1+i), spec.Traffic.SidecarSkew)
	}
	return draw.Pick(weights)
}

// readArrivals reads the arrivals from the trace file that the scenario names.
func (p *Plan) readArrivals(spec *scenario.Scenario) error {
	name := spec.Traffic.Trace
	if !filepath.IsAbs(name) {
		name = filepath.Join(filepath.Dir(spec.File), name)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	prefixes, tenants := map[string]int{}, map[string]int{"-": -1}
	for i, prefix := range spec.Prefixes {
		prefixes[prefix.Name] = i
	}
	for i, tenant := range spec.Tenants {
		tenants[tenant.Name] = i
	}
	draw, last := rng.New(p.Seed, "recorded"), clock.Micros(0)
	lines := bufio.NewScanner(file)
	for line := 1; lines.Scan(); line++ {
		text := strings.TrimSpace(lines.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		var at, work clock.Micros
		var prefix, tenant string
		var key uint64
		if _, err := fmt.Sscan(text, &at, &prefix, &tenant, &key, &work); err != nil {
			return fmt.Errorf("%s:%d: %w", name, line, err)
		}
		prefixIndex, knownPrefix := prefixes[prefix]
		tenantIndex, knownTenant := tenants[tenant]
		if !knownPrefix || !knownTenant || at < last || work <= 0 {
			return fmt.Errorf("%s:%d: an unknown path prefix or tenant, no work, or out of order", name, line)
		}
		if last = at; at < spec.Length.M() {
			p.Visits = append(p.Visits, Visit{At: at, Prefix: prefixIndex, Tenant: tenantIndex, Key: key, Work: work, Sidecar: drawSidecar(spec, draw),
				Heeds: draw.Float() < spec.Traffic.Honour})
		}
	}
	return lines.Err()
}

// hash returns a hash of all that the plan holds.
func (p *Plan) hash() uint64 {
	hasher := fnv.New64a()
	var buffer [8]byte
	hashNumbers := func(numbers ...uint64) {
		for _, number := range numbers {
			binary.LittleEndian.PutUint64(buffer[:], number)
			hasher.Write(buffer[:])
		}
	}
	bitOf := map[bool]uint64{true: 1}
	hashNumbers(p.Seed, uint64(len(p.Visits)))
	for _, visit := range p.Visits {
		hashNumbers(uint64(visit.At), uint64(visit.Prefix), uint64(visit.Tenant), uint64(visit.Sidecar), visit.Key, uint64(visit.Work), uint64(visit.Leaves),
			bitOf[visit.Heeds]|bitOf[visit.Beyond]<<1)
	}
	for _, event := range p.Events {
		fmt.Fprintf(hasher, "%d %d %s %v %s %s %s %v %d %v\n", event.At, event.For, event.What, event.Names, event.From, event.To, event.Tenant, event.Times, event.By, event.Part)
	}
	for _, at := range p.MalformedTimes {
		hashNumbers(uint64(at))
	}
	return hasher.Sum64()
}
