// Package extensions reads what a sidecar is fitted with beside the platform's file: one TOML file, one table a subsystem. No
// file, or no table: nothing of it runs. docs/membership.md has the names.
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

// Span is a duration such as "250ms".
type Span membership.Micros

func (s *Span) UnmarshalText(text []byte) error {
	micros, err := strict.Span(text)
	*s = Span(micros)
	return err
}

// Rate is a number a second, such as "200/s".
type Rate float64

func (r *Rate) UnmarshalText(text []byte) error {
	x, err := strict.Rate(text)
	*r = Rate(x)
	return err
}

// Extensions is one file.
type Extensions struct {
	Membership *Membership `toml:"membership"`
	Rollout    *Rollout    `toml:"rollout"`
	Messages   *Messages   `toml:"messages"`
}

// Messages is its table: what sidecars tell each other of servers and tenants, within a bound. docs/messages.md has the names.
type Messages struct {
	Bytes Rate `toml:"bytes"` // a second, in and out, heads counted; left out: none, but those of sidecars with a bound are understood
}

// Rollout is its table: configurations that members carry. docs/rollout.md has the names.
type Rollout struct {
	Folder  string   `toml:"folder"`       // where this sidecar keeps them
	Publish []string `toml:"publish_from"` // networks from which staff may publish here; left out: none, it is no control machine

	Networks []netip.Prefix `toml:"-"`
}

// Membership is its table.
type Membership struct {
	Listen    string            `toml:"listen"`    // for datagrams and connections
	Advertise string            `toml:"advertise"` // where others reach it; left out: listen
	Group     string            `toml:"group"`
	Seeds     []string          `toml:"seeds"`
	From      []string          `toml:"from"` // networks that may speak
	Zone      string            `toml:"zone"`
	Every     Span              `toml:"probe_every"`
	Exchange  Span              `toml:"exchange_every"`
	Forget    Span              `toml:"forget"`
	Most      int               `toml:"members_at_most"`
	PerSource Rate              `toml:"per_address"` // messages a second from one address
	Reach     map[string]string `toml:"reach"`       // where this member reaches others by name, over what they say

	Networks []netip.Prefix                             `toml:"-"`
	Book     map[string]netip.AddrPort                  `toml:"-"`
	At       struct{ Listen, Advertise netip.AddrPort } `toml:"-"`
	SeedsAt  []netip.AddrPort                           `toml:"-"`
}

// What holds where the table leaves it out.
const (
	usualEvery     Span = 250_000
	usualExchange       = 120 * usualEvery
	usualForget    Span = 600_000_000
	usualMost           = 10_000
	usualPerSource Rate = 1000

	leastEvery, mostEvery Span = 20_000, 60_000_000
	leastBytes, mostBytes Rate = 1000, 1_000_000
)

// Read takes a file; "" gives no extensions.
func Read(file string) (*Extensions, error) {
	if file == "" {
		return &Extensions{}, nil
	}
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	return Parse(file, text)
}

// Parse takes the bytes of a file.
func Parse(file string, text []byte) (*Extensions, error) {
	f := &Extensions{}
	if err := strict.Decode(file, text, f); err != nil {
		return nil, err
	}
	var err error
	if f.Membership != nil {
		err = f.Membership.possible()
	}
	if f.Rollout != nil && err == nil {
		err = f.Rollout.possible(f.Membership)
	}
	if f.Messages != nil && err == nil {
		err = f.Messages.possible()
	}
	if err != nil {
		var odd *strict.Oddity
		errors.As(err, &odd)
		return nil, odd.In(file, text)
	}
	return f, nil
}

func either[T comparable](x *T, usual T) {
	var zero T
	if *x == zero {
		*x = usual
	}
}

// possible fills in what was left out, and tells what can't be.
func (m *Membership) possible() error {
	var odd *strict.Oddity
	table := "membership"
	check := func(ok bool, name, why string, values ...any) {
		if !ok && odd == nil {
			odd = &strict.Oddity{Table: table, Name: name, Why: fmt.Sprintf(why, values...)}
		}
	}
	address := func(name, text string, free bool) netip.AddrPort {
		at, err := netip.ParseAddrPort(text)
		check(err == nil && at.IsValid(), name, "%q is no address, such as \"10.0.3.7:7946\"", text)
		check(err != nil || free || at.Port() != 0, name, "%q has no port", text)
		return at
	}
	either(&m.Every, usualEvery)
	either(&m.Exchange, usualExchange/usualEvery*m.Every)
	either(&m.Forget, usualForget)
	either(&m.Most, usualMost)
	either(&m.PerSource, usualPerSource)
	check(m.Listen != "", "listen", "is missing")
	m.At.Listen = address("listen", m.Listen, false)
	if m.At.Advertise = m.At.Listen; m.Advertise != "" {
		m.At.Advertise = address("advertise", m.Advertise, false)
	}
	check(odd != nil || !m.At.Advertise.Addr().IsUnspecified(), "advertise", "is missing, with listen at all addresses")
	check(m.Group != "", "group", "is missing")
	check(len(m.From) > 0, "from", "is missing: the networks that may speak, such as \"10.0.0.0/8\"")
	for _, text := range m.From {
		network, err := netip.ParsePrefix(text)
		check(err == nil, "from", "%q is no network, such as \"10.0.0.0/8\"", text)
		m.Networks = append(m.Networks, network)
	}
	for _, text := range m.Seeds {
		m.SeedsAt = append(m.SeedsAt, address("seeds", text, false))
	}
	check(m.Every >= leastEvery && m.Every <= mostEvery, "probe_every", "must be from 20ms to 1m")
	check(m.Exchange >= m.Every, "exchange_every", "must not be under probe_every")
	check(m.Forget >= 60*m.Every, "forget", "must be 60 times probe_every at least")
	check(m.Most > 1 && m.Most <= 100_000, "members_at_most", "must be from 2 to 100000")
	check(m.PerSource >= 1, "per_address", "must be 1/s at least")
	check(len(m.Zone) <= 24, "zone", "is longer than 24 bytes")
	table = "membership.reach"
	m.Book = map[string]netip.AddrPort{}
	for name, text := range m.Reach {
		m.Book[name] = address(name, text, false)
	}
	if odd != nil {
		return odd
	}
	return nil
}

// possible tells what can't be.
func (r *Rollout) possible(group *Membership) error {
	odd := func(name, why string) error { return &strict.Oddity{Table: "rollout", Name: name, Why: why} }
	if group == nil {
		return odd("folder", "members carry it: there is no [membership]")
	}
	if r.Folder == "" {
		return odd("folder", "is missing: where this sidecar keeps configurations")
	}
	for _, text := range r.Publish {
		network, err := netip.ParsePrefix(text)
		if err != nil {
			return odd("publish_from", fmt.Sprintf("%q is no network, such as \"127.0.0.1/32\"", text))
		}
		r.Networks = append(r.Networks, network)
	}
	return nil
}

// possible tells what can't be.
func (m *Messages) possible() error {
	if m.Bytes != 0 && m.Bytes < leastBytes || m.Bytes > mostBytes {
		return &strict.Oddity{Table: "messages", Name: "bytes", Why: "must be from 1000/s to 1000000/s"}
	}
	return nil
}

// Usable tells whether its folder can be written to.
func (r *Rollout) Usable() error {
	f, err := os.CreateTemp(r.Folder, ".rollout-*")
	if err != nil {
		return fmt.Errorf("rollout.folder: %w", err)
	}
	f.Close()
	return os.Remove(f.Name())
}

// Free tells whether its address can be taken now.
func (m *Membership) Free() error {
	ln, err := net.Listen("tcp", m.Listen)
	if err != nil {
		return m.taken(err)
	}
	defer ln.Close()
	c, err := net.ListenPacket("udp", m.Listen)
	if err != nil {
		return m.taken(err)
	}
	return c.Close()
}

func (m *Membership) taken(err error) error { return fmt.Errorf("membership.listen: %w", err) }

// Differ names the tables that differ between two files; each needs a restart.
func Differ(a, b *Extensions) (names []string) {
	if fmt.Sprintf("%+v", deref(a.Membership)) != fmt.Sprintf("%+v", deref(b.Membership)) {
		names = append(names, "membership")
	}
	if fmt.Sprintf("%+v", deref(a.Rollout)) != fmt.Sprintf("%+v", deref(b.Rollout)) {
		names = append(names, "rollout")
	}
	if fmt.Sprintf("%+v", deref(a.Messages)) != fmt.Sprintf("%+v", deref(b.Messages)) {
		names = append(names, "messages")
	}
	return names
}

func deref[T any](table *T) (x T) {
	if table != nil {
		x = *table
	}
	return x
}
