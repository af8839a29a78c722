package rollouts

// status.go: the log messages of rollout events, the rollout status in JSON and the rollout metrics.

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"

	"ledgespread/decide/membership"
	"ledgespread/decide/rollout"
)

// Version identifies a configuration in a status.
type Version struct {
	Number uint64 `json:"number"`
	Digest string `json:"digest"`
}

// versionJSON converts a version for a status; none becomes nil.
func versionJSON(version rollout.Version) *Version {
	if version.Number == 0 {
		return nil
	}
	return &Version{uint64(version.Number), FormatDigest(version.Digest)}
}

// Report is what a member has reported about the newest configuration.
type Report struct {
	Member  string `json:"member"` // empty if it is none of the live members
	Verdict string `json:"verdict"`
}

// Status is a member's view of the rollout, as `ledgespread config` commands receive it in JSON.
type Status struct {
	Name      string           `json:"name"`
	InForce   *Version         `json:"in_force"` // null: only the sidecar's own file
	Newest    *Version         `json:"newest"`   // null: no configuration is known
	OnTrial   bool             `json:"on_trial"` // the newest is active here as a trial, not in force yet
	Held      bool             `json:"held"`
	Wanted    uint64           `json:"wanted"` // a higher number that other members have; 0: none
	Contested bool             `json:"contested"`
	Other     string           `json:"other_digest,omitempty"`
	Stage     string           `json:"stage"`
	Why       string           `json:"why,omitempty"` // why the newest is refused here
	Since     int64            `json:"since_us"`      // how long the newest has been known here
	First     int              `json:"first"`
	Watch     int64            `json:"watch_us"`
	Reports   []Report         `json:"reports,omitempty"`
	Counts    map[string]int64 `json:"counts"`
}

// Status returns this sidecar's Status in JSON.
func (r *Rollouts) Status() (text []byte) {
	r.group.Update(func(now membership.Micros) {
		known := r.node.Status()
		status := Status{Name: r.terms.Name, InForce: versionJSON(known.InForce), Newest: versionJSON(known.Newest), OnTrial: known.OnTrial, Held: known.HasContent, Wanted: uint64(known.NewerNumber),
			Contested: known.Contested, Stage: known.Stage.String(), Why: known.Reason, Since: int64(now - known.Since), First: known.Policy.Canaries, Watch: int64(known.Policy.Watch),
			Counts: maps.Clone(r.counts)}
		if known.Contested {
			status.Other = FormatDigest(known.OtherDigest)
		}
		for _, report := range known.Reports {
			status.Reports = append(status.Reports, Report{string(report.Name), report.Verdict.String()})
		}
		text, _ = json.Marshal(status)
	})
	return text
}

// WriteTo writes the rollout metrics. It writes nothing before the membership node has started.
func (r *Rollouts) WriteTo(w io.Writer) (written int64, err error) {
	var counts map[string]int64
	r.group.Update(func(membership.Micros) {
		counts = maps.Clone(r.counts)
		known := r.node.Status()
		for _, event := range rollout.EventKinds { // list every event from the start, also those with a count of 0
			counts[event] += 0
		}
		counts["number_in_force"], counts["number_newest"], counts["now_on_trial"] = int64(known.InForce.Number), int64(known.Newest.Number), 0
		if known.OnTrial {
			counts["now_on_trial"] = 1
		}
	})
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		n, err := fmt.Fprintf(w, "ledgespread_rollout_%s %d\n", name, counts[name])
		if written += int64(n); err != nil {
			return written, err
		}
	}
	return written, nil
}

// OnEvent counts and logs an event.
func (r *Rollouts) OnEvent(event rollout.Event) {
	r.counts[event.Kind]++
	line := r.log.Info()
	switch event.Kind {
	case "worse", "refused", "contested", "stopped", "unfit":
		line = r.log.Warn()
	}
	line = line.Uint64("number", uint64(event.Version.Number)).Str("digest", FormatDigest(event.Version.Digest))
	if event.From != "" {
		line = line.Str("by", string(event.From))
	}
	if event.Reason != "" {
		line = line.Str("why", event.Reason)
	}
	if event.Kind == "contested" {
		line = line.Str("other_digest", FormatDigest(event.OtherDigest))
	}
	line.Msg(eventMessages[event.Kind])
}

// eventMessages are the log messages of the events.
var eventMessages = map[string]string{
	"held":       "a configuration is stored on this sidecar",
	"tries":      "drawn to try a configuration first",
	"on_trial":   "a configuration holds on trial",
	"in_force":   "a configuration is in force",
	"no_worse":   "the requests went no worse under it",
	"unsure":     "too few requests to judge the configuration by its results",
	"idle":       "drawn to try a configuration first, but without requests",
	"worse":      "requests succeeded less often under the configuration",
	"refused":    "a configuration is refused here",
	"contested":  "two configurations have one number; neither is taken",
	"everywhere": "a configuration is to hold everywhere",
	"stopped":    "a configuration goes no further",
	"unfit":      "fetched content does not match its digest",
}
