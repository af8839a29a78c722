package rollouts

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"ledgespread/decide/rollout"
	"ledgespread/internal/durable"
)

// The files of a sidecar, each a line of JSON and then the content: the newest that it holds, and the one in force.
const (
	form          = "ledgespread rollout 1"
	newest, force = "newest", "in_force"
)

// record is what a file holds.
type record struct {
	Form    string    `json:"form"`
	Sidecar string    `json:"sidecar"`
	Number  uint64    `json:"number"`
	Digest  string    `json:"digest"`
	Tries   int       `json:"tries,omitempty"`
	Before  [2]uint64 `json:"before,omitzero"` // requests that ended before it was tried, and those succeeded
	Content []byte    `json:"-"`

	is rollout.Version
}

func newRecord(no rollout.Number, content []byte) *record {
	return &record{Number: uint64(no), Content: content, is: rollout.Version{Number: no, Digest: DigestOf(content)}}
}

func (r *record) version() rollout.Version {
	if r == nil {
		return rollout.Version{}
	}
	return r.is
}

// DigestOf is a content's.
func DigestOf(content []byte) (d rollout.Digest) {
	sum := sha256.Sum256(content)
	copy(d[:], sum[:])
	return d
}

// Spell is a digest in words.
func Spell(d rollout.Digest) string { return hex.EncodeToString(d[:]) }

// store is a folder with them.
type store struct{ folder, sidecar string }

func (s store) path(kind string) string {
	return filepath.Join(s.folder, fmt.Sprintf("ledgespread-%x.%s", s.sidecar, kind))
}

// write replaces a file whole: it is there, with its name, once this returns without an error. After a crash there is no half a file, and
// no number that was said to hold is forgotten.
func (s store) write(kind string, r record) (err error) {
	r.Form, r.Sidecar, r.Digest = form, s.sidecar, Spell(r.is.Digest)
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	f, err := os.CreateTemp(s.folder, ".rollout-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(f.Name())
		}
	}()
	if err = durable.Write(f, append(append(line, '\n'), r.Content...)); err != nil {
		return err
	}
	if err = os.Rename(f.Name(), s.path(kind)); err != nil {
		return err
	}
	return durable.SyncFolder(s.folder)
}

// read takes a file; nil: there is none. One that is torn, or another sidecar's, is an error.
func (s store) read(kind string) (*record, error) {
	about, err := os.Stat(s.path(kind))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && (about.Size() > 2*Most || !about.Mode().IsRegular()) {
		err = errors.New("it is no file of ours")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path(kind), err)
	}
	text, err := os.ReadFile(s.path(kind))
	if err != nil {
		return nil, err
	}
	line, content, whole := bytes.Cut(text, []byte("\n"))
	var r record
	switch {
	case !whole:
		err = errors.New("it is torn")
	case json.Unmarshal(line, &r) != nil || r.Form != form || r.Number == 0:
		err = errors.New("it is no file of ours")
	case r.Sidecar != s.sidecar:
		err = fmt.Errorf("it is %q's", r.Sidecar)
	case r.Digest != Spell(DigestOf(content)):
		err = errors.New("its content does not fit its digest")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path(kind), err)
	}
	r.Content, r.is = content, rollout.Version{Number: rollout.Number(r.Number), Digest: DigestOf(content)}
	return &r, nil
}
