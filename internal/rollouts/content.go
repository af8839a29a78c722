package rollouts

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"ledgespread/decide/rollout"
	"ledgespread/internal/live"
	"ledgespread/internal/site"
)

// Most is how many bytes a configuration has at the most.
const Most = 1 << 20

const (
	head       = "rollout" // the name under which a configuration says how it wants to be put in force
	usualFirst = 5
	usualWatch = 1500 * time.Millisecond
	firstMost  = 100
	watchLeast = 100 * time.Millisecond
	watchMost  = time.Hour
)

// Overlay lays configurations for the fleet over this sidecar's own file, as that was taken over last.
type Overlay struct {
	base *site.Manifest // as it started
	own  atomic.Pointer[[]byte]
}

// NewOverlay makes one for a sidecar that started by a manifest, with these bytes of its own file.
func NewOverlay(base *site.Manifest, own []byte) *Overlay {
	o := &Overlay{base: base}
	o.own.Store(&own)
	return o
}

// Read reads a configuration strictly, and tells how it wants to be put in force, and the sidecar's file with it. What can't be read, would
// not do for a start, or needs one, is an error with the name, the line and the reason.
func (o *Overlay) Read(from string, text []byte) (path rollout.Path, whole []byte, err error) {
	defer func() {
		// A configuration that nobody thought of must not end the sidecar.
		if crash := recover(); crash != nil {
			err = fmt.Errorf("%s:1: it crashed over it: %v", from, crash)
		}
	}()
	if len(text) > Most {
		return path, nil, fmt.Errorf("%s:1: it is longer than %d bytes", from, Most)
	}
	if err := site.Strict(from, text, head); err != nil {
		return path, nil, err
	}
	if path, err = pathOf(text); err != nil {
		return path, nil, site.In(from, text, err)
	}
	if whole, err = o.over(text); err != nil {
		return path, nil, site.In(from, text, cause(err))
	}
	next, err := site.From(from, whole)
	if err == nil {
		err = live.Starts(next)
	}
	if err == nil {
		err = o.needs(next)
	}
	if err != nil {
		return path, nil, site.In(from, text, cause(err))
	}
	return path, whole, nil
}

// needs is an error where a configuration asks for what needs a restart; what the sidecar's own file asks for is its own matter.
func (o *Overlay) needs(next *site.Manifest) error {
	_, change := o.base.Take(next)
	if own, err := site.From("", *o.own.Load()); err == nil {
		_, mine := o.base.Take(own)
		change.Restart = slices.DeleteFunc(change.Restart, func(name string) bool { return slices.Contains(mine.Restart, name) })
	}
	return change.Needs()
}

// cause is an error without where it was seen: that was in the file with the patch over it, which nobody can look at.
func cause(err error) error {
	var odd *site.Odd
	if errors.As(err, &odd) {
		return odd
	}
	return err
}

// over is the sidecar's own file with a configuration laid over it.
func (o *Overlay) over(text []byte) ([]byte, error) { return site.Over(*o.own.Load(), without(text)) }

// without is a configuration but for its head.
func without(text []byte) []byte {
	var tree map[string]json.RawMessage
	if json.Unmarshal(text, &tree) != nil {
		return text
	}
	delete(tree, head)
	rest, _ := json.Marshal(tree)
	return rest
}

// pathOf reads the head.
func pathOf(text []byte) (path rollout.Path, err error) {
	path = rollout.Path{First: usualFirst, Watch: rollout.Micros(usualWatch.Microseconds())}
	var tree map[string]json.RawMessage
	if err := json.Unmarshal(text, &tree); err != nil {
		return path, err
	}
	if tree[head] == nil {
		return path, nil
	}
	var said map[string]json.RawMessage
	odd := func(name, why string, values ...any) error {
		if name = head + "." + name; name == head+"." {
			name = head
		}
		return &site.Odd{Name: name, Err: fmt.Errorf(name+": "+why, values...)}
	}
	if err := json.Unmarshal(tree[head], &said); err != nil {
		return path, odd("", "it is no object")
	}
	for _, name := range slices.Sorted(maps.Keys(said)) {
		switch text := said[name]; name {
		case "first":
			if err := json.Unmarshal(text, &path.First); err != nil || path.First < 1 || path.First > firstMost {
				return path, odd(name, "%s is no number of members from 1 to %d", text, firstMost)
			}
		case "watch":
			var word string
			err := json.Unmarshal(text, &word)
			span, odder := time.ParseDuration(word)
			if err != nil || odder != nil || span < watchLeast || span > watchMost {
				return path, odd(name, "%s is no duration from 100ms to 1h, such as \"1.5s\"", text)
			}
			path.Watch = rollout.Micros(span.Microseconds())
		default:
			return path, odd(name, "no such name")
		}
	}
	return path, nil
}
