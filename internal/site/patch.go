package site

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
)

// A configuration for a whole fleet is a JSON merge patch (RFC 7396) that is applied to each sidecar's own
// file. What the patch does not name keeps the value of the sidecar's file, a list replaces the whole list,
// and null removes a name.

// ApplyPatch applies a merge patch to the contents of a configuration file. Both must be JSON objects.
func ApplyPatch(file, patch []byte) ([]byte, error) {
	var base, changes any
	if err := unmarshal(file, &base); err != nil {
		return nil, err
	}
	if err := unmarshal(patch, &changes); err != nil {
		return nil, err
	}
	return json.Marshal(merge(base, changes))
}

// unmarshal decodes a JSON text and keeps numbers exactly as they are written.
func unmarshal(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.UseNumber()
	return d.Decode(into)
}

// merge is the MergePatch function of RFC 7396.
func merge(base, changes any) any {
	patch, isObject := changes.(map[string]any)
	if !isObject {
		return changes
	}
	merged, _ := base.(map[string]any)
	if merged == nil {
		merged = map[string]any{}
	}
	for name, value := range patch {
		if value == nil {
			delete(merged, name)
			continue
		}
		merged[name] = merge(merged[name], value)
	}
	return merged
}

// CheckPatch checks the names of a patch. It returns an error with the file, the line and the reason if the patch
// is not a JSON object, repeats a name, contains a name that no code reads, or sets a value that belongs to a
// single sidecar. Without this check a misspelt name would have no effect and go unnoticed. others lists
// additional names that the outermost object may contain; their values are not checked.
func CheckPatch(file string, text []byte, others ...string) error {
	if !json.Valid(text) {
		var ignored json.RawMessage
		return WithPosition(file, text, json.Unmarshal(text, &ignored))
	}
	d := json.NewDecoder(bytes.NewReader(text))
	if first, _ := d.Token(); first != json.Delim('{') {
		return WithPosition(file, text, fieldErrorf("", "it is no object"))
	}
	if err := checkObject(d, "", others); err != nil {
		return WithPosition(file, text, err)
	}
	return nil
}

// checkObject checks the members of an object whose opening brace has been read, up to its closing brace.
// parent is the path of the object, empty for the outermost one.
func checkObject(decoder *json.Decoder, parent string, others []string) error {
	seen := map[string]bool{}
	for decoder.More() {
		key, err := decoder.Token()
		if err != nil {
			return err
		}
		name := fmt.Sprint(key)
		if parent != "" {
			name = parent + "." + name
		}
		if seen[name] {
			return fieldErrorf(name, "%s is there twice", name)
		}
		seen[name] = true
		isOther := false
		for _, other := range others {
			isOther = isOther || parent == "" && name == other
		}
		if isOther {
			var skipped json.RawMessage
			if err := decoder.Decode(&skipped); err != nil {
				return err
			}
			continue
		}
		if err := checkValue(decoder, name); err != nil {
			return err
		}
	}
	_, err := decoder.Token()
	return err
}

// checkValue checks the next value of d, whose path is name.
func checkValue(decoder *json.Decoder, name string) error {
	opening, err := decoder.Token()
	if err != nil {
		return err
	}
	switch opening {
	case json.Delim('{'):
		return checkObject(decoder, name, nil)
	case json.Delim('['):
		for i := 0; decoder.More(); i++ {
			if err := checkValue(decoder, name+"."+strconv.Itoa(i)); err != nil {
				return err
			}
		}
		_, err := decoder.Token()
		return err
	}
	switch rule := RuleFor(name); {
	case rule == nil:
		return fieldErrorf(name, "%s: nothing reads this name", name)
	case rule.Mode == StartOnly:
		return fieldErrorf(name, "%s is each sidecar's own: %s", name, rule.Reason)
	}
	return nil
}

// RestartError returns an error that names the first changed setting that takes effect only after a restart, or nil
// if there is none.
func (c Change) RestartError() error {
	if len(c.Restart) == 0 {
		return nil
	}
	name := c.Restart[0]
	return fieldErrorf(name, "%s needs a restart: %s", name, RuleFor(name).Reason)
}
