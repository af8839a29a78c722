package scenario

// names.go resolves the targets of a fault, which a scenario gives as a name, a list of names or a fraction.

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
)

// BackendNames returns the names of all backends in order: b0, b1, …
func (s *Scenario) BackendNames() (names []string) {
	for _, group := range s.Backends {
		for range group.Count {
			names = append(names, "b"+strconv.Itoa(len(names)))
		}
	}
	return names
}

// SidecarNames returns the names of all sidecars in order: n0, n1, …
func (s *Scenario) SidecarNames() (names []string) {
	for i := range s.Sidecars.Count {
		names = append(names, "n"+strconv.Itoa(i))
	}
	return names
}

// checkTargets checks that a target selection is a known name, a list of known names, or a fraction over 0 and at most 1.
func (s *Scenario) checkTargets(selection any, names []string) error {
	switch target := selection.(type) {
	case string:
		if !slices.Contains(names, target) {
			return fmt.Errorf("there is no %q", target)
		}
	case float64:
		if !(target > 0 && target <= 1) {
			return errors.New("a fraction must be over 0 and at most 1")
		}
	case int64:
		if target != 1 {
			return errors.New("a fraction must be over 0 and at most 1")
		}
	case []any:
		for _, element := range target {
			name, ok := element.(string)
			if !ok || !slices.Contains(names, name) {
				return fmt.Errorf("there is no %v", element)
			}
		}
	default:
		return fmt.Errorf("%v is neither a name, a list of names nor a fraction", target)
	}
	return nil
}

// SelectTargets returns the names that a valid target selection stands for. A fraction below 1 takes that share of the
// names, at least one, from the head of shuffled; names and shuffled hold the same names.
func SelectTargets(selection any, names, shuffled []string) []string {
	switch target := selection.(type) {
	case string:
		return []string{target}
	case float64:
		return shuffled[:max(1, int(target*float64(len(shuffled))+0.5))]
	case int64:
		return names
	case []any:
		var out []string
		for _, element := range target {
			out = append(out, element.(string))
		}
		return out
	}
	return nil
}
