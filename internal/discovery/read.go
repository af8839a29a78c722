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

// wireEntry has the fields of an entry before their types are checked.
type wireEntry struct {
	Host    any `json:"host"`
	Address any `json:"dial"`
	Zone    any `json:"site"`
	Cell    any `json:"block"`
	Health  any `json:"health"`
	Share   any `json:"share"`
	Born    any `json:"born_ms"`
}

// standings maps the health values of the protocol to the state of a server.
var standings = map[string]brain.ServerState{"in_service": brain.Ready, "terminating": brain.Draining, "terminated": brain.Gone}

// microsPerMilli converts the protocol's milliseconds.
const microsPerMilli = 1000

// maxExactInteger is the largest integer up to which a JSON number, decoded as a float64, is exact.
const maxExactInteger = 1 << 53

// Errors of an answer or of one of its entries.
var (
	errNotObject = errors.New("it is no object")
	errTrailing  = errors.New("something follows the list")
	errNoServer  = errors.New("hosts holds something that is no server")
	errVersion   = errors.New("seq is no whole number")
	errHealth    = errors.New("health is missing or unknown")
	errZone      = errors.New("site is missing or unknown")
)

func errField(name string) error { return fmt.Errorf("%s is missing or malformed", name) }

// listReader decodes one answer, field by field.
type listReader struct {
	decoder  *json.Decoder
	zones    map[string]int
	list     *List
	version  any
	isWhole  any
	hasHosts bool
	hosts    map[brain.ServerID]string // names of the servers read so far
}

// Read decodes an answer of discovery. zones maps the names of the known zones to their numbers. A malformed
// answer is an error. An entry whose server cannot be used is returned in List.Unusable and does not affect
// the others: a new server in a zone that is unknown here must not hide that other servers drain.
func Read(text []byte, zones map[string]int) (*List, error) {
	r := &listReader{decoder: json.NewDecoder(bytes.NewReader(text)), zones: zones, list: &List{}, hosts: map[brain.ServerID]string{}}
	if err := r.readObject(); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, fmt.Errorf("at byte %d: %w", r.decoder.InputOffset(), err)
	}
	return r.result()
}

// readObject reads the answer, which must be exactly one JSON object.
func (r *listReader) readObject() error {
	if token, err := r.decoder.Token(); err != nil {
		return err
	} else if token != json.Delim('{') {
		return errNotObject
	}
	for r.decoder.More() {
		if err := r.readField(); err != nil {
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

// readField reads one name and its value. Unknown fields are ignored.
func (r *listReader) readField() error {
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
		return r.readHosts()
	}
	var other any
	return r.decoder.Decode(&other)
}

// readHosts reads the entries. It accepts null as an empty list, since some services encode it that way.
func (r *listReader) readHosts() error {
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
		r.addEntry(fields)
	}
	_, err = r.decoder.Token()
	return err
}

// addEntry adds an entry to the list, or to its unusable entries.
func (r *listReader) addEntry(fields wireEntry) {
	host, _ := fields.Host.(string)
	if host == "" {
		r.list.Unusable = append(r.list.Unusable, Unusable{Err: errField("host")})
		return
	}
	id := ServerID(host)
	if other, taken := r.hosts[id]; taken && other != host {
		r.list.Unusable = append(r.list.Unusable, Unusable{Err: fmt.Errorf("%s and %s share an id", other, host)})
		return
	}
	r.hosts[id] = host
	entry, err := fields.decode(r.zones)
	if err != nil {
		gone := fields.Health == "terminated"
		r.list.Unusable = append(r.list.Unusable, Unusable{Host: host, Gone: gone, Err: fmt.Errorf("%s: %w", host, err)})
		return
	}
	entry.ID = id
	entry.Host = host
	r.list.Entries = append(r.list.Entries, entry)
}

// decode checks all fields but the name and returns them as an Entry.
func (w wireEntry) decode(zones map[string]int) (entry Entry, err error) {
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
	cell, ok := toInteger(w.Cell)
	if !ok {
		return entry, errField("block")
	}
	entry.Cell = brain.Cell(cell)
	if entry.Weight, ok = w.Share.(float64); !ok {
		return entry, errField("share")
	}
	born, ok := w.Born.(float64)
	if !ok {
		return entry, errField("born_ms")
	}
	entry.Started = brain.Micros(born * microsPerMilli)
	return entry, nil
}

// result returns the list, or an error if a required field is missing or malformed.
func (r *listReader) result() (*List, error) {
	if _, ok := r.version.(float64); !ok {
		return nil, errField("seq")
	}
	version, ok := toInteger(r.version)
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

// toInteger converts a decoded JSON value to an integer. ok is false if it is not one that a float64 holds
// exactly.
func toInteger(value any) (number uint64, ok bool) {
	float, ok := value.(float64)
	if !ok || float < 0 || float > maxExactInteger || float != math.Trunc(float) {
		return 0, false
	}
	return uint64(float), true
}
