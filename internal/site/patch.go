package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// A configuration for a whole fleet is a JSON merge patch (RFC 7396) over each sidecar's own file: what it does not name stays each one's
// own; a list counts whole; null takes a name away.

// Over lays a patch over a file's bytes. Both are JSON objects.
func Over(file, patch []byte) ([]byte, error) {
	var base, over any
	if err := unmarshal(file, &base); err != nil {
		return nil, err
	}
	if err := unmarshal(patch, &over); err != nil {
		return nil, err
	}
	return json.Marshal(merged(base, over))
}

// unmarshal keeps numbers as they are written.
func unmarshal(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d.Decode(into)
}

func merged(base, over any) any {
	patch, object := over.(map[string]any)
	if !object {
		return over
	}
	out, _ := base.(map[string]any)
	if out == nil {
		out = map[string]any{}
	}
	for name, value := range patch {
		if value == nil {
			delete(out, name)
			continue
		}
		out[name] = merged(out[name], value)
	}
	return out
}

// Strict reads a patch, whose only names besides those of a file are others (of the outermost object). A name that nothing reads, one that is
// there twice, or what is no object is an error with the file, the line and the reason. A name that is
// misspelt would do nothing anywhere.
func Strict(file string, text []byte, others ...string) error {
	if !json.Valid(text) {
		var any json.RawMessage
		return In(file, text, json.Unmarshal(text, &any))
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if first, _ := d.Token(); first != json.Delim('{') {
		return In(file, text, odd("", "it is no object"))
	}
	if err := strictly(d, "", others); err != nil {
		return In(file, text, err)
	}
	return nil
}

// strictly walks the rest of an object that was opened.
func strictly(d *json.Decoder, under string, others []string) error {
	seen := map[string]bool{}
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(key)
		if under != "" {
			name = under + "." + name
		}
		if seen[name] {
			return odd(name, "%s is there twice", name)
		}
		seen[name] = true
		other := false
		for _, x := range others {
			other = other || under == "" && name == x
		}
		if other {
			var skipped json.RawMessage
			if err := d.Decode(&skipped); err != nil {
				return err
			}
			continue
		}
		if err := value(d, name); err != nil {
			return err
		}
	}
	_, err := d.Token()
	return err
}

func value(d *json.Decoder, name string) error {
	begin, err := d.Token()
	if err != nil {
		return err
	}
	switch begin {
	case json.Delim('{'):
		return strictly(d, name, nil)
	case json.Delim('['):
		for i := 0; d.More(); i++ {
			if err := value(d, name+"."+strconv.Itoa(i)); err != nil {
				return err
			}
		}
		_, err := d.Token()
		return err
	}
	switch r := Of(name); {
	case r == nil:
		return odd(name, "%s: nothing reads this name", name)
	case r.When == StartOnly:
		return odd(name, "%s is each sidecar's own: %s", name, r.Why)
	}
	return nil
}

// Needs is an error that names the first of what needs a restart; nil: nothing does.
func (c Change) Needs() error {
	if len(c.Restart) == 0 {
		return nil
	}
	name := c.Restart[0]
	return odd(name, "%s needs a restart: %s", name, Of(name).Why)
}
