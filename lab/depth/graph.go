package depth

import (
	"fmt"
	"math"

	"ledgespread/brain"
	"ledgespread/lab/callgraph"
	"ledgespread/lab/rng"
	"ledgespread/lab/sim"
)

// graph.go simulates a random call graph of services of which one fails.

// GraphFigures holds the measurements of a run on a random call graph. The most called service of the deepest layer fails
// a fraction of its calls. Numbers of calls are relative to the same number before the failure.
type GraphFigures struct {
	Way                 Way     `json:"way"`
	Retries             bool    `json:"retries"`
	Fails               float64 `json:"fails"`
	Services            int     `json:"services"`
	Servers             int     `json:"servers"`
	Modules             int     `json:"modules"` // sidecar modules: one for each server and service that it calls
	Rate                float64 `json:"calls_per_s"`
	Divided             float64 `json:"rate_divided_by"`
	Failing             int     `json:"failing_service"`
	CallsAtFailing      float64 `json:"calls_there"` // rate of calls at the failing service, over the rate before
	CallsAtFailingWorst float64 `json:"calls_there_worst_second"`
	Calls               float64 `json:"calls_in_all"` // the same over all services
	CallsWorst          float64 `json:"calls_in_all_worst_second"`
	Before              float64 `json:"served_before"` // fraction of the requests from outside
	While               float64 `json:"served"`
	Worst               float64 `json:"served_worst_second"`
	After               float64 `json:"served_after"`
	WholeAgain          int     `json:"whole_again_s"` // seconds from the end of the failure until served as before; -1: not within the run
	Breaks              int     `json:"rules_broken"`
	First               string  `json:"first_break,omitempty"`
}

// graphRun is the state of a simulated graph. Service failingService fails between failFrom and failTo.
type graphRun struct {
	divided float64
	sim.Clock
	Terms
	graph            *callgraph.Graph
	nets             []*sim.Network // by called service
	sidecars         []map[int]int
	callRates        []float64 // calls per second to each service
	way              Way
	failingService   int
	draws            *rng.Source
	failFrom, failTo Micros
	begin            Micros
	callsAtFailing   []int // calls at the failing service, by second
	allCalls         []int
	began            []int
	served           []int
}

// PlayGraph simulates a graph with all its rates divided by `divided`. For each call that it gets, a service makes its own
// calls in parallel, and answers when all of them have ended; it answers with an error if any of them failed.
func PlayGraph(terms Terms, graph *callgraph.Graph, divided float64, way Way, retries bool, seed uint64) (GraphFigures, error) {
	run := &graphRun{Terms: terms, divided: divided, graph: graph, way: way, draws: rng.New(seed, "depth graph"), callRates: make([]float64, len(graph.Services))}
	run.Now = 1e6
	run.begin = run.Now
	run.failFrom = run.begin + Micros(terms.Warm)
	run.failTo = run.failFrom + Micros(terms.Failing)
	end := run.failTo + Micros(terms.Recovers)
	seconds := int((end-run.begin)/1e6) + 4
	run.callsAtFailing, run.allCalls, run.began, run.served = make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds)
	figures := GraphFigures{Way: way, Retries: retries, Fails: terms.Fails, Services: len(graph.Services), Divided: divided}
	for i, service := range graph.Services {
		figures.Servers += service.Servers()
		for _, call := range service.Calls {
			run.callRates[call.To] += float64(call.PerS) / divided
			figures.Rate += float64(call.PerS) / divided
		}
		if service.Layer == 0 { // requests from outside: the mean rate at which it calls each of its services
			run.callRates[i] = float64(graph.CallRate(i)) / float64(len(service.Calls)) / divided
		}
		if service.Layer == graph.Assumptions.Size.Depth && (figures.Failing == 0 || run.callRates[i] > run.callRates[figures.Failing]) {
			figures.Failing = i
		}
	}
	run.failingService = figures.Failing
	for i, service := range graph.Services {
		if err := run.addService(i, service, retries); err != nil {
			return figures, err
		}
		figures.Modules += len(run.nets[i].Sidecars)
	}
	for i, service := range graph.Services {
		if service.Layer == 0 {
			run.arrive(i, end)
		}
	}
	run.RunUntil(end + Micros(terms.Timeout) + 10_000)
	run.figures(&figures)
	return figures, nil
}

// addService creates the servers of a service, and the sidecars of all servers that call it.
func (r *graphRun) addService(index int, service *callgraph.Service, retries bool) error {
	network := sim.NewNetwork(&r.Clock, Micros(r.Way))
	r.nets, r.sidecars = append(r.nets, network), append(r.sidecars, map[int]int{})
	var list []sim.ListEntry
	number := 0
	for zone, count := range service.Zones {
		for range count {
			serverNumber := number
			server := network.AddServer(&sim.Server{ID: brain.ServerID(1 + number), Zone: brain.Zone(zone)})
			server.Accept = func(attempt *sim.Attempt) { r.serve(index, serverNumber, attempt) }
			list = append(list, sim.ListEntry{ID: server.ID, Zone: server.Zone, State: brain.Ready})
			number++
		}
	}
	sidecars, fetches := 0, r.Fetches
	for _, from := range service.Callers {
		sidecars += r.graph.Services[from].Servers()
	}
	if !retries {
		fetches = 1
	}
	if sidecars == 0 {
		return nil
	}
	settings := sim.Terms{Target: Micros(r.Target), Timeout: Micros(r.Timeout), Window: Micros(r.Window), Group: "all", Sidecars: sidecars,
		Fetches: fetches, ColdFrom: 0.3, Cold: 8e6, FallMultiple: 3, Fall: 1.5e6, Messages: true}.Settings()
	for _, from := range service.Callers {
		r.sidecars[index][from] = len(network.Sidecars)
		for zone, count := range r.graph.Services[from].Zones {
			for range count {
				sidecar, err := network.AddSidecar(brain.Zone(zone), r.draws.Bits(), settings)
				if err != nil {
					return err
				}
				sidecar.DeliverList(brain.SavedList, list...)
			}
		}
	}
	return nil
}

// second returns the current second of the run.
func (r *graphRun) second() int { return int((r.Now - r.begin) / 1e6) }

// arrive schedules the next request to a front service, which schedules the one after it, until end.
func (r *graphRun) arrive(front int, end Micros) {
	next := r.Now + max(1, Micros(r.draws.Exp(1e6/r.callRates[front])))
	if next >= end {
		return
	}
	r.At(next, func() {
		second := r.second()
		r.began[second]++
		r.makeCalls(front, r.draws.Below(r.graph.Services[front].Servers()), r.Now+Micros(r.Timeout), func(ok bool) {
			if ok {
				r.served[second]++
			}
		})
		r.arrive(front, end)
	})
}

// makeCalls makes the calls that a server makes for one that it got. When all have ended, it calls ended with whether all
// were served. The function that it returns cancels the calls.
func (r *graphRun) makeCalls(service, number int, deadline Micros, ended func(ok bool)) (drop func()) {
	pending, allServed := 1, true
	var drops []func()
	callEnded := func(ok bool) {
		if pending, allServed = pending-1, allServed && ok; pending == 0 {
			ended(allServed)
		}
	}
	for _, call := range r.graph.Services[service].Calls {
		times := float64(call.PerS) / r.divided / r.callRates[service]
		count := int(times)
		if r.draws.Float() < times-float64(count) {
			count++
		}
		for range count {
			pending++
			network := r.nets[call.To]
			sidecar := network.Sidecars[r.sidecars[call.To][service]+number]
			visit := sidecar.Visit(0, Micros(r.Work), 0, deadline-r.Now, nil, func(visit *sim.Visit) { callEnded(visit.Ending == sim.Delivered) })
			drops = append(drops, func() { sidecar.Disconnect(visit) })
		}
	}
	callEnded(true)
	return func() {
		for _, cancel := range drops {
			cancel()
		}
	}
}

// serve processes a call at a server: first the server's own work, then the calls that it makes.
func (r *graphRun) serve(service, number int, attempt *sim.Attempt) {
	network, second := r.nets[service], r.second()
	r.allCalls[second]++
	deadline := r.Now + attempt.Deadline - attempt.SentAt
	fails := false
	if service == r.failingService {
		r.callsAtFailing[second]++
		fails = r.Now >= r.failFrom && r.Now < r.failTo && r.draws.Float() < r.Fails
	}
	switch {
	case fails && r.way == TurnedAway:
		network.Answer(attempt, brain.Overloaded)
		return
	case fails && r.way == Timeouts:
		return
	}
	canceled, drop := false, func() {}
	attempt.OnCancel = func() {
		canceled = true
		drop()
	}
	r.After(Micros(r.Work), func() {
		switch {
		case canceled || r.Now >= deadline:
		case fails:
			network.Answer(attempt, brain.AnsweredError)
		default:
			drop = r.makeCalls(service, number, deadline, func(ok bool) {
				if ok {
					network.Answer(attempt, brain.Succeeded)
				} else {
					network.Answer(attempt, brain.AnsweredError)
				}
			})
		}
	})
}

// figures computes the measurements of a run that has ended.
func (r *graphRun) figures(figures *GraphFigures) {
	first, last, end := int((r.failFrom-r.begin)/1e6), int((r.failTo-r.begin)/1e6), int((r.failTo-r.begin+Micros(r.Recovers))/1e6)
	sum := func(of []int, from, to int) (total int) {
		for _, count := range of[from:to] {
			total += count
		}
		return total
	}
	before := func(of []int) float64 { return math.Max(ratio(sum(of, 2, first), first-2), 1e-9) }
	figures.CallsAtFailing, figures.Calls = ratio(sum(r.callsAtFailing, first, last), last-first)/before(r.callsAtFailing), ratio(sum(r.allCalls, first, last), last-first)/before(r.allCalls)
	figures.Before, figures.While, figures.After = ratio(sum(r.served, 2, first), sum(r.began, 2, first)), ratio(sum(r.served, first, last), sum(r.began, first, last)), ratio(sum(r.served, last, end), sum(r.began, last, end))
	figures.Worst, figures.WholeAgain = 1, -1
	for second := first; second < last; second++ {
		figures.CallsAtFailingWorst, figures.CallsWorst = max(figures.CallsAtFailingWorst, float64(r.callsAtFailing[second])/before(r.callsAtFailing)), max(figures.CallsWorst, float64(r.allCalls[second])/before(r.allCalls))
		figures.Worst = min(figures.Worst, ratio(r.served[second], r.began[second]))
	}
	for second := last; second < end && figures.WholeAgain < 0; second++ {
		if ratio(r.served[second], r.began[second]) >= 0.99*figures.Before {
			figures.WholeAgain = second - last
		}
	}
	for i, network := range r.nets {
		figures.Breaks += network.ViolationCount()
		if figures.First == "" && network.FirstViolation != "" {
			figures.First = fmt.Sprintf("service %d: %s", i, network.FirstViolation)
		}
	}
}

// GraphHeading is the table heading for GraphFigures.Line.
const GraphHeading = "graph: way          retries fails modules calls/s (divided by) | calls at the failing one, worst s | calls in all, worst s | served before, while (worst s), after; whole again | broken"

// Line formats the run as a table row.
func (f GraphFigures) Line() string {
	again := "not in the run"
	if f.WholeAgain >= 0 {
		again = fmt.Sprintf("%d s", f.WholeAgain)
	}
	return fmt.Sprintf("graph: %-13s%-8v%5.1f%8d%8.0f (%.0f) | %12.2f%14.2f | %12.2f%8.2f | %13.3f%7.3f (%.3f)%7.3f; %s | %d %s", f.Way, f.Retries, f.Fails, f.Modules, f.Rate, f.Divided,
		f.CallsAtFailing, f.CallsAtFailingWorst, f.Calls, f.CallsWorst, f.Before, f.While, f.Worst, f.After, again, f.Breaks, f.First)
}
