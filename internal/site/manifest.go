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

// Manifest is a parsed configuration file: the sidecar's addresses, its resource limits and the settings of
// its deployment.
type Manifest struct {
	Name, Listen, Discovery string
	Seed                    uint64  // of the random number generators
	Cores                   float64 // number of CPU cores that the process may use
	MemoryMB, Sockets       int     // limits of the process
	StreamsPerConnection    int     // allowed.multiplex as configured, at least 1; connections still carry one request at a time
	PeerListen              string
	Console                 string           // listen address of the operators' console; empty for no console
	Peers                   []netip.AddrPort // addresses of all sidecars, indexed by sidecar number
	SavedList               []byte           // the last saved server list, in the format of the discovery service
	Settings                brain.Settings
}

// ReadFile reads and parses a configuration file. It returns an error that names whatever is missing or
// malformed: a sidecar must not start with an incomplete configuration.
func ReadFile(file string) (*Manifest, error) {
	if file == "" {
		return nil, errors.New("no configuration file: RELAY_CONFIG is not set")
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return ParseFile(file, text)
}

// ParseFile parses the contents of a configuration file like Parse. Errors have the form "file:line: reason". If
// the file sets no console address, the environment variable RELAY_CONSOLE does.
func ParseFile(file string, text []byte) (*Manifest, error) {
	m, err := Parse(text)
	if err != nil {
		return nil, WithPosition(file, text, err)
	}
	if console := os.Getenv("RELAY_CONSOLE"); m.Console == "" && console != "" {
		if _, err := netip.ParseAddrPort(console); err != nil {
			return nil, fmt.Errorf("RELAY_CONSOLE: %w", err)
		}
		m.Console = console
	}
	return m, nil
}

// Parse parses and checks the contents of a configuration file. Use WithPosition to add the file and line to its
// errors.
func Parse(text []byte) (*Manifest, error) {
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	m := &Manifest{SavedList: tree["known"]}
	if err := m.readFields(tree); err != nil {
		return nil, err
	}
	if err := m.checkAddresses(); err != nil {
		return nil, err
	}
	if err := m.readSettings(tree); err != nil {
		return nil, err
	}
	if m.SavedList == nil {
		return nil, errors.New("known is missing")
	}
	return m, nil
}

// readFields reads the top-level fields other than "settings" and "known".
func (m *Manifest) readFields(tree map[string]json.RawMessage) (err error) {
	var seed string
	var peers []string
	var limits map[string]float64
	for _, field := range []struct {
		name     string
		required bool
		into     any
	}{
		{"name", true, &m.Name}, {"listen", true, &m.Listen}, {"discovery", true, &m.Discovery},
		{"seed", true, &seed}, {"limits", true, &limits}, {"peer_listen", false, &m.PeerListen}, {"console", false, &m.Console},
		{"peers", false, &peers},
	} {
		raw, present := tree[field.name]
		switch {
		case !present && field.required:
			return fmt.Errorf("%s is missing", field.name)
		case present:
			if err := json.Unmarshal(raw, field.into); err != nil {
				return fieldErrorf(field.name, "%s: %w", field.name, err)
			}
		}
	}
	if m.Seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return fieldErrorf("seed", "seed: %w", err)
	}
	for _, limit := range []string{"cores", "memory_mb", "sockets"} {
		if !(limits[limit] > 0) {
			return fieldErrorf("limits."+limit, "limits.%s is missing", limit)
		}
	}
	m.Cores, m.MemoryMB, m.Sockets = limits["cores"], int(limits["memory_mb"]), int(limits["sockets"])
	for i, peer := range peers {
		address, err := netip.ParseAddrPort(peer)
		if err != nil {
			return fieldErrorf("peers."+strconv.Itoa(i), "peers.%d: %w", i, err)
		}
		m.Peers = append(m.Peers, address)
	}
	return nil
}

// checkAddresses returns an error for the first required address that is missing or any address that is
// malformed.
func (m *Manifest) checkAddresses() error {
	for _, field := range []struct {
		name, address string
		required      bool
	}{
		{"listen", m.Listen, true}, {"discovery", m.Discovery, true},
		{"peer_listen", m.PeerListen, false}, {"console", m.Console, false},
	} {
		if _, err := netip.ParseAddrPort(field.address); err != nil && (field.address != "" || field.required) {
			return fieldErrorf(field.name, "%s: %w", field.name, err)
		}
	}
	return nil
}

// readSettings reads and validates the "settings" object.
func (m *Manifest) readSettings(tree map[string]json.RawMessage) (err error) {
	settings, present := tree["settings"]
	if !present {
		return errors.New("settings is missing")
	}
	if m.Settings, err = Flatten(settings); err != nil {
		return fieldErrorf("settings", "settings: %w", err)
	}
	if name, err := validateSettings(m.Settings); err != nil {
		return fieldErrorf("settings."+name, "settings: %w", err)
	}
	// A connection carries one request at a time. With the configured value, package brain would count on
	// capacity for concurrent requests that a connection does not have.
	m.StreamsPerConnection = int(max(m.Number("allowed.multiplex"), 1))
	if _, present := m.Settings["allowed.multiplex"]; present {
		m.Settings["allowed.multiplex"] = 1.0
	}
	return nil
}

// Micros returns a numeric setting as a duration in whole microseconds, or 0 if it is not set.
func (m *Manifest) Micros(name string) brain.Micros { return brain.Micros(m.Number(name)) }

// Number returns a numeric setting, or 0 if it is not set.
func (m *Manifest) Number(name string) float64 { f, _ := m.Settings[name].(float64); return f }

// IndexesByName maps the names of the items of a list setting to their indexes: if "realms.3.name" is "x", it maps
// "x" to 3. An item that is a plain string is its own name.
func (m *Manifest) IndexesByName(list string) map[string]int {
	indexes := map[string]int{}
	for i := range int(m.Number(list)) {
		item := list + "." + strconv.Itoa(i)
		if name, ok := m.Settings[item].(string); ok {
			indexes[name] = i
		} else if name, ok := m.Settings[item+".name"].(string); ok {
			indexes[name] = i
		}
	}
	return indexes
}

// ClientTimeouts returns the shortest and the longest client timeout of all request classes.
func (m *Manifest) ClientTimeouts() (shortest, longest brain.Micros) {
	for i := range int(m.Number("path_prefixes")) {
		timeout := m.Micros("path_prefixes." + strconv.Itoa(i) + ".client_timeout_us")
		if longest = max(longest, timeout); i == 0 || timeout < shortest {
			shortest = timeout
		}
	}
	return shortest, longest
}
