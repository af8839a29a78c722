package rollouts

// store.go: durable storage of the newest configuration and of the one in force.

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

// A sidecar keeps the newest configuration that it has and the one in force in a file each: a line of JSON followed by the
// content. A third file says how a rollout ended, see outcomes.go.
const (
	fileFormat              = "ledgespread rollout 1"
	newestFile, inForceFile = "newest", "in_force"
)

// record is a stored configuration: the JSON line of a file, and the content.
type record struct {
	Format  string    `json:"form"`
	Sidecar string    `json:"sidecar"`
	Number  uint64    `json:"number"`
	Digest  string    `json:"digest"`
	Tries   int       `json:"tries,omitempty"`
	Before  [2]uint64 `json:"before,omitzero"` // requests ended before the trial, and how many of these succeeded
	Content []byte    `json:"-"`

	identity rollout.Version
}

// newRecord returns the record of a content with its digest computed.
func newRecord(number rollout.Number, content []byte) *record {
	return &record{Number: uint64(number), Content: content, identity: rollout.Version{Number: number, Digest: DigestOf(content)}}
}

// version returns the number and digest of a record; of a nil record, the zero value.
func (r *record) version() rollout.Version {
	if r == nil {
		return rollout.Version{}
	}
	return r.identity
}

// DigestOf returns the SHA-256 digest of a content.
func DigestOf(content []byte) (digest rollout.Digest) {
	sum := sha256.Sum256(content)
	copy(digest[:], sum[:])
	return digest
}

// FormatDigest returns a digest in hexadecimal.
func FormatDigest(digest rollout.Digest) string { return hex.EncodeToString(digest[:]) }

// store is the folder in which a sidecar keeps its files.
type store struct{ folder, sidecar string }

// path returns the path of a file. The sidecar's name is in hexadecimal, as it may contain any characters.
func (s store) path(kind string) string {
	return filepath.Join(s.folder, fmt.Sprintf("ledgespread-%x.%s", s.sidecar, kind))
}

// write replaces a file atomically and durably: it is on disk under its name once write returns without an error. A
// crash leaves no partial file, and a number that this sidecar has reported as
// stored or in force is not forgotten.
func (s store) write(kind string, r record) error {
	r.Format, r.Sidecar, r.Digest = fileFormat, s.sidecar, FormatDigest(r.identity.Digest)
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.replace(kind, append(append(line, '\n'), r.Content...))
}

// replace replaces the text of a file, as write does.
func (s store) replace(kind string, text []byte) (err error) {
	file, err := os.CreateTemp(s.folder, ".rollout-*")
	if err != nil {
		return err
	}
	defer func() {
		if err != nil {
			os.Remove(file.Name())
		}
	}()
	if err = durable.WriteAndClose(file, text); err != nil {
		return err
	}
	if err = os.Rename(file.Name(), s.path(kind)); err != nil {
		return err
	}
	return durable.SyncDir(s.folder)
}

// read reads a file; without one it returns nil. A truncated or altered file, or one of another sidecar, is an error.
func (s store) read(kind string) (*record, error) {
	info, err := os.Stat(s.path(kind))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err == nil && (info.Size() > 2*MaxContentBytes || !info.Mode().IsRegular()) {
		err = errors.New("it is no file of ours")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path(kind), err)
	}
	text, err := os.ReadFile(s.path(kind))
	if err != nil {
		return nil, err
	}
	line, content, complete := bytes.Cut(text, []byte("\n"))
	var r record
	switch {
	case !complete:
		err = errors.New("it is torn")
	case json.Unmarshal(line, &r) != nil || r.Format != fileFormat || r.Number == 0:
		err = errors.New("it is no file of ours")
	case r.Sidecar != s.sidecar:
		err = fmt.Errorf("it is %q's", r.Sidecar)
	case r.Digest != FormatDigest(DigestOf(content)):
		err = errors.New("its content does not fit its digest")
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", s.path(kind), err)
	}
	r.Content, r.identity = content, rollout.Version{Number: rollout.Number(r.Number), Digest: DigestOf(content)}
	return &r, nil
}
