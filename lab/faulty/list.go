package faulty

// list.go: how the misbehaving sidecar follows the server list and selects a server.

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"ledgespread/lab/sidecars"
)

// reloadDiscoveryAddress reads the discovery address again from the configuration file.
func (s *sidecar) reloadDiscoveryAddress(file string) {
	configuration, err := sidecars.ReadConfiguration(file)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.discoveryAddress, _ = configuration["discovery"].(string)
}

// fetchList fetches the complete server list and applies it.
func (s *sidecar) fetchList() error {
	started := time.Now()
	s.mu.Lock()
	list := s.discoveryAddress
	s.mu.Unlock()
	response, err := s.discoveryClient.Get("http://" + list + "/api/targets")
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var answer map[string]any
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return err
	}
	hosts, _ := answer["hosts"].([]any)
	var listed []server
	for _, host := range hosts {
		if fields, ok := host.(map[string]any); ok {
			parsed := server{}
			parsed.name, _ = fields["host"].(string)
			parsed.address, _ = fields["dial"].(string)
			parsed.zone, _ = fields["site"].(string)
			parsed.health, _ = fields["health"].(string)
			born, _ := fields["born_ms"].(float64)
			parsed.startTime = time.UnixMilli(int64(born))
			listed = append(listed, parsed)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyList(listed, time.Since(started))
	return nil
}

// applyList applies a server list that took the given time to arrive, or mishandles it as s.mode says. The caller holds the lock.
func (s *sidecar) applyList(listed []server, took time.Duration) {
	named := func(candidate server) bool {
		return slices.ContainsFunc(listed, func(listedServer server) bool { return listedServer.name == candidate.name })
	}
	unusable := func(candidate server) bool { return candidate.zone == "nowhere" }
	switch first := s.servers == nil; {
	case first:
	case s.mode == "late-list" && took >= lateListThreshold, s.mode == ignoresEmptyList && len(listed) == 0, s.mode == ignoresUnusableList && slices.ContainsFunc(listed, unusable):
		return
	case s.mode == keepsOmittedServers:
		listed = slices.Concat(listed, slices.DeleteFunc(s.servers, named))
	}
	s.servers = listed
	for _, candidate := range listed {
		s.everListed[candidate.name] = candidate
	}
}

// pickServer selects a server at random from those that may receive a request. It leaves out the server excluded, and with
// otherZone set all servers of its zone.
func (s *sidecar) pickServer(excluded *server, otherZone bool) *server {
	s.mu.Lock()
	defer s.mu.Unlock()
	var candidates, draining, cold []server
	for _, candidate := range s.servers {
		if excluded != nil && (candidate.name == excluded.name || otherZone && candidate.zone == excluded.zone) {
			continue
		}
		switch {
		case candidate.health != "in_service":
			draining = append(draining, candidate)
		case time.Since(candidate.startTime) < s.cold && s.mode != "wall-warm":
			cold = append(cold, candidate)
		default:
			candidates = append(candidates, candidate)
		}
	}
	if len(draining) > 0 && s.shouldBreakLocked("drain", frequentInterval) {
		candidates = draining
	}
	if s.mode == "cold" && len(cold) > 0 {
		candidates = cold
	}
	if young := slices.DeleteFunc(slices.Clone(candidates), func(candidate server) bool { return time.Since(candidate.startTime) >= s.cold }); s.mode == "wall-warm" && len(young) > 0 {
		candidates = young // treats a server that has just started as warm and idle
	}
	if len(candidates) == 0 && s.mode == lastResort {
		candidates = slices.Collect(maps.Values(s.everListed))
	}
	if len(candidates) == 0 {
		return nil
	}
	candidate := candidates[s.draw.Below(len(candidates))]
	return &candidate
}

// shouldBreak reports whether to misbehave this time, which is every so many requests if mode is this sidecar's.
func (s *sidecar) shouldBreak(mode string, every int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shouldBreakLocked(mode, every)
}

// shouldBreakLocked implements shouldBreak; the caller holds the lock.
func (s *sidecar) shouldBreakLocked(mode string, every int) bool {
	if s.mode != mode {
		return false
	}
	s.counts[mode]++
	return s.counts[mode]%every == 0
}
