package failover

import (
	"maps"
	"math"
	"slices"
)

// Sight is what one sidecar sees of a zone, in work a second.
type Sight struct {
	Delivered float64 // of its requests, by that zone
	Crowded   float64 // turned away by it, or late
	Gone      float64 // part of its servers that it found gone
}

// Report is what one sidecar tells.
type Report struct {
	From    Reporter
	Home    Zone
	Offered float64 // that its clients brought
	Of      map[Zone]Sight
}

// What holds whatever is set.
const (
	farOff   = 8.0  // one that tells over so many times the median of its zone counts as the median
	aFew     = 3    // reporters of a zone from which on that is judged
	strained = 0.05 // part of what a zone was given, crowded: it must not get more
	lostPart = 0.5  // part of its servers gone, as most of a zone's sidecars see it: they don't reach it
)

type heard struct {
	Report
	at Micros
}

// Book keeps the last report of each sidecar, while it is fresh.
type Book struct {
	terms   Terms
	reports map[Reporter]heard
	Refused int // reports that can't be true
}

func NewBook(t Terms) *Book { return &Book{terms: t, reports: map[Reporter]heard{}} }

// Heard takes a report. This prevents figures that are none.
func (b *Book) Heard(now Micros, r Report) bool {
	fine := func(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }
	ok := fine(r.Offered) && r.From != ""
	for _, s := range r.Of {
		ok = ok && fine(s.Delivered) && fine(s.Crowded) && s.Gone >= 0 && s.Gone <= 1
	}
	if !ok {
		b.Refused++
		return false
	}
	b.reports[r.From] = heard{r, now}
	return true
}

// States are what is believed of zones, given what the list says that each can carry. A report by itself moves nothing much: what a zone's
// sidecars offer counts as far as it is near what most of them do, and what they see is the median. Whether a zone lives, its own sidecars say; where
// others see it gone that they see well, the way is bad, and only those who can't reach it leave it.
func (b *Book) States(now Micros, listed map[Zone]float64) (out []State) {
	by := map[Zone][]Report{}
	for _, from := range slices.Sorted(maps.Keys(b.reports)) { // in an order, or sums would differ in their last digits
		h := b.reports[from]
		if now-h.at > b.terms.Fresh {
			delete(b.reports, from)
			continue
		}
		by[h.Home] = append(by[h.Home], h.Report)
	}
	zones := slices.Sorted(maps.Keys(listed))
	for z := range by {
		if _, there := listed[z]; !there {
			zones = append(zones, z)
		}
	}
	slices.Sort(zones)
	for _, z := range zones {
		s := State{Zone: z, Carries: listed[z]}
		for _, r := range by[z] {
			s.Offered += r.Offered
		}
		if offers := figures(by[z], func(r Report) (float64, bool) { return r.Offered, true }); len(offers) >= aFew {
			s.Offered = 0
			usual := median(offers)
			for _, o := range offers {
				if o > farOff*usual {
					o = usual
				}
				s.Offered += o
			}
		}
		gone := func(home Zone) (float64, bool) {
			seen := figures(by[home], func(r Report) (float64, bool) { v, there := r.Of[z]; return v.Gone, there })
			return median(seen), len(seen) > 0
		}
		own, known := gone(z)
		if known {
			s.Carries *= 1 - own
		}
		var others []float64
		for _, home := range zones {
			if home == z {
				continue
			}
			if g, seen := gone(home); seen {
				if others = append(others, g); g > lostPart {
					s.Cut = append(s.Cut, home)
				}
			}
		}
		if !known && len(others) > 0 { // none of its own tells anything: what most others see
			slices.Sort(others)
			s.Carries *= 1 - median(others)
		}
		crowded := figures(slices.Concat(slices.Collect(maps.Values(by))...), func(r Report) (float64, bool) {
			v, there := r.Of[z]
			return v.Crowded / max(v.Crowded+v.Delivered, 1e-9), there && v.Crowded+v.Delivered > 0
		})
		s.Strains = median(crowded) > strained
		out = append(out, s)
	}
	return out
}

func figures(of []Report, figure func(Report) (float64, bool)) (out []float64) {
	for _, r := range of {
		if f, there := figure(r); there {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}

// median is that of sorted figures, the lower one of two; none: 0.
func median(sorted []float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[(len(sorted)-1)/2]
}
