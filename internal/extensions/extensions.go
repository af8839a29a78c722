// Package extensions reads the optional TOML file that configures a sidecar's subsystems: membership,
// rollouts and bounded messages. Each subsystem has one table and is off if its table or the whole file is
// missing. docs/membership.md, docs/rollout.md and docs/messages.md describe the names.
package extensions

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"os"

	"ledgespread/decide/membership"
	"ledgespread/strict"
)

// Duration is a time span in microseconds, written in the file as a string such as "250ms".
type Duration membership.Micros

func (d *Duration) UnmarshalText(text []byte) error {
	micros, err := strict.Span(text)
	*d = Duration(micros)
	return err
}

// Rate is a number per second, written in the file as a string such as "200/s".
type Rate float64

func (r *Rate) UnmarshalText(text []byte) error {
	perSecond, err := strict.Rate(text)
	*r = Rate(perSecond)
	return err
}

// Extensions is the contents of the file. A table that the file lacks is nil.
type Extensions struct {
	Membership *Membership `toml:"membership"`
	Rollout    *Rollout    `toml:"rollout"`
	Messages   *Messages   `toml:"messages"`
}

// Messages is the [messages] table. It bounds the traffic of the messages with which sidecars exchange the
// state of servers and tenants. docs/messages.md describes the names.
type Messages struct {
	// BytesPerSecond is the maximum number of bytes per second, sent and received together, packet headers included.
	// If it is left out, this sidecar has no bound but understands the messages of sidecars that have one.
	BytesPerSecond Rate `toml:"bytes"`
}

// Rollout is the [rollout] table: configurations that members distribute among each other. docs/rollout.md
// describes the names.
type Rollout struct {
	Folder          string   `toml:"folder"`       // directory in which this sidecar stores the configurations
	PublishNetworks []string `toml:"publish_from"` // networks from which operators may publish to this sidecar; none if left out

	PublishPrefixes []netip.Prefix `toml:"-"` // PublishNetworks, parsed
}

// Membership is the [membership] table. docs/membership.md describes the names.
type Membership struct {
	Listen           string            `toml:"listen"`          // address for UDP datagrams and TCP connections
	Advertise        string            `toml:"advertise"`       // address at which other members reach this one; default: Listen
	Group            string            `toml:"group"`           // messages of other groups are dropped
	Seeds            []string          `toml:"seeds"`           // addresses of members through which this one joins
	SourceNetworks   []string          `toml:"from"`            // networks from which messages are accepted
	Zone             string            `toml:"zone"`            // default: the zone of the configuration file
	ProbeInterval    Duration          `toml:"probe_every"`     // interval between probes
	ExchangeInterval Duration          `toml:"exchange_every"`  // mean interval between exchanges of the full member table
	ForgetAfter      Duration          `toml:"forget"`          // how long dead members are kept in the table
	MaxMembers       int               `toml:"members_at_most"` // maximum size of the member table
	RatePerAddress   Rate              `toml:"per_address"`     // maximum messages per second from one address
	Reach            map[string]string `toml:"reach"`           // member name to address; overrides the address that the member advertises

	// The fields below are the parsed values of those above.

	SourcePrefixes []netip.Prefix                             `toml:"-"` // SourceNetworks
	ReachAddresses map[string]netip.AddrPort                  `toml:"-"` // Reach
	Addresses      struct{ Listen, Advertise netip.AddrPort } `toml:"-"`
	SeedAddresses  []netip.AddrPort                           `toml:"-"` // Seeds
}

// Defaults for values that the [membership] table leaves out.
const (
	defaultProbeInterval    Duration = 250_000
	defaultExchangeInterval          = 120 * defaultProbeInterval
	defaultForgetAfter      Duration = 600_000_000
	defaultMaxMembers                = 10_000
	defaultRatePerAddress   Rate     = 1000
)

// Valid ranges.
const (
	minProbeInterval, maxProbeInterval Duration = 20_000, 60_000_000
	minMessageBytes, maxMessageBytes   Rate     = 1000, 1_000_000 // per second
)

// ReadFile reads an extensions file. An empty file name yields Extensions without any table.
func ReadFile(file string) (*Extensions, error) {
	if file == "" {
		return &Extensions{}, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse parses and checks the contents of an extensions file and fills in the defaults. Errors have the form
// "file:line: name: reason".
func Parse(file string, text []byte) (*Extensions, error) {
	parsed := &Extensions{}
	if err := strict.Decode(file, text, parsed); err != nil {
		return nil, err
	}
	var err error
	if parsed.Membership != nil {
		err = parsed.Membership.normalize()
	}
	if parsed.Rollout != nil && err == nil {
		err = parsed.Rollout.normalize(parsed.Membership)
	}
	if parsed.Messages != nil && err == nil {
		err = parsed.Messages.validate()
	}
	if err != nil {
		var invalid *strict.Oddity
		errors.As(err, &invalid)
		return nil, invalid.In(file, text)
	}
	return parsed, nil
}

// setDefault sets *value to defaultValue if it is the zero value.
func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// normalize fills in defaults and parses addresses and networks. It returns a *strict.Oddity for the first
// invalid value.
func (m *Membership) normalize() error {
	var invalid *strict.Oddity
	table := "membership"
	check := func(ok bool, name, reason string, args ...any) {
		if !ok && invalid == nil {
			invalid = &strict.Oddity{Table: table, Name: name, Why: fmt.Sprintf(reason, args...)}
		}
	}
	parseAddress := func(name, text string, anyPort bool) netip.AddrPort {
		address, err := netip.ParseAddrPort(text)
		check(err == nil && address.IsValid(), name, "%q is no address, such as \"10.0.3.7:7946\"", text)
		check(err != nil || anyPort || address.Port() != 0, name, "%q has no port", text)
		return address
	}
	setDefault(&m.ProbeInterval, defaultProbeInterval)
	setDefault(&m.ExchangeInterval, defaultExchangeInterval/defaultProbeInterval*m.ProbeInterval)
	setDefault(&m.ForgetAfter, defaultForgetAfter)
	setDefault(&m.MaxMembers, defaultMaxMembers)
	setDefault(&m.RatePerAddress, defaultRatePerAddress)
	check(m.Listen != "", "listen", "is missing")
	m.Addresses.Listen = parseAddress("listen", m.Listen, false)
	if m.Addresses.Advertise = m.Addresses.Listen; m.Advertise != "" {
		m.Addresses.Advertise = parseAddress("advertise", m.Advertise, false)
	}
	check(invalid != nil || !m.Addresses.Advertise.Addr().IsUnspecified(), "advertise", "is missing, with listen at all addresses")
	check(m.Group != "", "group", "is missing")
	check(len(m.SourceNetworks) > 0, "from", "is missing: the networks that may speak, such as \"10.0.0.0/8\"")
	for _, text := range m.SourceNetworks {
		network, err := netip.ParsePrefix(text)
		check(err == nil, "from", "%q is not a network, such as \"10.0.0.0/8\"", text)
		m.SourcePrefixes = append(m.SourcePrefixes, network)
	}
	for _, text := range m.Seeds {
		m.SeedAddresses = append(m.SeedAddresses, parseAddress("seeds", text, false))
	}
	check(m.ProbeInterval >= minProbeInterval && m.ProbeInterval <= maxProbeInterval, "probe_every", "must be from 20ms to 1m")
	check(m.ExchangeInterval >= m.ProbeInterval, "exchange_every", "must not be less than probe_every")
	check(m.ForgetAfter >= 60*m.ProbeInterval, "forget", "must be 60 times probe_every at least")
	check(m.MaxMembers > 1 && m.MaxMembers <= 100_000, "members_at_most", "must be from 2 to 100000")
	check(m.RatePerAddress >= 1, "per_address", "must be 1/s at least")
	check(len(m.Zone) <= 24, "zone", "is longer than 24 bytes")
	table = "membership.reach"
	m.ReachAddresses = map[string]netip.AddrPort{}
	for name, text := range m.Reach {
		m.ReachAddresses[name] = parseAddress(name, text, false)
	}
	if invalid != nil {
		return invalid
	}
	return nil
}

// normalize parses the networks. It returns a *strict.Oddity for the first invalid value, or if there is no
// [membership] table.
func (r *Rollout) normalize(group *Membership) error {
	invalid := func(name, reason string) error {
		return &strict.Oddity{Table: "rollout", Name: name, Why: reason}
	}
	if group == nil {
		return invalid("folder", "members carry it: there is no [membership]")
	}
	if r.Folder == "" {
		return invalid("folder", "is missing: where this sidecar keeps configurations")
	}
	for _, text := range r.PublishNetworks {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return invalid("publish_from", fmt.Sprintf("%q is not a network, such as \"127.0.0.1/32\"", text))
		}
		r.PublishPrefixes = append(r.PublishPrefixes, network)
	}
	return nil
}

// validate returns a *strict.Oddity if the bound is out of range.
func (m *Messages) validate() error {
	if m.BytesPerSecond != 0 && m.BytesPerSecond < minMessageBytes || m.BytesPerSecond > maxMessageBytes {
		return &strict.Oddity{Table: "messages", Name: "bytes", Why: "must be from 1000/s to 1000000/s"}
	}
	return nil
}

// CheckFolder returns an error if no file can be created in the folder.
func (r *Rollout) CheckFolder() error {
	f, err := os.CreateTemp(r.Folder, ".rollout-*")
	if err != nil {
		return fmt.Errorf("rollout.folder: %w", err)
	}
	f.Close()
	return os.Remove(f.Name())
}

// CheckListen returns an error if the listen address is not available for TCP and UDP at present.
func (m *Membership) CheckListen() error {
	listener, err := net.Listen("tcp", m.Listen)
	if err != nil {
		return m.listenError(err)
	}
	defer listener.Close()
	conn, err := net.ListenPacket("udp", m.Listen)
	if err != nil {
		return m.listenError(err)
	}
	return conn.Close()
}

func (m *Membership) listenError(err error) error { return fmt.Errorf("membership.listen: %w", err) }

// ChangedTables returns the names of the tables that differ between a and b. A change of any of them takes effect
// only after a restart.
func ChangedTables(a, b *Extensions) (names []string) {
	if fmt.Sprintf("%+v", valueOrZero(a.Membership)) != fmt.Sprintf("%+v", valueOrZero(b.Membership)) {
		names = append(names, "membership")
	}
	if fmt.Sprintf("%+v", valueOrZero(a.Rollout)) != fmt.Sprintf("%+v", valueOrZero(b.Rollout)) {
		names = append(names, "rollout")
	}
	if fmt.Sprintf("%+v", valueOrZero(a.Messages)) != fmt.Sprintf("%+v", valueOrZero(b.Messages)) {
		names = append(names, "messages")
	}
	return names
}

// valueOrZero returns the table that the pointer refers to, or an empty one if it is nil.
func valueOrZero[T any](table *T) (value T) {
	if table != nil {
		value = *table
	}
	return value
}
