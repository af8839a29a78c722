package rollouts

// content.go: parsing and validation of fleet configurations, and their merge with the sidecar's own file.

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"ledgespread/decide/rollout"
	"ledgespread/internal/reload"
	"ledgespread/internal/site"
)

// MaxContentBytes is the maximum size of a configuration in bytes.
const MaxContentBytes = 1 << 20

const (
	rolloutField = "rollout" // the top-level field of a configuration that controls its rollout; it is not merged
	defaultFirst = 5
	defaultWatch = 1500 * time.Millisecond
	maxFirst     = 100
	minWatch     = 100 * time.Millisecond
	maxWatch     = time.Hour
)

// Overlay merges fleet configurations, as JSON merge patches (RFC 7396), into this sidecar's own file in its latest
// accepted version.
type Overlay struct {
	base    *site.Manifest // with which the sidecar started
	ownFile atomic.Pointer[[]byte]
}

// NewOverlay returns an Overlay for a sidecar that started with the manifest base and the own file with these bytes.
func NewOverlay(base *site.Manifest, ownFile []byte) *Overlay {
	o := &Overlay{base: base}
	o.ownFile.Store(&ownFile)
	return o
}

// ParseAndMerge parses a configuration strictly. It returns how the configuration is to be rolled out, and the
// sidecar's file with the configuration merged into it. A configuration that is malformed, with which the sidecar
// couldn't start, or that needs a restart is an error with the name, the line and the reason.
func (o *Overlay) ParseAndMerge(from string, text []byte) (path rollout.CanaryPolicy, merged []byte, err error) {
	defer func() {
		// A panic over an unforeseen configuration must not end the sidecar.
		if panicked := recover(); panicked != nil {
			err = fmt.Errorf("%s:1: it crashed over it: %v", from, panicked)
		}
	}()
	if len(text) > MaxContentBytes {
		return path, nil, fmt.Errorf("%s:1: it is longer than %d bytes", from, MaxContentBytes)
	}
	if err := site.CheckPatch(from, text, rolloutField); err != nil {
		return path, nil, err
	}
	if path, err = parsePath(text); err != nil {
		return path, nil, site.WithPosition(from, text, err)
	}
	if merged, err = o.mergeOver(text); err != nil {
		return path, nil, site.WithPosition(from, text, fieldError(err))
	}
	next, err := site.ParseFile(from, merged)
	if err == nil {
		err = reload.CheckStart(next)
	}
	if err == nil {
		err = o.checkRestart(next)
	}
	if err != nil {
		return path, nil, site.WithPosition(from, text, fieldError(err))
	}
	return path, merged, nil
}

// checkRestart returns an error if a configuration changes a setting that needs a restart. Settings that the sidecar's
// own file has changed since the start are not held against the configuration.
func (o *Overlay) checkRestart(next *site.Manifest) error {
	_, change := o.base.MergeLive(next)
	if own, err := site.ParseFile("", *o.ownFile.Load()); err == nil {
		_, ownChange := o.base.MergeLive(own)
		change.Restart = slices.DeleteFunc(change.Restart, func(name string) bool { return slices.Contains(ownChange.Restart, name) })
	}
	return change.RestartError()
}

// fieldError strips the position from an error. It is a position in the merged file, which no operator can look at.
func fieldError(err error) error {
	var invalid *site.FieldError
	if errors.As(err, &invalid) {
		return invalid
	}
	return err
}

// mergeOver returns the sidecar's own file with a configuration merged into it.
func (o *Overlay) mergeOver(text []byte) ([]byte, error) {
	return site.ApplyPatch(*o.ownFile.Load(), withoutRolloutField(text))
}

// withoutRolloutField returns a configuration without its rollout field.
func withoutRolloutField(text []byte) []byte {
	var tree map[string]json.RawMessage
	if json.Unmarshal(text, &tree) != nil {
		return text
	}
	delete(tree, rolloutField)
	rest, _ := json.Marshal(tree)
	return rest
}

// parsePath reads the rollout field of a configuration, with defaults for what it leaves out.
func parsePath(text []byte) (path rollout.CanaryPolicy, err error) {
	path = rollout.CanaryPolicy{Canaries: defaultFirst, Watch: rollout.Micros(defaultWatch.Microseconds())}
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return path, err
	}
	if tree[rolloutField] == nil {
		return path, nil
	}
	var fields map[string]json.RawMessage
	invalid := func(name, reason string, values ...any) error {
		if name = rolloutField + "." + name; name == rolloutField+"." {
			name = rolloutField
		}
		return &site.FieldError{Name: name, Err: fmt.Errorf(name+": "+reason, values...)}
	}
	if err := json.Unmarshal(tree[rolloutField], &fields); err != nil {
		return path, invalid("", "it is no object")
	}
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		switch text := fields[name]; name {
		case "first":
			if err := json.Unmarshal(text, &path.Canaries); err != nil || path.Canaries < 1 || path.Canaries > maxFirst {
				return path, invalid(name, "%s is no number of members from 1 to %d", text, maxFirst)
			}
		case "watch":
			var spelled string
			err := json.Unmarshal(text, &spelled)
			watch, parseErr := time.ParseDuration(spelled)
			if err != nil || parseErr != nil || watch < minWatch || watch > maxWatch {
				return path, invalid(name, "%s is no duration from 100ms to 1h, such as \"1.5s\"", text)
			}
			path.Watch = rollout.Micros(watch.Microseconds())
		default:
			return path, invalid(name, "no such name")
		}
	}
	return path, nil
}
