package rig

import "fmt"

// Seed is the number that a sidecar gets for its random numbers.
const Seed = "5d0c3b7e91f2a846"

// FinderSettings are settings by the figures of the small deployment bkk-finder.
func FinderSettings(sidecars, me, zone int) map[string]any {
	class := func(name, effect, group string, target, timeout, window int, value float64) map[string]any {
		return map[string]any{"name": name, "effect": effect, "group": group, "target_latency_us": target * 1000, "client_timeout_us": timeout * 1000,
			"memory_span_us": window * 1000, "value": value, "late_value": 0, "stream": false}
	}
	return map[string]any{
		"azs": []string{"bangna", "lat-krabang"}, "my_zone": zone, "balancers": sidecars, "me": me, "step_us": 1000, "discovery": "on_request",
		"host_types": []string{"fast-box", "slow-box"}, "stages": []string{"finder-api"}, "tier": 0, "weights": "nominal", "value_per": "work",
		"beyond_share_value": 0.1,
		"path_prefixes": []any{class("lookup", "read_like", "all", 150, 750, 5000, 1),
			class("booking", "idempotency_key", "zone", 600, 3000, 3000, 2)},
		"allowed": map[string]any{"cancel": true, "retry_after": true, "max_retry_after_us": 2_000_000, "max_backend_fetches": 5, "may_duplicate": true,
			"multiplex": 1, "conn_idle_us": 10_000_000, "connect_timeout_us": 75_000, "peer_messages": sidecars > 1, "probes": true, "most_held": 33333},
		"obligations": map[string]any{"ask_every_us": 10_000_000, "cold_from": 0.31, "cold_us": 8_600_000, "fall_multiple": 3.0, "fall_us": 1_500_000,
			"stop_sending_within_us": 500_000, "answer_slack_us": 5000},
		"tariffs":   map[string]any{"connection": 0, "cross_zone": 0.0087, "handshake": 0, "late_fail": 0.062, "peer": 0.01, "probe": 0.01, "waste": 0.1},
		"telemetry": map[string]any{"how": "on_probe", "fields": []string{"concurrent"}},
	}
}

// Config is the configuration of one sidecar.
func Config(name, listen, discovery string, known any, settings map[string]any) map[string]any {
	return map[string]any{"name": name, "listen": listen, "discovery": discovery, "seed": Seed,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": known, "settings": settings}
}

// PeerAddresses adds the addresses of messages between sidecars to their configurations.
func PeerAddresses(configs []map[string]any, addresses []string) {
	for i, config := range configs {
		config["peer_listen"], config["peers"] = addresses[i], addresses
	}
}

// Numbered returns an id that no other request has.
func Numbered(prefix string, n int) string { return fmt.Sprintf("%s-%08x", prefix, n) }
