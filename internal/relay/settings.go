package relay

import (
	"errors"
	"slices"
	"strconv"
	"time"

	"ledgespread/internal/site"
)

// applySettings applies the settings that the relay uses itself.
func (r *Relay) applySettings(manifest *site.Manifest) {
	r.idleTimeout, r.leavingGrace = manifest.Micros("allowed.conn_idle_us"), manifest.Micros("obligations.stop_sending_within_us")
	r.maxOpen = r.maxOpenBySockets
	if configured := int(manifest.Number("allowed.most_held")); configured > 0 {
		r.maxOpen = min(r.maxOpen, configured)
	}
	r.classes = nil
	for i := range int(manifest.Number("path_prefixes")) {
		prefix := "path_prefixes." + strconv.Itoa(i)
		pathClass := &class{name: prefix, effect: manifest.Settings[prefix+".effect"], maxAttempts: int(manifest.Number("allowed.max_backend_fetches"))}
		if name, named := manifest.Settings[prefix+".name"].(string); named {
			pathClass.name = name
		}
		if pathClass.effect == "tagged" {
			pathClass.keyWindow = time.Duration(manifest.Micros(prefix+".memory_span_us")) * time.Microsecond
		}
		r.classes = append(r.classes, pathClass)
	}
	_, longest := manifest.ClientTimeouts()
	r.requestIDs.lifetime = max(r.requestIDs.lifetime, longest) // reserved IDs stay reserved until their deadlines
	if r.summaries != nil {
		r.summaries.RaiseClientTimeout(longest)
	}
	if loads := manifest.LoadFields(); !slices.Equal(loads, r.loadFields) {
		r.loadFields, r.loadFieldsSince = loads, time.Now()
	}
}

// usableReport returns the load report, or nil if the attempt began before the report's fields were changed
// by new settings: its values may then mean something else.
func (r *Relay) usableReport(attempt *attempt, load []float64) []float64 {
	if attempt != nil && attempt.requestedAt.Before(r.loadFieldsSince) {
		return nil
	}
	return load
}

// Retune applies new settings on the relay's goroutine, after all requests that were submitted before, and
// waits for it. On an error nothing changes.
func (r *Relay) Retune(manifest *site.Manifest) error {
	done := make(chan error, 1)
	r.post(func() {
		err := errors.New("it crashed over them") // returned unless the function completes
		defer func() { done <- err }()
		if problem := r.balancer.UpdateSettings(r.now, manifest.Settings); problem != nil {
			err = &site.FieldError{Name: "settings", Err: problem}
			return
		}
		r.applySettings(manifest)
		r.outbound.Retune(r.idleTimeout, manifest.Micros("allowed.connect_timeout_us"), r.loadFields)
		r.watcher.UpdateSettings(manifest.Micros("obligations.ask_every_us"), r.leavingGrace)
		r.tightenOpenRequests()
		err = nil
	})
	return <-done
}

// tightenOpenRequests applies limits that became stricter to open requests, and cancels their further
// attempts that are not written yet; the Balancer decides on them again. An attempt that was allowed by the
// old limits must not be sent once its connection is up.
func (r *Relay) tightenOpenRequests() {
	stricter := map[*class]bool{}
	for _, request := range r.requests {
		if _, seen := stricter[request.class]; !seen && request.class != nil {
			i := slices.IndexFunc(r.classes, func(candidate *class) bool { return candidate.name == request.class.name })
			stricter[request.class] = i >= 0 && request.class.tighten(r.classes[i])
		}
		for no, attempt := range request.attempts {
			if no > 0 && attempt != nil && stricter[request.class] {
				attempt.CancelUnsent()
			}
		}
		if stricter[request.class] {
			request.limitLastBytes()
		}
	}
}

// tighten lowers the limits to those of latest where these are stricter, and reports whether anything
// changed.
func (c *class) tighten(latest *class) bool {
	before := *c
	c.maxAttempts = min(c.maxAttempts, latest.maxAttempts)
	switch {
	case c.effect != latest.effect && latest.effect != "read_like": // includes keyed requests that came without an idempotency key
		c.effect, c.keyWindow = "mutating", 1 // the window is over before a further attempt can send its first byte
	case c.effect == "tagged" && latest.effect == "tagged":
		c.keyWindow = min(c.keyWindow, latest.keyWindow)
	}
	return *c != before
}
