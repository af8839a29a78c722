package scenario

// check.go validates the values of a scenario.

import (
	"fmt"
	"regexp"
	"slices"

	"ledgespread/strict"
)

// FaultTargets maps each kind of fault to the kind of target it applies to: "backends", "sidecars", "ways" (network
// paths between sidecars), "network" (paths between sidecars and backends), "list" (the discovery service),
// "clients", "tenant" or "machine"; it is empty for a fault that affects all traffic.
var FaultTargets = map[string]string{
	"kill": "backends", "kill_cold": "backends", "stall": "backends", "mute": "backends", "errors": "backends", "slow": "backends",
	"share": "backends", "spoil": "backends", "drain": "backends", "leave": "backends", "replace": "backends", "join": "backends",
	"unlist": "backends", "slow_reads": "backends", "reset_under": "backends", "list_anew": "list", "list_odd": "list",
	"sidecar_kill": "sidecars", "sidecar_restart": "sidecars", "sidecar_stall": "sidecars",
	"list_down": "list", "list_late": "list", "list_move": "list", "list_moves": "list", "list_slow": "list", "list_refuse": "list",
	"list_silent": "list", "list_answers_late": "list", "list_connections_silent": "list", "list_silent_after_call": "list", "sidecar_end": "sidecars", "crowd": "clients",
	"silence": "network", "cut": "network", "reset": "network", "delay": "network", "refuse": "network", "narrow": "network",
	"wall_back": "machine", "wall_forward": "machine",
	"cut_word": "ways", "part": "ways", "lose": "ways", "double": "ways", "late": "ways", "sidecar_move": "sidecars",
	"flood": "tenant", "surge": "",
}

// needsDuration lists the kinds of fault that last for a time and so need the field `for`.
var needsDuration = map[string]bool{"kill_cold": true, "stall": true, "mute": true, "errors": true, "slow": true, "share": true, "spoil": true,
	"sidecar_kill": true, "sidecar_stall": true, "list_down": true, "list_late": true, "list_slow": true, "list_refuse": true, "list_silent": true,
	"list_answers_late": true, "crowd": true, "silence": true, "cut": true, "delay": true, "refuse": true, "narrow": true,
	"cut_word": true, "part": true, "lose": true, "double": true, "late": true,
	"slow_reads": true, "reset_under": true, "flood": true, "surge": true, "drain": true, "unlist": true, "list_odd": true}

// maxRequestBytes is the longest body that a sidecar passes on.
const maxRequestBytes = 32 << 20

// validate returns the first invalid value of the scenario as a *strict.FieldError, or nil if all are valid.
func (s *Scenario) validate() error {
	var firstError *strict.FieldError
	check := func(ok bool, table string, index int, name, format string, values ...any) {
		if !ok && firstError == nil {
			firstError = &strict.FieldError{Table: table, TableIndex: index, Name: name, Reason: fmt.Sprintf(format, values...)}
		}
	}
	check(s.Name != "", "", 0, "name", "is missing")
	check(s.Length > 0, "", 0, "length", "must be over 0")
	check(s.Warmup < s.Length, "", 0, "warmup", "must be shorter than the length")
	check(s.Sidecars.Count > 0 && s.Sidecars.Count <= 6000, "sidecars", 0, "count", "must be from 1 to 6000")
	check(len(s.Backends) > 0, "", 0, "backend", "is missing: a scenario needs at least one [[backend]]")
	check(len(s.Prefixes) > 0, "", 0, "prefix", "is missing: a scenario needs at least one [[prefix]]")
	for i, backend := range s.Backends {
		check(backend.Count > 0, "backend", i, "count", "must be over 0")
		check(slices.Contains(s.Zones, backend.Zone), "backend", i, "zone", "%q is not among the zones", backend.Zone)
		check(backend.Cores > 0, "backend", i, "cores", "must be over 0")
		check(backend.Speed > 0, "backend", i, "speed", "must be over 0")
		check(backend.WarmPart > 0 && backend.WarmPart <= 1, "backend", i, "warm_part", "must be over 0 and at most 1")
		check(backend.SlowFactor >= 1, "backend", i, "slow_factor", "must be at least 1")
		check(backend.SlowQueue == 0 || backend.SlowAfter > 0, "backend", i, "slow_after", "is missing, with slow_queue given")
		check(backend.SlowQueue == 0 || backend.SlowIdle > 0 || backend.SlowMax > 0, "backend", i, "slow_queue",
			"a backend that becomes slow needs slow_idle or slow_most, or it stays slow")
	}
	names := map[string]bool{}
	for i, prefix := range s.Prefixes {
		check(regexp.MustCompile(`^[a-z][a-z0-9-]*$`).MatchString(prefix.Name), "prefix", i, "name", "%q is not a valid path prefix", prefix.Name)
		check(!names[prefix.Name], "prefix", i, "name", "%q is given twice", prefix.Name)
		names[prefix.Name] = true
		check(slices.Contains([]string{"read_like", "tagged", "mutating"}, prefix.Effect), "prefix", i, "effect",
			"%q is none of read_like, tagged, mutating", prefix.Effect)
		check(slices.Contains([]string{"all", "zone", "cell"}, prefix.Group), "prefix", i, "group", "%q is none of all, zone, cell", prefix.Group)
		check(slices.Contains([]string{"fixed", "exp", "heavy"}, prefix.Spread), "prefix", i, "work_spread",
			"%q is none of fixed, exp, heavy", prefix.Spread)
		check(prefix.Shape > 1, "prefix", i, "work_shape", "must be over 1")
		check(prefix.Work > 0, "prefix", i, "work", "must be over 0")
		check(prefix.Target > 0, "prefix", i, "target_latency", "must be over 0")
		check(prefix.Timeout >= prefix.Target, "prefix", i, "client_timeout", "must not be under the target latency")
		check(prefix.RequestBytes >= 0 && prefix.RequestBytes <= maxRequestBytes, "prefix", i, "request_bytes", "must be from 0 to %d", maxRequestBytes)
		check(prefix.LateValue >= 0 && prefix.LateValue <= 1, "prefix", i, "late_value", "must be from 0 to 1")
	}
	tenants := map[string]bool{"": true}
	for i, tenant := range s.Tenants {
		check(!tenants[tenant.Name], "tenant", i, "name", "is missing or given twice")
		check(tenant.Share > 0, "tenant", i, "share", "must be over 0")
		tenants[tenant.Name] = true
	}
	traffic := s.Traffic
	check(traffic.Rate > 0 || traffic.Trace != "", "traffic", 0, "rate", "must be over 0")
	check(slices.Contains([]string{"poisson", "even", "bursts", "swing"}, traffic.Shape), "traffic", 0, "shape",
		"%q is none of poisson, even, bursts, swing", traffic.Shape)
	check(traffic.Shape != "bursts" || traffic.BurstEvery > traffic.BurstFor && traffic.BurstFor > 0 && traffic.BurstTimes >= 1, "traffic", 0, "shape",
		"bursts needs burst_every over burst_for over 0, and burst_times of at least 1")
	check(traffic.Shape != "swing" || traffic.SwingEvery > 0 && traffic.SwingBy > 0 && traffic.SwingBy <= 1, "traffic", 0, "shape",
		"swing needs swing_every over 0 and swing_by over 0 and at most 1")
	check(traffic.Honour >= 0 && traffic.Honour <= 1, "traffic", 0, "honour", "must be from 0 to 1")
	check(traffic.Impatient >= 0 && traffic.Impatient <= 1, "traffic", 0, "impatient", "must be from 0 to 1")
	check(s.List.Mode == "on_request" || s.List.Mode == "pushed", "list", 0, "mode", "%q is neither on_request nor pushed", s.List.Mode)
	check(s.List.FullFraction >= 0 && s.List.FullFraction <= 1, "list", 0, "whole", "must be from 0 to 1")
	for i, fault := range s.Faults {
		target, known := FaultTargets[fault.What]
		check(known, "fault", i, "what", "%q is not a known fault", fault.What)
		check(fault.At < s.Length, "fault", i, "at", "is past the end")
		check(target != "backends" || fault.Backends != nil, "fault", i, "backends", "is missing for %s", fault.What)
		check(target != "sidecars" && target != "ways" || fault.Sidecars != nil, "fault", i, "sidecars", "is missing for %s", fault.What)
		check(fault.Others == nil || s.checkTargets(fault.Others, s.SidecarNames()) == nil, "fault", i, "others", "%v", s.checkTargets(fault.Others, s.SidecarNames()))
		check(fault.Others == nil || target == "ways", "fault", i, "others", "has no meaning for %s", fault.What)
		check(fault.Backends == nil || s.checkTargets(fault.Backends, s.BackendNames()) == nil, "fault", i, "backends", "%v", s.checkTargets(fault.Backends, s.BackendNames()))
		check(fault.Sidecars == nil || s.checkTargets(fault.Sidecars, s.SidecarNames()) == nil, "fault", i, "sidecars", "%v", s.checkTargets(fault.Sidecars, s.SidecarNames()))
		check(target != "tenant" || tenants[fault.Tenant] && fault.Tenant != "", "fault", i, "tenant", "%q is not among the tenants", fault.Tenant)
		check(!needsDuration[fault.What] || fault.For > 0, "fault", i, "for", "is missing for %s", fault.What)
		check(!slices.Contains([]string{"slow", "share", "flood", "surge", "list_moves", "crowd"}, fault.What) || fault.Times > 1, "fault", i, "times",
			"must be over 1 for %s", fault.What)
		check(!slices.Contains([]string{"delay", "list_late", "late", "list_slow", "list_answers_late", "wall_back", "wall_forward", "reset_under"}, fault.What) || fault.By > 0, "fault", i, "by", "is missing for %s", fault.What)
		check(fault.What != "narrow" && fault.What != "slow_reads" || fault.Bytes > 0, "fault", i, "bytes_per_s", "must be over 0 for %s", fault.What)
		check(!slices.Contains([]string{"errors", "spoil", "lose", "double", "late", "list_refuse", "list_silent", "list_connections_silent", "reset_under"}, fault.What) || fault.Part > 0 && fault.Part <= 1, "fault", i, "part",
			"must be over 0 and at most 1 for %s", fault.What)
		for _, zone := range []string{fault.From, fault.To} {
			check(zone == "" || slices.Contains(s.Zones, zone), "fault", i, "from", "%q is not among the zones", zone)
		}
	}
	if firstError != nil {
		return firstError
	}
	return nil
}
