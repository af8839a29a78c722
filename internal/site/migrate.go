package site

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strings"
)

// MigrateOptions contains an operator's options for Migrate. The target deployment is a pool of sidecars that clients
// on other machines share; its servers report their load with their responses and may not be probed. An
// option that is left empty keeps the value of the old file if that has one.
type MigrateOptions struct {
	Listen               string   // address at which clients on other machines reach the sidecar
	LoadFields           []string // names of the values in the servers' load reports, in order
	StreamsPerConnection int      // concurrent requests that a connection to a server may carry
	Sidecars             int      // number of sidecars in the pool
	Index                int      // index of this sidecar in the pool, from 0
	Location             string   // the only location, if the whole installation is in one
	NoMessages           bool     // sidecars may not send each other messages
}

// MigrateResult is the result of Migrate. Changed and NotCarriedOver have one line for each value that was changed or could not
// be carried over.
type MigrateResult struct {
	Text                    []byte    // the new file
	Manifest                *Manifest // the parsed Text
	Changed, NotCarriedOver []string
}

// jsonObject is a decoded JSON object, with its names as in the file.
type jsonObject = map[string]any

// Migrate converts an old configuration file for a pool of sidecars, as described at MigrateOptions. It does no I/O.
// The old file must be valid.
func Migrate(old []byte, to MigrateOptions) (*MigrateResult, error) {
	oldManifest, err := Parse(old)
	if err != nil {
		return nil, err
	}
	if oldManifest.Settings["telemetry.how"] == "inline" {
		return nil, errors.New("settings: telemetry.how: inline is the new shape already")
	}
	decoder := json.NewDecoder(bytes.NewReader(old))
	decoder.UseNumber() // converting large integers to float64 would change them
	file, result := jsonObject{}, &MigrateResult{}
	if err := decoder.Decode(&file); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); err != io.EOF {
		return nil, errors.New("more than one JSON object")
	}
	settings := file["settings"].(jsonObject)
	result.migrateListen(file, to)
	result.migrateServers(settings, to)
	result.migratePool(file, settings, to)
	if to.Location != "" {
		if err := result.migrateLocation(file, settings, to.Location); err != nil {
			return nil, err
		}
	}
	if result.Text, err = json.MarshalIndent(file, "", "  "); err != nil {
		return nil, err
	}
	result.Text = append(result.Text, '\n')
	if result.Manifest, err = Parse(result.Text); err != nil {
		return nil, fmt.Errorf("the counterpart: %w", err)
	}
	return result, nil
}

// noteChanged adds a line to Changed.
func (m *MigrateResult) noteChanged(format string, args ...any) {
	m.Changed = append(m.Changed, fmt.Sprintf(format, args...))
}

// noteNotCarriedOver adds a line to NotCarriedOver.
func (m *MigrateResult) noteNotCarriedOver(format string, args ...any) {
	m.NotCarriedOver = append(m.NotCarriedOver, fmt.Sprintf(format, args...))
}

// set stores a value and adds a line to Changed if it differs from the old one. path is the path of the
// object in the file, with a trailing dot.
func (m *MigrateResult) set(object jsonObject, path, name string, value any) {
	old, present := object[name]
	if encoded, _ := json.Marshal(value); !present || string(encoded) != jsonText(old) {
		m.noteChanged("%s%s: %s becomes %s", path, name, map[bool]string{true: jsonText(old), false: "nothing"}[present], encoded)
	}
	object[name] = value
}

// jsonText returns the JSON encoding of a value.
func jsonText(value any) string { b, _ := json.Marshal(value); return string(b) }

// childObject returns the named object in parent. If there is none, it stores and returns an empty one.
func childObject(parent jsonObject, name string) jsonObject {
	if child, ok := parent[name].(jsonObject); ok {
		return child
	}
	parent[name] = jsonObject{}
	return parent[name].(jsonObject)
}

// migrateListen sets the listen address. Without a new one it reports a loopback address, which other
// machines can't reach.
func (m *MigrateResult) migrateListen(file jsonObject, to MigrateOptions) {
	if to.Listen != "" {
		m.set(file, "", "listen", to.Listen)
		return
	}
	if address, err := netip.ParseAddrPort(fmt.Sprint(file["listen"])); err == nil && address.Addr().IsLoopback() {
		m.noteNotCarriedOver("listen: %s is reached from this machine alone, and clients of a pool are elsewhere; tell --listen", address)
	}
}

// migrateServers sets what concerns the servers: load reports in responses in place of probes, and concurrent
// requests on a connection.
func (m *MigrateResult) migrateServers(settings jsonObject, to MigrateOptions) {
	allowed, telemetry := childObject(settings, "allowed"), childObject(settings, "telemetry")
	m.set(allowed, "settings.allowed.", "probes", false)
	if tariffs, ok := settings["tariffs"].(jsonObject); ok && tariffs["probe"] != nil {
		m.noteNotCarriedOver("settings.tariffs.probe: %s: nothing is probed any more", jsonText(tariffs["probe"]))
		delete(tariffs, "probe")
	}
	if info, ok := settings["family_info"].(jsonObject); ok && info["warm_keys"] == true {
		m.noteNotCarriedOver("settings.family_info.warm_keys: requests with a key are no longer sent to the servers that served that key before")
		delete(info, "warm_keys")
	}
	if fields := to.LoadFields; len(fields) > 0 {
		m.set(telemetry, "settings.telemetry.", "fields", fields)
	} else if fields, _ := telemetry["fields"].([]any); len(fields) == 0 {
		m.noteNotCarriedOver("settings.telemetry.fields: the old servers' reports told nothing; tell --loads, or no load is read")
		telemetry["fields"] = []string{}
	}
	m.set(telemetry, "settings.telemetry.", "how", "inline")
	switch {
	case to.StreamsPerConnection > 0:
		m.set(allowed, "settings.allowed.", "multiplex", to.StreamsPerConnection)
	default:
		m.noteNotCarriedOver("settings.allowed.multiplex: the old file can't tell how many requests a connection carries; it stays %s",
			jsonText(allowed["multiplex"]))
	}
}

// migratePool sets the size of the pool and this sidecar's index in it, and removes the addresses of peers if
// they don't match the pool or messages are not allowed.
func (m *MigrateResult) migratePool(file, settings jsonObject, to MigrateOptions) {
	peers, _ := file["peers"].([]any)
	if to.Sidecars > 0 {
		m.set(settings, "settings.", "balancers", to.Sidecars)
		m.set(settings, "settings.", "me", to.Index)
	} else {
		m.noteNotCarriedOver("settings.balancers: the old file counts a sidecar for each client process, and the pool has as many as you "+
			"start; tell --sidecars and --number, or %s stays", jsonText(settings["balancers"]))
	}
	if to.NoMessages {
		m.set(childObject(settings, "allowed"), "settings.allowed.", "peer_messages", false)
	}
	if dropped := to.NoMessages || to.Sidecars > 0 && len(peers) != to.Sidecars; dropped && (len(peers) > 0 || file["peer_listen"] != nil) {
		reason := fmt.Sprintf("%d addresses, and the pool has %d sidecars", len(peers), to.Sidecars)
		if to.NoMessages {
			reason = "sidecars may not send each other messages"
		}
		m.noteNotCarriedOver("peers, peer_listen: %s", reason)
		delete(file, "peers")
		delete(file, "peer_listen")
	}
	if allowed := childObject(settings, "allowed"); allowed["peer_messages"] == true && file["peers"] == nil {
		m.noteNotCarriedOver("settings.allowed.peer_messages: messages are allowed, but nobody's address is in the file; add peers and peer_listen")
	}
}

// migrateLocation makes name the only location, for the sidecar and for all servers of the saved list.
func (m *MigrateResult) migrateLocation(file, settings jsonObject, name string) error {
	m.set(settings, "settings.", "azs", []string{name})
	m.set(settings, "settings.", "my_zone", 0)
	known, _ := file["known"].(jsonObject)
	hosts, ok := known["hosts"].([]any)
	if !ok {
		return errors.New("known: hosts is missing or malformed")
	}
	var oldLocations []string
	for _, item := range hosts {
		host, ok := item.(jsonObject)
		if !ok {
			return errors.New("known: hosts holds something that is no server")
		}
		if old := fmt.Sprint(host["site"]); old != name && !slices.Contains(oldLocations, old) {
			oldLocations = append(oldLocations, old)
		}
		host["site"] = name
	}
	if len(oldLocations) > 0 {
		m.noteChanged("known: servers of %s stand at %s", strings.Join(oldLocations, ", "), name)
	}
	return nil
}
