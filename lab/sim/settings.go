package sim

import (
	"fmt"

	"ledgespread/brain"
)

// Effects lists the effects of the three path prefixes in Settings, indexed by class.
var Effects = []string{"read_like", "tagged", "mutating"}

// Terms holds the parameters of a service that its callers' settings contain. Group is the scope within which servers
// share the request tags that they remember: all, zone or cell.
type Terms struct {
	Target, Timeout, Window Micros
	Group                   string
	Sidecars                int // number of sidecars in the settings
	Fetches                 int // maximum attempts per visit; 1 disables retries
	ColdFrom                float64
	Cold                    Micros
	FallMultiple            float64
	Fall                    Micros
	Messages                bool
}

// Settings returns the terms in the form that the decision module reads.
func (t Terms) Settings() brain.Settings {
	settings := brain.Settings{"my_zone": 0.0, "path_prefixes": 3.0, "discovery": "pushed", "step_us": 1000.0,
		"balancers": float64(t.Sidecars), "allowed.max_backend_fetches": float64(t.Fetches),
		"allowed.conn_idle_us": 10e6, "allowed.cancel": true, "allowed.multiplex": 1.0,
		"allowed.peer_messages": t.Messages, "allowed.retry_after": true, "allowed.max_retry_after_us": 2e6,
		"obligations.cold_from": t.ColdFrom, "obligations.cold_us": float64(t.Cold),
		"obligations.fall_multiple": t.FallMultiple, "obligations.fall_us": float64(t.Fall)}
	for i, effect := range Effects {
		prefix := fmt.Sprintf("path_prefixes.%d.", i)
		settings[prefix+"target_latency_us"], settings[prefix+"client_timeout_us"] = float64(t.Target), float64(t.Timeout)
		settings[prefix+"memory_span_us"], settings[prefix+"value"], settings[prefix+"late_value"] = float64(t.Window), 1.0, 0.0
		settings[prefix+"effect"], settings[prefix+"group"] = effect, t.Group
	}
	return settings
}
