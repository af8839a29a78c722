package rig2

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// discoveryList returns the whole list of servers in discovery's form.
func discoveryList(servers []*Server) map[string]any {
	var hosts []map[string]any
	for _, server := range servers {
		hosts = append(hosts, map[string]any{"host": server.Name, "dial": server.Address, "site": server.Zone, "class": "m", "block": 0,
			"health": "in_service", "share": 1.0, "born_ms": 0})
	}
	return map[string]any{"seq": 1, "whole": true, "hosts": hosts}
}

// serveDiscovery answers calls for the list, which never changes. A watch waits for as long as it asks to.
func (c *Case) serveDiscovery(list map[string]any) (address string) {
	listener := c.Listen()
	mux := http.NewServeMux()
	mux.HandleFunc("/api/targets", func(w http.ResponseWriter, r *http.Request) {
		answer := list
		if hold, err := strconv.Atoi(r.URL.Query().Get("hold_ms")); err == nil && r.URL.Query().Get("from") == "1" {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(time.Duration(min(hold, 60_000)) * time.Millisecond):
			}
			answer = map[string]any{"seq": 1, "whole": false, "hosts": []any{}}
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(answer)
	})
	go http.Serve(listener, mux)
	return listener.Addr().String()
}
