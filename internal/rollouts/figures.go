package rollouts

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
)

// Version is one in a status.
type Version struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

func spelt(v rollout.Version) *Version {
	if v.Number == 0 {
		return nil
	}
	return &Version{uint64(v.Number), Spell(v.Digest)}
}

// Report is a member's word of the newest.
type Report struct {
	Member  string `json:"member"` // empty: none of those that live
	Verdict string `json:"verdict"`
}

// Status is what a member knows.
type Status struct {
	Name      string           `json:"name"`
	InForce   *Version         `json:"in_force"` // null: the file alone
	Newest    *Version         `json:"newest"`   // null: none was heard of
	OnTrial   bool             `json:"on_trial"` // the newest holds here, and is not in force yet
	Held      bool             `json:"held"`
	Wanted    uint64           `json:"wanted"` // a higher number that others hold; 0: none
	Contested bool             `json:"contested"`
	Other     string           `json:"other_digest,omitempty"`
	Stage     string           `json:"stage"`
	Why       string           `json:"why,omitempty"` // it is refused here
	Since     int64            `json:"since_us"`      // the newest is known here for so long
	First     int              `json:"first"`
	Watch     int64            `json:"watch_us"`
	Reports   []Report         `json:"reports,omitempty"`
	Counts    map[string]int64 `json:"counts"`
}

// Status is what this sidecar knows, in JSON.
func (r *Rollouts) Status() (text []byte) {
	r.group.Turn(func(now membership.Micros) {
		s := r.node.Status()
		out := Status{Name: r.terms.Name, InForce: spelt(s.InForce), Newest: spelt(s.Newest), OnTrial: s.OnTrial, Held: s.Held, Wanted: uint64(s.Wanted),
			Contested: s.Contested, Stage: s.Stage.String(), Why: s.Why, Since: int64(now - s.Since), First: s.Path.First, Watch: int64(s.Path.Watch),
			Counts: maps.Clone(r.count)}
		if s.Contested {
			out.Other = Spell(s.Other)
		}
		for _, x := range s.Reports {
			out.Reports = append(out.Reports, Report{string(x.Name), x.Verdict.String()})
		}
		text, _ = json.Marshal(out)
	})
	return text
}

// WriteTo prints the counters behind membership's.
func (r *Rollouts) WriteTo(w io.Writer) (written int64, err error) {
	var counts map[string]int64
	r.group.Turn(func(membership.Micros) {
		counts = maps.Clone(r.count)
		s := r.node.Status()
		for _, what := range rollout.Events { // all stand there from the start
			counts[what] += 0
		}
		counts["number_in_force"], counts["number_newest"], counts["now_on_trial"] = int64(s.InForce.Number), int64(s.Newest.Number), 0
		if s.OnTrial {
			counts["now_on_trial"] = 1
		}
	})
	for _, name := range slices.Sorted(maps.Keys(counts)) { // none, before it has begun
		n, err := fmt.Fprintf(w, "ledgespread_rollout_%s %d\n", name, counts[name])
		if written += int64(n); err != nil {
			return written, err
		}
	}
	return written, nil
}
