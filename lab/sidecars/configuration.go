package sidecars

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"ledgespread/lab/scenario"
)

// Configuration holds the values from which a sidecar's configuration file is written.
type Configuration struct {
	Scenario                                  *scenario.Scenario
	Number                                    int
	Name, Zone, Listen, Discovery, PeerListen string
	Peers                                     []string
	Seed                                      uint64
	Known                                     json.RawMessage
}

// ReadConfiguration reads a configuration file, for programs that replace a sidecar in a run.
func ReadConfiguration(file string) (settings map[string]any, err error) {
	text, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(text, &settings)
	}
	return settings, err
}

// JSON returns the content of the configuration file.
func (c Configuration) JSON() ([]byte, error) {
	fleet := c.Scenario
	allowed := map[string]any{"cancel": true, "retry_after": true, "max_retry_after_us": 2_000_000, "max_backend_fetches": 5,
		"may_duplicate": true, "multiplex": 1, "conn_idle_us": 10_000_000, "connect_timeout_us": 75_000, "probes": false,
		"peer_messages": false}
	for name, value := range fleet.Allowed {
		allowed[name] = value
	}
	var prefixes, tenants []map[string]any
	for _, prefix := range fleet.Prefixes {
		prefixes = append(prefixes, map[string]any{"name": prefix.Name, "effect": prefix.Effect, "group": prefix.Group, "value": prefix.Value,
			"late_value": prefix.LateValue, "target_latency_us": prefix.Target, "client_timeout_us": prefix.Timeout, "memory_span_us": prefix.Memory, "stream": false})
	}
	for _, tenant := range fleet.Tenants {
		tenants = append(tenants, map[string]any{"name": tenant.Name, "share": tenant.Share, "quota_per_s": float64(tenant.Quota)})
	}
	settings := map[string]any{"azs": fleet.Zones, "my_zone": slices.Index(fleet.Zones, c.Zone), "balancers": fleet.Sidecars.Count, "me": c.Number,
		"discovery": fleet.List.Mode, "step_us": 1000, "path_prefixes": prefixes, "allowed": allowed, "beyond_share_value": 0.1,
		"tariffs": map[string]any{"cross_zone": 0.0087},
		"obligations": map[string]any{"ask_every_us": fleet.Rules.AskEvery, "cold_from": fleet.Rules.ColdFrom, "cold_us": fleet.Rules.Cold,
			"fall_multiple": fleet.Rules.FallMultiple, "fall_us": fleet.Rules.Fall, "stop_sending_within_us": fleet.Rules.Drain, "answer_slack_us": fleet.Rules.Slack}}
	if len(tenants) > 0 {
		settings["realms"] = tenants
	}
	file := map[string]any{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "seed": fmt.Sprintf("%016x", c.Seed),
		"limits":   map[string]any{"cores": fleet.Sidecars.Cores, "memory_mb": fleet.Sidecars.MemoryMB, "sockets": fleet.Sidecars.Sockets},
		"settings": settings, "known": c.Known}
	if c.PeerListen != "" {
		file["peer_listen"], file["peers"] = c.PeerListen, c.Peers
	}
	return json.MarshalIndent(file, "", " ")
}
