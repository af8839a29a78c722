package failover

// reports.go: estimates the state of zones from the reports of sidecars.

import (
	"maps"
	"math"
	"slices"
)

// Observation is what one sidecar measured for a zone. Loads are in work per second.
type Observation struct {
	Delivered   float64 // requests that the zone answered in time
	Rejected    float64 // requests that the zone rejected or answered late
	Unreachable float64 // fraction of the zone's servers that the sidecar found unreachable
}

// Report holds the measurements of one sidecar.
type Report struct {
	From         Reporter
	Home         Zone
	Offered      float64 // load that its clients bring
	Observations map[Zone]Observation
}

// Thresholds for judging reports.
const (
	outlierFactor        = 8.0  // an offered load above this multiple of the zone's median counts as the median
	minReporters         = 3    // minimum number of a zone's reports for that check
	overloadThreshold    = 0.05 // fraction of rejected or late requests above which a zone must not get more
	unreachableThreshold = 0.5  // median fraction of unreachable servers above which a home zone can't reach a zone
)

// receivedReport is a report with its time of arrival.
type receivedReport struct {
	Report
	receivedAt Micros
}

// ReportStore keeps the last report of each sidecar until it expires.
type ReportStore struct {
	config  Config
	reports map[Reporter]receivedReport
	Invalid int // number of reports rejected because of invalid values
}

// NewReportStore returns an empty ReportStore.
func NewReportStore(config Config) *ReportStore {
	return &ReportStore{config: config, reports: map[Reporter]receivedReport{}}
}

// Add stores a report and returns false if a value is negative, infinite, NaN or otherwise out of range.
func (b *ReportStore) Add(now Micros, report Report) bool {
	valid := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	ok := valid(report.Offered) && report.From != ""
	for _, s := range report.Observations {
		ok = ok && valid(s.Delivered) && valid(s.Rejected) && s.Unreachable >= 0 && s.Unreachable <= 1
	}
	if !ok {
		b.Invalid++
		return false
	}
	b.reports[report.From] = receivedReport{report, now}
	return true
}

// States estimates the state of all zones. listed is the capacity of each zone according to the server list.
// No single report has much influence: an offered load far above the median counts as the median, and
// observations count by their median. A zone's own sidecars decide which fraction of its servers is
// available. If the sidecars of other zones can't reach servers that these can, the network path is broken,
// and only the zones behind it stop using the zone.
func (b *ReportStore) States(now Micros, listed map[Zone]float64) (out []ZoneState) {
	byHome := map[Zone][]Report{}
	// A fixed order, since the rounding of the sums depends on it.
	for _, from := range slices.Sorted(maps.Keys(b.reports)) {
		received := b.reports[from]
		if now-received.receivedAt > b.config.ReportLifetime {
			delete(b.reports, from)
			continue
		}
		byHome[received.Home] = append(byHome[received.Home], received.Report)
	}
	zones := slices.Sorted(maps.Keys(listed))
	for z := range byHome {
		if _, there := listed[z]; !there {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	for _, zone := range zones {
		state := ZoneState{Zone: zone, Capacity: listed[zone]}
		for _, r := range byHome[zone] {
			state.Offered += r.Offered
		}
		if offers := sortedValues(byHome[zone], func(r Report) (float64, bool) { return r.Offered, true }); len(offers) >= minReporters {
			state.Offered = 0
			medianOffer := median(offers)
			for _, o := range offers {
				if o > outlierFactor*medianOffer {
					o = medianOffer
				}
				state.Offered += o
			}
		}
		unreachable := func(home Zone) (float64, bool) {
			seen := sortedValues(byHome[home], func(r Report) (float64, bool) { v, there := r.Observations[zone]; return v.Unreachable, there })
			return median(seen), len(seen) > 0
		}
		ownView, known := unreachable(zone)
		if known {
			state.Capacity *= 1 - ownView
		}
		var others []float64
		for _, home := range zones {
			if home == zone {
				continue
			}
			if g, seen := unreachable(home); seen {
				if others = append(others, g); g > unreachableThreshold {
					state.UnreachableFrom = append(state.UnreachableFrom, home)
				}
			}
		}
		if !known && len(others) > 0 { // without reports from the zone itself, the median of the other zones counts
			slices.Sort(others)
			state.Capacity *= 1 - median(others)
		}
		rejected := sortedValues(slices.Concat(slices.Collect(maps.Values(byHome))...), func(r Report) (float64, bool) {
			v, there := r.Observations[zone]
			return v.Rejected / max(v.Rejected+v.Delivered, 1e-9), there && v.Rejected+v.Delivered > 0
		})
		state.Overloaded = median(rejected) > overloadThreshold
		out = append(out, state)
	}
	return out
}

// sortedValues returns the values that value extracts from the reports, sorted.
func sortedValues(reports []Report, value func(Report) (float64, bool)) (out []float64) {
	for _, r := range reports {
		if f, there := value(r); there {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// median returns the median of sorted values, the lower of two middle ones, or 0 if there are none.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)/2]
}
