// Package site reads and checks a sidecar's configuration file: its addresses, its resource limits and the
// settings of its deployment. It also computes which changes a running sidecar can apply without a restart,
// applies merge patches, and converts old files with Migrate.
//
// Some settings have names of their own for common terms: "balancers" is the number of sidecars and "me" the
// index of this one, "azs" lists the zones, "path_prefixes" the request classes and "realms" the tenants.
package site

import (
	"encoding/json"
	"strconv"

	"ledgespread/brain"
)

// valueAliases maps string values of the configuration file to the names that package brain uses.
var valueAliases = map[string]string{"idempotency_key": "tagged", "non_idempotent": "mutating"}

// Flatten converts the settings, a JSON object, to a flat map with dotted names: {"a":{"b":[1]}} becomes
// {"a.b": 1, "a.b.0": 1}. The entry with a list's own name holds the length of the list.
func Flatten(text []byte) (brain.Settings, error) {
	var tree map[string]any
	if err := json.Unmarshal(text, &tree); err != nil {
		return nil, err
	}
	settings := brain.Settings{}
	var flatten func(name string, value any)
	flatten = func(name string, value any) {
		switch value := value.(type) {
		case map[string]any:
			for key, child := range value {
				flatten(name+"."+key, child)
			}
		case []any:
			settings[name] = float64(len(value))
			for i, child := range value {
				flatten(name+"."+strconv.Itoa(i), child)
			}
		case string:
			if alias, ok := valueAliases[value]; ok {
				value = alias
			}
			settings[name] = value
		default:
			settings[name] = value
		}
	}
	for key, child := range tree {
		flatten(key, child)
	}
	return settings, nil
}
