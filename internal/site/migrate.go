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

// Move is what an operator tells of the new shape: a pool of sidecars before the servers, which report their load with
// answers and may not be probed. What is left empty is taken over from the old file, where it says.
type Move struct {
	Listen   string   // where clients on other machines reach the sidecar
	Loads    []string // what the servers' reports hold, in order
	Streams  int      // requests that a connection to a server may carry at once
	Sidecars int      // in the pool
	Number   int      // of this one among them, from 0
	Location string   // the one location that all stands in
	Silent   bool     // sidecars may not send each other messages
}

// Moved is a file's counterpart, with what changed and what could not be carried over, a line each.
type Moved struct {
	Text          []byte
	Manifest      *Manifest // as read from that
	Changed, Left []string
}

// tree is a JSON object whose names are kept as they are.
type tree = map[string]any

// Migrate writes the counterpart of an old file for the new shape. It does no I/O. The old file must be whole.
func Migrate(old []byte, to Move) (*Moved, error) {
	was, err := Parse(old)
	if err != nil {
		return nil, err
	}
	if was.Site["telemetry.how"] == "inline" {
		return nil, errors.New("settings: telemetry.how: inline is the new shape already")
	}
	from := json.NewDecoder(bytes.NewReader(old))
	from.UseNumber() // figures must not change by being read and written
	file, m := tree{}, &Moved{}
	if err := from.Decode(&file); err != nil {
		return nil, err
	}
	if _, err := from.Token(); err != io.EOF {
		return nil, errors.New("more than one JSON object")
	}
	settings := file["settings"].(tree)
	m.reach(file, to)
	m.servers(settings, to)
	m.pool(file, settings, to)
	if to.Location != "" {
		if err := m.location(file, settings, to.Location); err != nil {
			return nil, err
		}
	}
	if m.Text, err = json.MarshalIndent(file, "", "  "); err != nil {
		return nil, err
	}
	m.Text = append(m.Text, '\n')
	if m.Manifest, err = Parse(m.Text); err != nil {
		return nil, fmt.Errorf("the counterpart: %w", err)
	}
	return m, nil
}

func (m *Moved) change(format string, a ...any) {
	m.Changed = append(m.Changed, fmt.Sprintf(format, a...))
}
func (m *Moved) leave(format string, a ...any) { m.Left = append(m.Left, fmt.Sprintf(format, a...)) }

// set puts a value, and notes it where it differs.
func (m *Moved) set(in tree, at, name string, value any) {
	was, there := in[name]
	if now, _ := json.Marshal(value); !there || string(now) != text(was) {
		m.change("%s%s: %s becomes %s", at, name, map[bool]string{true: text(was), false: "nothing"}[there], now)
	}
	in[name] = value
}

func text(value any) string { b, _ := json.Marshal(value); return string(b) }

// object is one that stands in another, empty where it does not.
func object(in tree, name string) tree {
	if o, ok := in[name].(tree); ok {
		return o
	}
	in[name] = tree{}
	return in[name].(tree)
}

func (m *Moved) reach(file tree, to Move) {
	if to.Listen != "" {
		m.set(file, "", "listen", to.Listen)
		return
	}
	if at, err := netip.ParseAddrPort(fmt.Sprint(file["listen"])); err == nil && at.Addr().IsLoopback() {
		m.leave("listen: %s is reached from this machine alone, and clients of a pool are elsewhere; tell --listen", at)
	}
}

func (m *Moved) servers(settings tree, to Move) {
	allowed, told := object(settings, "allowed"), object(settings, "telemetry")
	m.set(allowed, "settings.allowed.", "probes", false)
	if tariffs, ok := settings["tariffs"].(tree); ok && tariffs["probe"] != nil {
		m.leave("settings.tariffs.probe: %s: nothing is probed any more", text(tariffs["probe"]))
		delete(tariffs, "probe")
	}
	if info, ok := settings["family_info"].(tree); ok && info["warm_keys"] == true {
		m.leave("settings.family_info.warm_keys: requests of a key no longer go to servers that met it")
		delete(info, "warm_keys")
	}
	if fields := to.Loads; len(fields) > 0 {
		m.set(told, "settings.telemetry.", "fields", fields)
	} else if fields, _ := told["fields"].([]any); len(fields) == 0 {
		m.leave("settings.telemetry.fields: the old servers' reports told nothing; tell --loads, or no load is read")
		told["fields"] = []string{}
	}
	m.set(told, "settings.telemetry.", "how", "inline")
	switch {
	case to.Streams > 0:
		m.set(allowed, "settings.allowed.", "multiplex", to.Streams)
	default:
		m.leave("settings.allowed.multiplex: the old file can't tell how many requests a connection carries; it stays %s",
			text(allowed["multiplex"]))
	}
}

func (m *Moved) pool(file, settings tree, to Move) {
	peers, _ := file["peers"].([]any)
	if to.Sidecars > 0 {
		m.set(settings, "settings.", "balancers", to.Sidecars)
		m.set(settings, "settings.", "me", to.Number)
	} else {
		m.leave("settings.balancers: the old file counts a sidecar for each client process, and the pool has as many as you "+
			"start; tell --sidecars and --number, or %s stays", text(settings["balancers"]))
	}
	if to.Silent {
		m.set(object(settings, "allowed"), "settings.allowed.", "peer_messages", false)
	}
	if dropped := to.Silent || to.Sidecars > 0 && len(peers) != to.Sidecars; dropped && (len(peers) > 0 || file["peer_listen"] != nil) {
		why := fmt.Sprintf("%d addresses, and the pool has %d sidecars", len(peers), to.Sidecars)
		if to.Silent {
			why = "sidecars may not send each other messages"
		}
		m.leave("peers, peer_listen: %s", why)
		delete(file, "peers")
		delete(file, "peer_listen")
	}
	if allowed := object(settings, "allowed"); allowed["peer_messages"] == true && file["peers"] == nil {
		m.leave("settings.allowed.peer_messages: messages are allowed, but nobody's address is in the file; add peers and peer_listen")
	}
}

// location puts all in one place. The saved list's servers move with it.
func (m *Moved) location(file, settings tree, name string) error {
	m.set(settings, "settings.", "azs", []string{name})
	m.set(settings, "settings.", "my_zone", 0)
	known, _ := file["known"].(tree)
	hosts, ok := known["hosts"].([]any)
	if !ok {
		return errors.New("known: hosts is missing or malformed")
	}
	var sites []string
	for _, h := range hosts {
		host, ok := h.(tree)
		if !ok {
			return errors.New("known: hosts holds something that is no server")
		}
		if was := fmt.Sprint(host["site"]); was != name && !slices.Contains(sites, was) {
			sites = append(sites, was)
		}
		host["site"] = name
	}
	if len(sites) > 0 {
		m.change("known: servers of %s stand at %s", strings.Join(sites, ", "), name)
	}
	return nil
}
