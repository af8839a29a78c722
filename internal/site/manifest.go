package site

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strconv"

	"ledgespread/brain"
)

// Manifest is the place a sidecar is put in: its addresses, its limits, and the settings of the deployment.
type Manifest struct {
	Name, Listen, Discovery string
	Seed                    uint64
	Cores                   float64
	MemoryMB, Sockets       int
	Streams                 int // requests that a connection may carry at once, as told; one does
	PeerListen              string
	Console                 string           // the second address, for staff; empty: there is none
	Peers                   []netip.AddrPort // in the order of their numbers
	Known                   []byte           // the list of servers as last held, in discovery's form
	Site                    brain.Settings
}

// Read takes a configuration file. What is missing or malformed is an error that names it: a
// sidecar must not start half told.
func Read(file string) (*Manifest, error) {
	if file == "" {
		return nil, errors.New("no configuration file: RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return From(file, text)
}

// From takes a file's bytes. What is wrong with them is an error with the file, the line and the reason.
func From(file string, text []byte) (*Manifest, error) {
	b, err := Parse(text)
	if err != nil {
		return nil, In(file, text, err)
	}
	if told := os.Getenv("RELAY_CONSOLE"); b.Console == "" && told != "" {
		if _, err := netip.ParseAddrPort(told); err != nil {
			return nil, fmt.Errorf("RELAY_CONSOLE: %w", err)
		}
		b.Console = told
	}
	return b, nil
}

// Parse takes the bytes of a configuration.
func Parse(text []byte) (*Manifest, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	b := &Manifest{Known: tree["known"]}
	if err := b.readFields(tree); err != nil {
		return nil, err
	}
	if err := b.checkAddresses(); err != nil {
		return nil, err
	}
	if err := b.readSettings(tree); err != nil {
		return nil, err
	}
	if b.Known == nil {
		return nil, errors.New("known is missing")
	}
	return b, nil
}

// readFields reads what stands beside the settings.
func (b *Manifest) readFields(tree map[string]json.RawMessage) (err error) {
	var seed string
	var peers []string
	var limits map[string]float64
	for _, field := range []struct {
		name   string
		needed bool
		into   any
	}{
		{"name", true, &b.Name}, {"listen", true, &b.Listen}, {"discovery", true, &b.Discovery},
		{"seed", true, &seed}, {"limits", true, &limits}, {"peer_listen", false, &b.PeerListen}, {"console", false, &b.Console},
		{"peers", false, &peers},
	} {
		raw, there := tree[field.name]
		switch {
		case !there && field.needed:
			return fmt.Errorf("%s is missing", field.name)
		case there:
			if err := json.Unmarshal(raw, field.into); err != nil {
				return odd(field.name, "%s: %w", field.name, err)
			}
		}
	}
	if b.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return odd("seed", "seed: %w", err)
	}
	for _, limit := range []string{"cores", "memory_mb", "sockets"} {
		if !(limits[limit] > 0) {
			return odd("limits."+limit, "limits.%s is missing", limit)
		}
	}
	b.Cores, b.MemoryMB, b.Sockets = limits["cores"], int(limits["memory_mb"]), int(limits["sockets"])
	for i, peer := range peers {
		at, err := netip.ParseAddrPort(peer)
		if err != nil {
			return odd("peers."+strconv.Itoa(i), "peers.%d: %w", i, err)
		}
		b.Peers = append(b.Peers, at)
	}
	return nil
}

// checkAddresses tells which address can't be read.
func (b *Manifest) checkAddresses() error {
	for _, at := range []struct {
		name, address string
		needed        bool
	}{{"listen", b.Listen, true}, {"discovery", b.Discovery, true}, {"peer_listen", b.PeerListen, false}, {"console", b.Console, false}} {
		if _, err := netip.ParseAddrPort(at.address); err != nil && (at.address != "" || at.needed) {
			return odd(at.name, "%s: %w", at.name, err)
		}
	}
	return nil
}

// readSettings reads the settings, and refuses those that can't be.
func (b *Manifest) readSettings(tree map[string]json.RawMessage) (err error) {
	settings, there := tree["settings"]
	if !there {
		return errors.New("settings is missing")
	}
	if b.Site, err = Flatten(settings); err != nil {
		return odd("settings", "settings: %w", err)
	}
	if name, err := refused(b.Site); err != nil {
		return odd("settings."+name, "settings: %w", err)
	}
	// The module would count on places for requests that a connection here does not have: it carries one at a time.
	b.Streams = int(max(b.Figure("allowed.multiplex"), 1))
	if _, there := b.Site["allowed.multiplex"]; there {
		b.Site["allowed.multiplex"] = 1.0
	}
	return nil
}

// Span is a figure of the settings in whole microseconds, 0 where they lack it.
func (b *Manifest) Span(name string) brain.Micros { return brain.Micros(b.Figure(name)) }

// Figure is a number of the settings, 0 where they lack it.
func (b *Manifest) Figure(name string) float64 { f, _ := b.Site[name].(float64); return f }

// Places numbers the names that a list of the settings gives its items: "realms.3.name" is 3.
// Items that are bare words go by these.
func (b *Manifest) Places(list string) map[string]int {
	places := map[string]int{}
	for i := range int(b.Figure(list)) {
		at := list + "." + strconv.Itoa(i)
		if name, ok := b.Site[at].(string); ok {
			places[name] = i
		} else if name, ok := b.Site[at+".name"].(string); ok {
			places[name] = i
		}
	}
	return places
}

// Timeouts are the shortest and the longest client timeout of all classes.
func (b *Manifest) Timeouts() (shortest, longest brain.Micros) {
	for i := range int(b.Figure("path_prefixes")) {
		timeout := b.Span("path_prefixes." + strconv.Itoa(i) + ".client_timeout_us")
		if longest = max(longest, timeout); i == 0 || timeout < shortest {
			shortest = timeout
		}
	}
	return shortest, longest
}
