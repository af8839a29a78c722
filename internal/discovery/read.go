package discovery

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/netip"

	"ledgespread/brain"
)

// wireEntry has an entry's fields as they come, of whatever type.
type wireEntry struct {
	Host    any `json:"host"`
	Address any `json:"dial"`
	Zone    any `json:"site"`
	Cell    any `json:"block"`
	Health  any `json:"health"`
	Share   any `json:"share"`
	Born    any `json:"born_ms"`
}

// standings are the states of a server, as the wire calls them.
var standings = map[string]brain.Standing{"in_service": brain.Ready, "terminating": brain.Draining, "terminated": brain.Gone}

// A whole number of the wire is exact up to here.
const mostWhole = 1 << 53

// Why an answer, or an entry of it, can't be read.
var (
	errNotObject = errors.New("it is no object")
	errTrailing  = errors.New("something follows the list")
	errNoServer  = errors.New("hosts holds something that is no server")
	errVersion   = errors.New("seq is no whole number")
	errHealth    = errors.New("health is missing or unknown")
	errZone      = errors.New("site is missing or unknown")
)

func errField(name string) error { return fmt.Errorf("%s is missing or malformed", name) }

// listReader reads one answer, field by field.
type listReader struct {
	decoder  *json.Decoder
	zones    map[string]int
	list     *List
	version  any
	isWhole  any
	hasHosts bool
	names    map[brain.ServerID]string // of the entries read so far
}

// Read decodes an answer. What can't be read at all is an error. An entry by which its server can't be used is set apart and doesn't keep the
// others from being read: one new machine in a zone that is unknown here must not hide which servers drain.
func Read(text []byte, zones map[string]int) (*List, error) {
	r := &listReader{decoder: json.NewDecoder(bytes.NewReader(text)), zones: zones, list: &List{}, names: map[brain.ServerID]string{}}
	if err := r.object(); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("at byte %d: %w", r.decoder.InputOffset(), err)
	}
	return r.result()
}

// object reads the text, which holds one object and no more.
func (r *listReader) object() error {
	if token, err := r.decoder.Token(); err != nil {
		return err
	} else if token != json.Delim('{') {
		return errNotObject
	}
	for r.decoder.More() {
		if err := r.field(); err != nil {
			return err
		}
	}
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	if _, err := r.decoder.Token(); err != io.EOF {
		return errTrailing
	}
	return nil
}

// field reads one name and its value. What nobody asks for is passed over.
func (r *listReader) field() error {
	name, err := r.decoder.Token()
	if err != nil {
		return err
	}
	switch name {
	case "seq":
		return r.decoder.Decode(&r.version)
	case "whole":
		return r.decoder.Decode(&r.isWhole)
	case "hosts":
		return r.hosts()
	}
	var other any
	return r.decoder.Decode(&other)
}

// hosts reads the entries; null stands for none, as some services write a list that is empty.
func (r *listReader) hosts() error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	r.hasHosts = true
	if token == nil {
		return nil
	}
	if token != json.Delim('[') {
		return errField("hosts")
	}
	for r.decoder.More() {
		var fields wireEntry
		err := r.decoder.Decode(&fields)
		if mistyped := (*json.UnmarshalTypeError)(nil); errors.As(err, &mistyped) {
			r.list.Unusable = append(r.list.Unusable, Unusable{Err: errNoServer})
			continue
		}
		if err != nil {
			return err
		}
		r.entry(fields)
	}
	_, err = r.decoder.Token()
	return err
}

// entry takes one in, or sets it apart.
func (r *listReader) entry(fields wireEntry) {
	host, _ := fields.Host.(string)
	if host == "" {
		r.list.Unusable = append(r.list.Unusable, Unusable{Err: errField("host")})
		return
	}
	id := ID(host)
	if other, taken := r.names[id]; taken && other != host {
		r.list.Unusable = append(r.list.Unusable, Unusable{Err: fmt.Errorf("%s and %s share an id", other, host)})
		return
	}
	r.names[id] = host
	entry, err := fields.entry(r.zones)
	if err != nil {
		gone := fields.Health == "terminated"
		r.list.Unusable = append(r.list.Unusable, Unusable{Host: host, Gone: gone, Err: fmt.Errorf("%s: %w", host, err)})
		return
	}
	entry.ID = id
	entry.Host = host
	r.list.Entries = append(r.list.Entries, entry)
}

// entry reads all but the name.
func (w wireEntry) entry(zones map[string]int) (entry Entry, err error) {
	entry.Address, _ = w.Address.(string)
	if _, err := netip.ParseAddrPort(entry.Address); err != nil {
		return entry, err
	}
	name, _ := w.Zone.(string)
	zone, known := zones[name]
	if !known {
		return entry, errZone
	}
	entry.Zone = brain.Zone(zone)
	health, _ := w.Health.(string)
	standing, known := standings[health]
	if !known {
		return entry, errHealth
	}
	entry.Standing = standing
	cell, ok := wholeNumber(w.Cell)
	if !ok {
		return entry, errField("block")
	}
	entry.Cell = brain.Cell(cell)
	if entry.Rating, ok = w.Share.(float64); !ok {
		return entry, errField("share")
	}
	born, ok := w.Born.(float64)
	if !ok {
		return entry, errField("born_ms")
	}
	entry.Started = brain.Micros(born * 1000)
	return entry, nil
}

// result is the list, if all of it was there.
func (r *listReader) result() (*List, error) {
	if _, ok := r.version.(float64); !ok {
		return nil, errField("seq")
	}
	version, ok := wholeNumber(r.version)
	if !ok {
		return nil, errVersion
	}
	whole, ok := r.isWhole.(bool)
	if !ok {
		return nil, errField("whole")
	}
	if !r.hasHosts {
		return nil, errField("hosts")
	}
	r.list.Version = version
	r.list.Whole = whole
	return r.list, nil
}

// wholeNumber is a value of the wire as one, if it is.
func wholeNumber(value any) (number uint64, ok bool) {
	float, ok := value.(float64)
	if !ok || float < 0 || float > mostWhole || float != math.Trunc(float) {
		return 0, false
	}
	return uint64(float), true
}
