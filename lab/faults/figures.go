package faults

// figures.go: the measurements of a run.

import (
	"fmt"
	"math"
)

// Cold describes the load of the servers that started during the run, as the servers recorded it.
type Cold struct {
	Servers int     `json:"servers"`
	Allowed float64 `json:"allowed"` // visits of mean work allowed in a window from the start of the server (N)
	// Worst is the work of the worst window in visits of mean work, as a fraction of N + 2 sqrt(N) + 2. Above 1 the
	// server is overloaded.
	Worst        float64 `json:"worst_window"`
	WorstKnown   float64 `json:"worst_window_told"`   // only windows in which over two thirds of the visits came from sidecars that had learned of the start
	Falls        int     `json:"falls"`               // servers overloaded in such a window
	FallsUnknown int     `json:"falls_untold"`        // servers overloaded in other windows only
	Used         float64 `json:"used"`                // mean fraction of its budget that a server received while cold
	UsedMin      float64 `json:"used_least"`          // lowest of any server
	UsedMax      float64 `json:"used_most"`           // highest of any server
	OfWarm       float64 `json:"of_a_warm_ones_work"` // work received, as a fraction of a warm server's
}

// Figures holds the measurements of a run.
type Figures struct {
	Kind             Kind           `json:"kind"`
	Shape            string         `json:"shape"`
	Sidecars         int            `json:"sidecars"`
	Servers          int            `json:"servers"`
	Load             float64        `json:"load"`
	HighLoad         float64        `json:"high_load"`         // load from which Name marks the run as one of high load
	Named            int            `json:"sidecars_named"`    // number of sidecars that started first, which their settings state; later ones' state the total
	VisitsPerS       float64        `json:"visits_per_s"`      // mean of a sidecar
	MaxVisitsPerS    float64        `json:"visits_per_s_most"` // of the most loaded sidecar
	Seconds          float64        `json:"seconds"`
	Factor           float64        `json:"factor,omitempty"`  // by which a day was shortened
	Changes          int            `json:"changes,omitempty"` // configuration changes, each applied by each running sidecar that a later one had not reached first
	Visits           int            `json:"visits"`
	Delivered        float64        `json:"delivered"`
	WorstSecond      float64        `json:"delivered_worst_second"`
	InTarget         float64        `json:"in_target"`
	Lost             int            `json:"lost_with_sidecar"` // visits whose sidecar was killed
	Rejected         map[string]int `json:"turned"`            // the modules' counters of visits not served, by reason
	Retries          float64        `json:"retries_a_visit"`
	WorstRetries     float64        `json:"retries_a_visit_worst_second"`
	MessagesOut      float64        `json:"messages_out_per_s"` // mean of a sidecar before the fault
	WorstMessagesOut float64        `json:"messages_out_per_s_worst_second"`
	WorstMessagesIn  float64        `json:"messages_in_per_s_worst_second_most_loaded"`
	Bound            float64        `json:"bound_bytes_per_s,omitempty"`
	NoMessages       bool           `json:"mute,omitempty"`
	Bytes            float64        `json:"bytes_per_s"`                          // mean of a sidecar, in and out, over the whole run
	WorstBytes       float64        `json:"bytes_per_s_worst_second_most_loaded"` // of one sidecar, in and out
	P50              float64        `json:"p50_us"`                               // latency of delivered visits, from their start
	P99              float64        `json:"p99_us"`
	Cold             Cold           `json:"cold"`
	Broken           [5]int         `json:"rules_broken"` // violations by rule; for rule 4 it is Cold.Falls
	First            string         `json:"first_break,omitempty"`
}

// fraction returns of / all, or of itself if all is 0.
func fraction(of, all int) float64 { return float64(of) / math.Max(float64(all), 1) }

// figures computes the measurements at the end of a run: rate is that of all visits per second, maxShare the highest share
// of a sidecar, named the number of sidecars that the settings of the first ones state.
func (f *fleet) figures(rate, maxShare float64, end Micros, named int) Figures {
	sidecars := float64(len(f.net.Sidecars))
	figures := Figures{Kind: f.run.Kind, Shape: "service", Sidecars: len(f.net.Sidecars), Servers: f.shape.Servers, Load: f.shape.Load, HighLoad: f.LoadHigh, Named: named, VisitsPerS: rate / sidecars,
		MaxVisitsPerS: rate * maxShare, Seconds: float64(end-f.begin) / 1e6, Visits: f.visits, Delivered: fraction(f.delivered, f.visits), InTarget: fraction(f.inTime, f.visits),
		Lost: f.lostVisits, Rejected: map[string]int{}, WorstSecond: 1, Broken: f.net.Violations, First: f.net.FirstViolation}
	if f.run.Pool {
		figures.Shape = "pool"
	}
	if f.run.Kind == Day || f.run.Kind == Changes {
		figures.Factor = 86400e6 / float64(f.Times.Day)
	}
	retries := 0
	for second := 1; second < int((end-f.begin)/1e6); second++ { // the sidecars still learn during the first second
		figures.WorstSecond = min(figures.WorstSecond, fraction(f.deliveredBySecond[second], f.visitsBySecond[second]))
		figures.WorstRetries = max(figures.WorstRetries, fraction(f.retriesBySecond[second], f.visitsBySecond[second]))
		retries += f.retriesBySecond[second]
		figures.WorstMessagesOut = max(figures.WorstMessagesOut, float64(f.sentBySecond[second])/sidecars)
		figures.WorstMessagesIn = max(figures.WorstMessagesIn, float64(f.maxReceivedBySecond[second]))
		figures.WorstBytes = max(figures.WorstBytes, float64(f.maxBytesBySecond[second]))
		if second < int(f.Times.Warm)/1e6 {
			figures.MessagesOut += float64(f.sentBySecond[second]) / sidecars / float64(int(f.Times.Warm)/1e6-1)
		}
	}
	figures.Retries = fraction(retries, f.visits)
	for _, all := range f.bytesBefore {
		figures.Bytes += float64(all) / sidecars / figures.Seconds
	}
	figures.Bound, figures.NoMessages = f.run.Bound, f.run.NoMessages
	figures.P50, figures.P99 = float64(f.latencies.ValueAtQuantile(50)), float64(f.latencies.ValueAtQuantile(99))
	for _, sidecar := range f.net.Sidecars {
		for why, count := range sidecar.B.Counters() {
			figures.Rejected[why] += count
		}
	}
	figures.Changes = f.configurationChanges
	figures.Cold = f.cold()
	figures.Broken[4] = figures.Cold.Falls
	if figures.First == "" && figures.Cold.Falls > 0 {
		figures.First = fmt.Sprintf("rule 4: a window of %.2f times what is allowed", figures.Cold.WorstKnown)
	}
	return figures
}

// cold checks rule 4 by the recorded arrivals, in each window that begins with an arrival at a cold server.
func (f *fleet) cold() (result Cold) {
	settings := f.Settings
	allowed := func(since Micros) float64 { // visits of mean work in a window that begins so long after the start
		return settings.FallMultiple * min(1, settings.ColdFrom+(1-settings.ColdFrom)*float64(since)/float64(settings.Cold)) *
			float64(settings.Fall) / float64(f.shape.Work)
	}
	result.Allowed, result.UsedMin = allowed(0), math.Inf(1)
	var used, ofWarm float64
	for _, server := range f.machines {
		if server.startedAt != 0 {
			server.earlier = append(server.earlier, coldProcess{server.startedAt,
				min(f.Now, server.startedAt+Micros(settings.Cold)), server.arrivals})
		}
		for _, process := range server.earlier {
			if process.end-process.start < Micros(settings.Fall) {
				continue // ended before a full window had passed
			}
			result.Servers++
			worst, worstTold := f.worstWindows(process, allowed)
			result.Worst, result.WorstKnown = max(result.Worst, worst), max(result.WorstKnown, worstTold)
			if worstTold > 1 {
				result.Falls++
			} else if worst > 1 {
				result.FallsUnknown++
			}
			got, budget := 0.0, 0.0
			for _, arrival := range process.arrivals {
				got += arrival.work
			}
			for at := process.start; at < process.end; at += 10_000 {
				budget += allowed(at-process.start) * 10_000 / float64(settings.Fall)
			}
			used, result.UsedMin = used+got/budget, min(result.UsedMin, got/budget)
			result.UsedMax = max(result.UsedMax, got/budget)
			ofWarm += got / (f.shape.Load * float64(process.end-process.start) / float64(f.shape.Work))
		}
	}
	if result.Servers == 0 {
		result.UsedMin = 0
		return result
	}
	result.Used, result.OfWarm = used/float64(result.Servers), ofWarm/float64(result.Servers)
	return result
}

// worstWindows returns the load of the worst window of a process, and of the worst one in which over two
// thirds of the arrivals came from sidecars that had learned of the start. Both are fractions of the limit.
func (f *fleet) worstWindows(process coldProcess, allowed func(Micros) float64) (worst, worstKnown float64) {
	next, sum, informed, count := 0, 0.0, 0, 0
	for _, first := range process.arrivals {
		for ; next < len(process.arrivals) && process.arrivals[next].at < first.at+Micros(f.Settings.Fall); next++ {
			sum, count = sum+process.arrivals[next].work, count+1
			if process.arrivals[next].knewStart {
				informed++
			}
		}
		expected := allowed(first.at - process.start)
		load := sum / (expected + 2*math.Sqrt(expected) + 2)
		if worst = max(worst, load); 3*informed > 2*count {
			worstKnown = max(worstKnown, load)
		}
		sum, count = sum-first.work, count-1
		if first.knewStart {
			informed--
		}
	}
	return worst, worstKnown
}
