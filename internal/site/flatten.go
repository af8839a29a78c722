// Package site reads what a sidecar is told at its start.
package site

import (
	"encoding/json"
	"strconv"

	"ledgespread/brain"
)

// ours renames the wire's words, where the project has its own.
var ours = map[string]string{"idempotency_key": "tagged", "non_idempotent": "mutating"}

// Flatten turns the settings into plain names and values: {"a":{"b":[1]}} becomes "a.b.0": 1.
// How many items a list has stands under its own name.
func Flatten(text []byte) (brain.Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	site := brain.Settings{}
	var walk func(name string, v any)
	walk = func(name string, v any) {
		switch v := v.(type) {
		case map[string]any:
			for k, sub := range v {
				walk(name+"."+k, sub)
			}
		case []any:
			site[name] = float64(len(v))
			for i, sub := range v {
				walk(name+"."+strconv.Itoa(i), sub)
			}
		case string:
			if word, ok := ours[v]; ok {
				v = word
			}
			site[name] = v
		default:
			site[name] = v
		}
	}
	for k, sub := range tree {
		walk(k, sub)
	}
	return site, nil
}
