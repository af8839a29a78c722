// Package depth simulates chains and graphs of services of which one fails, with the sidecar's own decision code
// (brain.Balancer) at each hop. It measures how far retries multiply the calls: how many reach the last hop for each
// call at the top, and at which hop retries are denied. Time is simulated.
package depth

import (
	_ "embed"
	"fmt"
	"math"

	"ledgespread/brain"
	"ledgespread/lab/rng"
	"ledgespread/lab/sim"
	"ledgespread/strict"
)

type Micros = sim.Micros

// Span is a duration, written in files with its unit.
type Span Micros

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Span) UnmarshalText(text []byte) error {
	x, err := strict.ParseMicros(text)
	*s = Span(x)
	return err
}

// Rate is a number per second, written in files with its unit.
type Rate float64

// UnmarshalText implements encoding.TextUnmarshaler.
func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.ParsePerSecond(text)
	*r = Rate(x)
	return err
}

// Terms holds the parameters of a run; terms.toml describes each. Way is the one-way network delay. The last service
// works for the time Warm, fails with probability Fails for Failing, and works again for Recovers.
type Terms struct {
	Depth        int     `toml:"depth"`
	Servers      int     `toml:"servers"`
	Rate         Rate    `toml:"rate"`
	Work         Span    `toml:"work"`
	Way          Span    `toml:"way"`
	Fails        float64 `toml:"fails"`
	Warm         Span    `toml:"warm"`
	Failing      Span    `toml:"failing"`
	Recovers     Span    `toml:"after"`
	Target       Span    `toml:"target"`
	Timeout      Span    `toml:"timeout"`
	Window       Span    `toml:"window"`
	Fetches      int     `toml:"fetches"`
	PassesBounce bool    `toml:"passes_bounce"`
}

//go:embed terms.toml
var defaultTerms []byte

// DefaultTerms returns the default parameters, from the embedded file.
func DefaultTerms() Terms {
	terms, err := Read("terms.toml", defaultTerms)
	if err != nil {
		panic(err) // can't happen: the file is embedded, and a test reads it
	}
	return terms
}

// Read parses parameters from text; those left out have their defaults. An error names file, line and name.
func Read(file string, text []byte) (terms Terms, err error) {
	if err = strict.Decode("terms.toml", defaultTerms, &terms); err != nil {
		return terms, err
	}
	if err = strict.Decode(file, text, &terms); err != nil {
		return terms, err
	}
	for _, check := range []struct {
		invalid   bool
		name, why string
	}{
		{terms.Depth < 1 || terms.Depth > 100, "depth", "must lie between 1 and 100"},
		{terms.Servers < 1 || terms.Servers*terms.Depth > 20_000, "servers", "must be at least 1, and 20000 at most over all hops"},
		{terms.Rate <= 0 || terms.Rate > 1e6, "rate", "must be over 0/s, and 1000000/s at most"},
		{terms.Work <= 0, "work", "must be over 0s"},
		{terms.Way <= 0, "way", "must be over 0s"},
		{!(terms.Fails >= 0) || terms.Fails > 1, "fails", "must lie between 0 and 1"},
		{terms.Failing < 1e6, "failing", "must be a second at least"},
		{terms.Target <= 0 || terms.Target > terms.Timeout, "target", "must be over 0s, and no more than the timeout"},
		{terms.Fetches < 1 || terms.Fetches > 255, "fetches", "must lie between 1 and 255"},
	} {
		if check.invalid {
			return terms, (&strict.FieldError{Name: check.name, Reason: check.why}).WithPosition(file, text)
		}
	}
	return terms, nil
}

// Way is the way in which the last service fails.
type Way string

const (
	Errors     Way = "errors"      // it answers with an error, so the call may have had an effect
	TurnedAway Way = "turned away" // it rejects the call without processing it
	Timeouts   Way = "timeouts"    // it accepts the call and never answers
)

// Ways lists all ways to fail.
var Ways = []Way{Errors, TurnedAway, Timeouts}

// Hop holds what the callers' sidecars counted for a hop during the failure. Visits and Retries are per call at the top.
type Hop struct {
	Hop       int     `json:"hop"`
	Visits    float64 `json:"visits"`
	Retries   float64 `json:"retries"`
	Retried   float64 `json:"retries_for_each_visit"`
	Denied    float64 `json:"denied_for_each_visit"` // retries denied by the retry bucket
	Late      float64 `json:"late_for_each_visit"`   // too little time left to wait, or the deadline passed
	Turned    float64 `json:"turned_away_for_each_visit"`
	Success   float64 `json:"success"`
	LeftMean  float64 `json:"left_mean_ms"` // time left until the client's deadline, as the hop received it
	LeftLeast float64 `json:"left_least_ms"`
	LeftMost  float64 `json:"left_most_ms"`
}

// Figures holds the measurements of a run of a chain.
type Figures struct {
	About         string        `json:"about,omitempty"` // the parameter that the sweep varied
	Depth         int           `json:"depth"`
	TargetMS      float64       `json:"target_ms"`
	Way           Way           `json:"way"`
	Effect        string        `json:"effect"`
	Retries       bool          `json:"retries"`
	Fails         float64       `json:"fails"`
	VisitsPerS    float64       `json:"visits_per_s"` // per sidecar at the top
	Sidecars      int           `json:"sidecars"`     // at all hops
	Top           int           `json:"top"`          // calls at the top while the last service failed
	Reach         float64       `json:"calls_at_last"`
	Worst         float64       `json:"calls_at_last_worst_second"`
	WorstFetch    float64       `json:"retries_worst_second"` // maximum retries at all hops in a second, per call at the top
	Steady        float64       `json:"calls_at_last_steady"` // in the second half of the failure
	Success       float64       `json:"success"`
	SuccessSteady float64       `json:"success_steady"` // in the second half of the failure
	WorstServed   float64       `json:"success_worst_second"`
	WholeAgain    int           `json:"whole_again_s"` // seconds from the end of the failure to the first second with 99% served; -1: not within the run
	Before        float64       `json:"success_before"`
	Recovered     float64       `json:"success_after"`
	Hops          []Hop         `json:"hops"`
	Breaks        int           `json:"rules_broken"`
	FirstBreak    string        `json:"first_break,omitempty"`
	Arithmetic    ExpectedCalls `json:"arithmetic"`
	BySecond      []int         `json:"calls_at_last_by_second"`
	TopBySecond   []int         `json:"top_by_second"`
	OfThese       []int         `json:"of_these_delivered"`
}

// chain is the state of a simulated chain. Its last service fails between failFrom and failTo.
type chain struct {
	sim.Clock
	Terms
	way              Way
	effect           brain.ClassID
	nets             []*sim.Network // the network and sidecars of each hop
	draws            *rng.Source
	failFrom, failTo Micros
	hops             []hopTally
	top              [3]topCalls // calls at the top before, during and after the failure
	steady           [2]int      // calls at the top and at the last hop in the second half of the failure
	atLast           []int       // calls at the last hop, by second
	atTop            []int
	delivered        []int
	retries          []int
}

// topCalls counts calls at the top.
type topCalls struct{ began, delivered int }

// hopTally counts a hop's calls during the failure. Left, minLeft and maxLeft are the sum, minimum and maximum of the
// time left; counters holds the sidecars' counters.
type hopTally struct {
	visits, delivered int
	left              float64
	minLeft, maxLeft  Micros
	retries           int
	counters          map[string]int
}

// Play simulates one chain. Without retries, a sidecar makes a single attempt per request.
func Play(terms Terms, way Way, effect int, retries bool, seed uint64) (Figures, error) {
	run := &chain{Terms: terms, way: way, effect: brain.ClassID(effect), draws: rng.New(seed, "depth")}
	run.Now = 1e6
	begin := run.Now
	run.failFrom = begin + Micros(terms.Warm)
	run.failTo = run.failFrom + Micros(terms.Failing)
	end := run.failTo + Micros(terms.Recovers)
	seconds := int((end-begin)/1e6) + 3
	run.atLast, run.atTop, run.delivered, run.retries = make([]int, seconds), make([]int, seconds), make([]int, seconds), make([]int, seconds)
	fetches := terms.Fetches
	if !retries {
		fetches = 1
	}
	settings := sim.Terms{Target: Micros(terms.Target), Timeout: Micros(terms.Timeout), Window: Micros(terms.Window), Group: "all", Sidecars: terms.Servers,
		Fetches: fetches, ColdFrom: 0.3, Cold: 8e6, FallMultiple: 3, Fall: 1.5e6, Messages: true}.Settings()
	for hop := range terms.Depth {
		network := sim.NewNetwork(&run.Clock, Micros(terms.Way))
		run.nets, run.hops = append(run.nets, network), append(run.hops, hopTally{minLeft: math.MaxInt64})
		var list []sim.ListEntry
		for i := range terms.Servers {
			server := network.AddServer(&sim.Server{ID: brain.ServerID(1 + i)})
			server.Accept = func(attempt *sim.Attempt) { run.serve(hop, i, attempt) }
			list = append(list, sim.ListEntry{ID: server.ID, State: brain.Ready})
		}
		for range terms.Servers {
			sidecar, err := network.AddSidecar(0, run.draws.Bits(), settings)
			if err != nil {
				return Figures{}, err
			}
			sidecar.Hooks.AttemptSent = func(attempt *sim.Attempt) {
				if attempt.Index > 0 && run.failing() {
					run.hops[hop].retries++
				}
				if attempt.Index > 0 {
					run.retries[int((run.Now-begin)/1e6)]++
				}
			}
			sidecar.DeliverList(brain.SavedList, list...)
		}
	}
	run.At(run.failFrom, func() { run.saveCounters(false) })
	run.At(run.failTo, func() { run.saveCounters(true) })
	run.arrive(begin, end)
	run.RunUntil(end + Micros(terms.Timeout) + 10_000)
	figures := Figures{Way: way, Effect: sim.Effects[effect], Retries: retries, Fails: terms.Fails, VisitsPerS: float64(terms.Rate) / float64(terms.Servers),
		Sidecars: terms.Servers * terms.Depth, Arithmetic: ComputeExpected(terms.Depth, terms.Fails, terms.Fetches)}
	run.figures(&figures, begin)
	return figures, nil
}

// failing reports whether the last service fails now.
func (c *chain) failing() bool { return c.Now >= c.failFrom && c.Now < c.failTo }

// phase returns the phase that a time belongs to: 0 before, 1 during and 2 after the failure.
func (c *chain) phase(at Micros) int {
	switch {
	case at < c.failFrom:
		return 0
	case at < c.failTo:
		return 1
	}
	return 2
}

// arrive schedules the next call at the top, which schedules the one after it, until end.
func (c *chain) arrive(begin, end Micros) {
	next := c.Now + max(1, Micros(c.draws.Exp(1e6/float64(c.Rate))))
	if next >= end {
		return
	}
	c.At(next, func() {
		second := int((c.Now - begin) / 1e6)
		c.atTop[second]++
		top, half := &c.top[c.phase(c.Now)], c.failing() && c.Now >= (c.failFrom+c.failTo)/2
		top.began++
		if half {
			c.steady[0]++
		}
		c.call(0, c.draws.Below(c.Servers), Micros(c.Timeout), func(e sim.Ending) {
			if e == sim.Delivered {
				top.delivered++
				c.delivered[second]++
			}
		})
		c.arrive(begin, end)
	})
}

// call makes a call at a hop through its sidecar sidecarIndex; left is the time until the deadline. The function
// that it returns cancels the call.
func (c *chain) call(hop, sidecarIndex int, left Micros, ended func(sim.Ending)) (drop func()) {
	tally, counted := &c.hops[hop], c.failing()
	if counted {
		tally.visits++
		tally.left += float64(left)
		tally.minLeft, tally.maxLeft = min(tally.minLeft, left), max(tally.maxLeft, left)
	}
	sidecar := c.nets[hop].Sidecars[sidecarIndex]
	visit := sidecar.Visit(c.effect, Micros(c.Work), 0, left, nil, func(visit *sim.Visit) {
		if counted && visit.Ending == sim.Delivered {
			tally.delivered++
		}
		ended(visit.Ending)
	})
	return func() { sidecar.Disconnect(visit) }
}

// serve processes a call at a server: it calls the next hop, or answers if it is the last one.
func (c *chain) serve(hop, number int, attempt *sim.Attempt) {
	network := c.nets[hop]
	// The server counts the time left from the call's arrival. Only this is passed down, not the attempts made above.
	deadline := c.Now + attempt.Deadline - attempt.SentAt
	answer := func(result brain.Result) { network.Answer(attempt, result) }
	if hop == c.Depth-1 {
		c.atLast[int((c.Now-1e6)/1e6)]++
		if c.failing() && c.Now >= (c.failFrom+c.failTo)/2 {
			c.steady[1]++
		}
		fails := c.failing() && c.draws.Float() < c.Fails
		switch {
		case fails && c.way == TurnedAway:
			answer(brain.Overloaded)
		case fails && c.way == Timeouts:
		case fails:
			c.After(Micros(c.Work), func() { answer(brain.AnsweredError) })
		default:
			c.After(Micros(c.Work), func() { answer(brain.Succeeded) })
		}
		return
	}
	canceled, drop := false, func() {}
	attempt.OnCancel = func() { // a server cancels its own call when its caller has cancelled
		canceled = true
		drop()
	}
	c.After(Micros(c.Work), func() {
		if canceled || c.Now >= deadline {
			return
		}
		drop = c.call(hop+1, number, deadline-c.Now, func(e sim.Ending) {
			switch {
			case e == sim.Delivered:
				answer(brain.Succeeded)
			case e == sim.Rejected && c.PassesBounce:
				answer(brain.Overloaded)
			default:
				answer(brain.AnsweredError)
			}
		})
	})
}

// saveCounters saves the sums of the sidecars' counters at the start of the failure, and their increase at its end.
func (c *chain) saveCounters(end bool) {
	for hop := range c.hops {
		sum := map[string]int{}
		for _, sidecar := range c.nets[hop].Sidecars {
			for why, n := range sidecar.B.Counters() {
				sum[why] += n
			}
		}
		if end {
			for why, n := range c.hops[hop].counters {
				sum[why] -= n
			}
		}
		c.hops[hop].counters = sum
	}
}

// ratio returns part/whole, or part if whole is 0.
func ratio(part, whole int) float64 { return float64(part) / math.Max(float64(whole), 1) }

// figures computes the measurements of a run that has ended.
func (c *chain) figures(figures *Figures, begin Micros) {
	figures.Top = c.top[1].began
	figures.Before, figures.Success, figures.Recovered = ratio(c.top[0].delivered, c.top[0].began), ratio(c.top[1].delivered, c.top[1].began), ratio(c.top[2].delivered, c.top[2].began)
	figures.Steady = ratio(c.steady[1], c.steady[0])
	figures.WorstServed, figures.WholeAgain = 1, -1
	figures.BySecond, figures.TopBySecond, figures.OfThese = c.atLast, c.atTop, c.delivered
	first, last, reached := int((c.failFrom-begin)/1e6), int((c.failTo-begin)/1e6), 0
	mean, half := ratio(figures.Top, last-first), [2]int{}
	for second := last; second < last+int(c.Recovers/1e6); second++ {
		if figures.WholeAgain < 0 && ratio(c.delivered[second], c.atTop[second]) >= 0.99 {
			figures.WholeAgain = second - last
		}
	}
	for second := first; second < last; second++ {
		reached += c.atLast[second]
		figures.WorstServed = min(figures.WorstServed, ratio(c.delivered[second], c.atTop[second]))
		if second >= (first+last)/2 {
			half[0], half[1] = half[0]+c.delivered[second], half[1]+c.atTop[second]
		}
		// Divides by the calls at the top in this second and the one before, whose calls may reach the last hop in this one.
		// With this second alone, random variation of the arrivals would look like retries.
		figures.Worst = max(figures.Worst, 2*ratio(c.atLast[second], c.atTop[second]+c.atTop[max(second-1, 0)]))
		figures.WorstFetch = max(figures.WorstFetch, float64(c.retries[second])/mean)
	}
	figures.Reach, figures.SuccessSteady = ratio(reached, figures.Top), ratio(half[0], half[1])
	for hop, tally := range c.hops {
		network := c.nets[hop]
		figures.Breaks += network.ViolationCount()
		if figures.FirstBreak == "" && network.FirstViolation != "" {
			figures.FirstBreak = fmt.Sprintf("hop %d: %s", hop+1, network.FirstViolation)
		}
		figures.Hops = append(figures.Hops, Hop{Hop: hop + 1, Visits: ratio(tally.visits, figures.Top), Retries: ratio(tally.retries, figures.Top), Retried: ratio(tally.retries, tally.visits),
			Denied: ratio(tally.counters["turned_denied"], tally.visits), Late: ratio(tally.counters["turned_late"]+tally.counters["ended_late"], tally.visits),
			Turned:  ratio(tally.counters["turned_crowded"]+tally.counters["turned_no_server"], tally.visits),
			Success: ratio(tally.delivered, tally.visits), LeftMean: tally.left / 1000 / math.Max(float64(tally.visits), 1), LeftLeast: float64(tally.minLeft) / 1000, LeftMost: float64(tally.maxLeft) / 1000})
	}
}
