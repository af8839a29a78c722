package callgraph

// statistics.go computes statistics of a graph.

import (
	_ "embed"
	"fmt"
	"slices"
)

// PerS returns the rate of calls per second from one service to another.
func (g *Graph) PerS(from, to int) int {
	for _, e := range g.Services[from].Calls {
		if e.To == to {
			return e.PerS
		}
	}
	return 0
}

// CallRate returns the rate of calls per second that a service makes.
func (g *Graph) CallRate(service int) (sum int) {
	for _, e := range g.Services[service].Calls {
		sum += e.PerS
	}
	return sum
}

// Depth returns the number of calls in the longest chain.
func (g *Graph) Depth() (longest int) {
	below := make([]int, len(g.Services))
	for i := len(g.Services) - 1; i >= 0; i-- {
		for _, e := range g.Services[i].Calls {
			below[i] = max(below[i], 1+below[e.To])
		}
		longest = max(longest, below[i])
	}
	return longest
}

// Spread holds the mean, median and maximum of some values. At is the service that has the maximum.
type Spread struct {
	Mean   float64 `json:"mean"`
	Median float64 `json:"median"`
	Max    float64 `json:"most"`
	At     int     `json:"at"`
}

// newSpread returns the Spread of values; at holds the service of each.
func newSpread(values []float64, services []int) (spread Spread) {
	for i, value := range values {
		spread.Mean += value / float64(len(values))
		if value > spread.Max {
			spread.Max, spread.At = value, services[i]
		}
	}
	sorted := slices.Sorted(slices.Values(values))
	if len(sorted) > 0 {
		spread.Median = sorted[len(sorted)/2]
	}
	return spread
}

// Statistics holds the statistics of a graph, on which other parts of the lab base their sizes.
type Statistics struct {
	Seed      uint64 `json:"seed"`
	Services  int    `json:"services"`
	Servers   int    `json:"servers"`
	CallsPerS int    `json:"calls_per_s"`
	Depth     int    `json:"depth"`
	Edges     int    `json:"edges"`
	Size      Spread `json:"servers_of_a_service"`
	Fanout    Spread `json:"services_that_one_calls"`     // over services that call any
	Visits    Spread `json:"visits_per_s_of_a_sidecar"`   // over all servers, with 0 for those that make no calls
	Visited   Spread `json:"calls_per_s_of_a_server"`     // over servers that are called
	List      Spread `json:"servers_in_a_sidecars_list"`  // over servers that make calls: only servers that it may call are in its list
	Senders   Spread `json:"sidecars_that_call_a_server"` // over servers that are called
	AtDepth   []int  `json:"calls_per_s_by_depth"`        // by layer of the called service, from 1
	ByZone    []int  `json:"servers_by_zone"`
}

// Statistics computes the statistics of the graph.
func (g *Graph) Statistics() Statistics {
	statistics := Statistics{Seed: g.Seed, Services: len(g.Services), Depth: g.Depth(), AtDepth: make([]int, g.Assumptions.Size.Depth),
		ByZone: make([]int, g.Assumptions.Size.Zones)}
	var size, fanout, visits, visited, list, senders []float64
	var sizeAt, fanoutAt, visitsAt, visitedAt, listAt, sendersAt []int
	for i, service := range g.Services {
		servers := service.Servers()
		statistics.Servers += servers
		statistics.CallsPerS += g.CallRate(i)
		statistics.Edges += len(service.Calls)
		size, sizeAt = append(size, float64(servers)), append(sizeAt, i)
		for zone, count := range service.Zones {
			statistics.ByZone[zone] += count
		}
		listed, received, callers := 0, 0, 0
		for _, edge := range service.Calls {
			listed += g.Services[edge.To].Servers()
			statistics.AtDepth[g.Services[edge.To].Layer-1] += edge.PerS
		}
		for _, from := range service.Callers {
			received, callers = received+g.PerS(from, i), callers+g.Services[from].Servers()
		}
		if len(service.Calls) > 0 {
			fanout, fanoutAt = append(fanout, float64(len(service.Calls))), append(fanoutAt, i)
		}
		for range servers {
			visits, visitsAt = append(visits, float64(g.CallRate(i))/float64(servers)), append(visitsAt, i)
			if listed > 0 {
				list, listAt = append(list, float64(listed)), append(listAt, i)
			}
			if callers > 0 {
				senders, sendersAt = append(senders, float64(callers)), append(sendersAt, i)
				visited, visitedAt = append(visited, float64(received)/float64(servers)), append(visitedAt, i)
			}
		}
	}
	statistics.Size, statistics.Fanout, statistics.Visits = newSpread(size, sizeAt), newSpread(fanout, fanoutAt), newSpread(visits, visitsAt)
	statistics.Visited, statistics.List, statistics.Senders = newSpread(visited, visitedAt), newSpread(list, listAt), newSpread(senders, sendersAt)
	return statistics
}

// Lines formats the statistics as a table.
func (s Statistics) Lines() (lines []string) {
	lines = append(lines, fmt.Sprintf("seed %d: %d services, %d servers (by zone %v), %d calls/s over %d edges, %d deep",
		s.Seed, s.Services, s.Servers, s.ByZone, s.CallsPerS, s.Edges, s.Depth))
	lines = append(lines, fmt.Sprintf("%-40s %10s %10s %10s", "", "mean", "median", "most"))
	for _, row := range []struct {
		what string
		of   Spread
	}{{"servers of a service", s.Size}, {"services that one calls", s.Fanout},
		{"visits/s of a sidecar", s.Visits}, {"calls/s of a server", s.Visited},
		{"servers in a sidecar's list", s.List}, {"sidecars that call a server", s.Senders}} {
		lines = append(lines, fmt.Sprintf("%-40s %10.1f %10.1f %10.1f  (service %d)", row.what, row.of.Mean, row.of.Median, row.of.Max, row.of.At))
	}
	return append(lines, fmt.Sprintf("calls/s by depth: %v", s.AtDepth))
}
