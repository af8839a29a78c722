// Package callgraph generates random call graphs: the services, the number of servers of each, and the rate at which
// each service calls others. A seed gives the same graph on any machine. Sizes are the operators' requirements; what
// these leave open is assumed in assumptions.toml.
package callgraph

import (
	_ "embed"
	"math"
	"slices"

	"ledgespread/lab/rng"
	"ledgespread/strict"
)

// Rate is a number per second, written in files with its unit.
type Rate float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.ParsePerSecond(text)
	*r = Rate(x)
	return err
}

// Size holds the sizes that the operators require.
type Size struct {
	Servers   int  `toml:"servers"`
	Services  int  `toml:"services"`
	CallsPerS Rate `toml:"calls_per_s"`
	Depth     int  `toml:"depth"`
	Regions   int  `toml:"regions"`
	Zones     int  `toml:"zones"`
}

// Assumed holds the parameters that the requirements leave open; assumptions.toml describes each.
type Assumed struct {
	CallsServices    float64 `toml:"calls_services"`
	MaxCallsServices int     `toml:"calls_services_most"`
	Onward           float64 `toml:"onward"`
	OnwardSpread     float64 `toml:"onward_spread"`
	Fronts           int     `toml:"fronts"`
	SizesFollowRates float64 `toml:"sizes_follow_rates"`
	SizeSpread       float64 `toml:"size_spread"`
	MinServers       int     `toml:"servers_least"`
}

// Assumptions is the content of an assumptions file.
type Assumptions struct {
	Size    Size    `toml:"size"`
	Assumed Assumed `toml:"assumed"`
}

//go:embed assumptions.toml
var defaultAssumptions []byte

// DefaultAssumptions returns the default assumptions, from the embedded file.
func DefaultAssumptions() Assumptions {
	assumptions, err := Read("assumptions.toml", defaultAssumptions)
	if err != nil {
		panic(err) // can't happen: the file is embedded, and a test reads it
	}
	return assumptions
}

// Read parses assumptions from text; those left out have their defaults. An error names file, line and name.
func Read(file string, text []byte) (assumptions Assumptions, err error) {
	if err = strict.Decode("assumptions.toml", defaultAssumptions, &assumptions); err != nil {
		return assumptions, err
	}
	if err = strict.Decode(file, text, &assumptions); err != nil {
		return assumptions, err
	}
	if invalid := assumptions.validate(); invalid != nil {
		return assumptions, invalid.WithPosition(file, text)
	}
	return assumptions, nil
}

// validate returns the first invalid value, or nil if all are valid.
func (a Assumptions) validate() *strict.FieldError {
	sizes, assumed := a.Size, a.Assumed
	for _, check := range []struct {
		invalid          bool
		table, name, why string
	}{
		{sizes.Services < 2 || sizes.Services > 10_000, "size", "services", "must lie between 2 and 10000"},
		{sizes.Depth < 1 || sizes.Depth >= sizes.Services, "size", "depth", "must be at least 1, and less than the services"},
		{sizes.Servers < sizes.Services*assumed.MinServers || sizes.Servers > 1_000_000, "size", "servers",
			"must be at least servers_least for each service, and a million at most"},
		{sizes.CallsPerS < 1 || sizes.CallsPerS > 1e9, "size", "calls_per_s", "must lie between 1/s and 1000000000/s"},
		{sizes.Zones < 1 || sizes.Zones > 1000, "size", "zones", "must lie between 1 and 1000"},
		{sizes.Regions < 1 || sizes.Regions > sizes.Zones, "size", "regions", "must be at least 1, and no more than the zones"},
		{assumed.MinServers < 1, "assumed", "servers_least", "must be at least 1"},
		{assumed.Fronts < 1 || assumed.Fronts > sizes.Services-sizes.Depth, "assumed", "fronts", "must be at least 1, and leave depth other services"},
		{!(assumed.CallsServices >= 1) || assumed.CallsServices > 1000, "assumed", "calls_services", "must lie between 1 and 1000"},
		{float64(assumed.MaxCallsServices) < assumed.CallsServices, "assumed", "calls_services_most", "must be at least calls_services"},
		{!(assumed.Onward > 0) || assumed.Onward > 100, "assumed", "onward", "must be over 0, and 100 at most"},
		{!(assumed.OnwardSpread >= 0) || assumed.OnwardSpread > 5, "assumed", "onward_spread", "must lie between 0 and 5"},
		{!(assumed.SizesFollowRates >= 0) || assumed.SizesFollowRates > 2, "assumed", "sizes_follow_rates", "must lie between 0 and 2"},
		{!(assumed.SizeSpread >= 0) || assumed.SizeSpread > 5, "assumed", "size_spread", "must lie between 0 and 5"},
	} {
		if check.invalid {
			return &strict.FieldError{Table: check.table, Name: check.name, Reason: check.why}
		}
	}
	return nil
}

// Service is a service of a graph, identified by its index in Graph.Services. Calls go to deeper layers only, so that
// a chain of calls that ends at the service has at most Layer calls.
type Service struct {
	Layer   int
	Zones   []int // number of servers in each zone
	Calls   []Edge
	Callers []int // indexes of the services that call it
}

// Servers returns the service's number of servers.
func (s *Service) Servers() (n int) {
	for _, count := range s.Zones {
		n += count
	}
	return n
}

// Edge is the calls from one service to another; PerS is the rate of calls per second by all of the caller's servers.
type Edge struct {
	To   int
	PerS int
}

// Graph is a generated call graph. Services are sorted by layer.
type Graph struct {
	Seed        uint64
	Assumptions Assumptions
	Services    []*Service
}

// normal returns a number from the standard normal distribution.
func normal(random *rng.Source) float64 {
	return math.Sqrt(-2*math.Log(1-random.Float())) * math.Cos(2*math.Pi*random.Float())
}

// Draw generates a graph. Each service is in a layer, from 0 (the front services, which are called from outside only) to
// Size.Depth, and calls services of deeper layers only. The first service of each layer calls the first of the next, so
// that the longest chain has exactly Size.Depth calls.
func Draw(assumptions Assumptions, seed uint64) *Graph {
	graph := &Graph{Seed: seed, Assumptions: assumptions}
	random := rng.New(seed, "callgraph")
	for i := range assumptions.Size.Services {
		layer := i - assumptions.Assumed.Fronts + 1
		if layer = max(layer, 0); layer > assumptions.Size.Depth {
			layer = 1 + random.Below(assumptions.Size.Depth)
		}
		graph.Services = append(graph.Services, &Service{Layer: layer})
	}
	slices.SortStableFunc(graph.Services, func(x, y *Service) int { return x.Layer - y.Layer })
	weights := graph.edges(random)
	graph.rates(random, weights)
	graph.sizes(random)
	return graph
}

// edges generates the edges. It returns their weights, which divide the calls of a service among its edges.
func (g *Graph) edges(random *rng.Source) (weights [][]float64) {
	assumptions := g.Assumptions
	weights = make([][]float64, len(g.Services))
	add := func(from, to int) {
		service := g.Services[from]
		if slices.ContainsFunc(service.Calls, func(e Edge) bool { return e.To == to }) {
			return
		}
		service.Calls = append(service.Calls, Edge{To: to})
		weights[from] = append(weights[from], random.Exp(1)+0.05)
		g.Services[to].Callers = append(g.Services[to].Callers, from)
	}
	first := func(layer int) int {
		return slices.IndexFunc(g.Services, func(service *Service) bool { return service.Layer == layer })
	}
	deeper := func(layer int) int { // index of the first service in a deeper layer
		if at := slices.IndexFunc(g.Services, func(service *Service) bool { return service.Layer > layer }); at >= 0 {
			return at
		}
		return len(g.Services)
	}
	for layer := range assumptions.Size.Depth {
		add(first(layer), first(layer+1))
	}
	for i, service := range g.Services { // every service behind the front has a caller
		if service.Layer > 0 && len(service.Callers) == 0 {
			add(random.Below(slices.IndexFunc(g.Services, func(other *Service) bool { return other.Layer >= service.Layer })), i)
		}
	}
	for i, service := range g.Services {
		from := deeper(service.Layer)
		if from == len(g.Services) {
			continue
		}
		wanted := min(1+int(random.Exp(assumptions.Assumed.CallsServices-1)+0.5), assumptions.Assumed.MaxCallsServices, len(g.Services)-from)
		for tries := 0; len(service.Calls) < wanted && tries < 50*wanted; tries++ {
			add(i, from+random.Below(len(g.Services)-from))
		}
	}
	return weights
}

// rates propagates calls from the front services, then scales the rates of all edges to integers of at least 1 that sum
// to Size.CallsPerS.
func (g *Graph) rates(random *rng.Source, weights [][]float64) {
	callRates := make([]float64, len(g.Services))
	var flow []float64
	for i, service := range g.Services { // sorted by layer: callers come before the services that they call
		if service.Layer == 0 {
			callRates[i] = math.Exp(normal(random))
		}
		spread := g.Assumptions.Assumed.OnwardSpread
		onward, sum := g.Assumptions.Assumed.Onward*math.Exp(spread*normal(random)-spread*spread/2), 0.0
		for _, weight := range weights[i] {
			sum += weight
		}
		for k, edge := range service.Calls {
			rate := callRates[i] * onward * weights[i][k] / sum
			callRates[edge.To] += rate
			flow = append(flow, rate)
		}
	}
	rates := divideByWeight(flow, int(float64(g.Assumptions.Size.CallsPerS)+0.5), 1)
	at := 0
	for _, service := range g.Services {
		for k := range service.Calls {
			service.Calls[k].PerS = rates[at]
			at++
		}
	}
}

// sizes divides the servers among the services by the rate of their calls, and assigns them to the zones in turn.
func (g *Graph) sizes(random *rng.Source) {
	var weights []float64
	for i, service := range g.Services {
		rate := 1.0 // rate of calls received or, for a front service, made
		for _, from := range service.Callers {
			rate += float64(g.PerS(from, i))
		}
		if service.Layer == 0 {
			rate += float64(g.CallRate(i))
		}
		weights = append(weights, math.Pow(rate, g.Assumptions.Assumed.SizesFollowRates)*math.Exp(g.Assumptions.Assumed.SizeSpread*normal(random)))
	}
	zone := 0
	for i, servers := range divideByWeight(weights, g.Assumptions.Size.Servers, g.Assumptions.Assumed.MinServers) {
		g.Services[i].Zones = make([]int, g.Assumptions.Size.Zones)
		for range servers {
			g.Services[i].Zones[zone%g.Assumptions.Size.Zones]++
			zone++
		}
	}
}

// divideByWeight divides an integer by weight, with at least minimum for each part. It rounds down and gives what is left
// over to the parts with the largest remainders.
func divideByWeight(weights []float64, total, minimum int) []int {
	sum := 0.0
	for _, weight := range weights {
		sum += weight
	}
	free, assigned := max(total-minimum*len(weights), 0), 0
	parts, order := make([]int, len(weights)), make([]int, len(weights))
	remainders := make([]float64, len(weights))
	for i, weight := range weights {
		portion := float64(free) * weight / sum
		parts[i], remainders[i], order[i] = minimum+int(portion), portion-math.Floor(portion), i
		assigned += int(portion)
	}
	slices.SortStableFunc(order, func(i, k int) int {
		switch {
		case remainders[i] > remainders[k]:
			return -1
		case remainders[i] < remainders[k]:
			return 1
		}
		return 0
	})
	for k := range free - assigned {
		parts[order[k%len(order)]]++
	}
	return parts
}
