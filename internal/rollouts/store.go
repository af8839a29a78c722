package rollouts

// store.go: durable storage of the newest configuration, of the one in force, and of what was stopped.

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

// A sidecar keeps three files: the newest configuration that it has, the one in force, and the highest one whose rollout was
// stopped. Each file is a line of JSON followed by the content; the last one has none.
const (
	fileFormat              = "ledgespread rollout 1"
	newestFile, inForceFile = "newest", "in_force"
	outcomeFile             = "stopped"
)

// storedOutcome is the JSON line of the file that says what was stopped.
type storedOutcome struct {
	Format      string `json:"form"`
	Sidecar     string `json:"sidecar"`
	Number      uint64 `json:"number"`
	Digest      string `json:"digest"`
	Contested   bool   `json:"contested,omitempty"`
	OtherDigest string `json:"other_digest,omitempty"`
}

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
func (s store) write(kind string, r record) (err error) {
	r.Format, r.Sidecar, r.Digest = fileFormat, s.sidecar, FormatDigest(r.identity.Digest)
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	return s.replace(kind, append(append(line, '\n'), r.Content...))
}

// replace replaces a file's text.
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

// writeOutcome replaces the file that says what was stopped.
func (s store) writeOutcome(outcome rollout.Outcome) error {
	stored := storedOutcome{Format: fileFormat, Sidecar: s.sidecar, Number: uint64(outcome.Number), Digest: FormatDigest(outcome.Digest), Contested: outcome.Contested}
	if outcome.Contested {
		stored.OtherDigest = FormatDigest(outcome.OtherDigest)
	}
	line, err := json.Marshal(stored)
	if err != nil {
		return err
	}
	return s.replace(outcomeFile, append(line, '\n'))
}

// readOutcome reads that file; without one it returns the zero value.
func (s store) readOutcome() (outcome rollout.Outcome, err error) {
	text, err := os.ReadFile(s.path(outcomeFile))
	if errors.Is(err, fs.ErrNotExist) {
		return outcome, nil
	}
	if err != nil {
		return outcome, err
	}
	var stored storedOutcome
	if json.Unmarshal(text, &stored) != nil || stored.Format != fileFormat || stored.Number == 0 {
		return outcome, fmt.Errorf("%s: it is no file of ours", s.path(outcomeFile))
	}
	if stored.Sidecar != s.sidecar {
		return outcome, fmt.Errorf("%s: it is %q's", s.path(outcomeFile), stored.Sidecar)
	}
	outcome = rollout.Outcome{Version: rollout.Version{Number: rollout.Number(stored.Number)}, Contested: stored.Contested}
	if err = parseDigest(stored.Digest, &outcome.Digest); err == nil && stored.Contested {
		err = parseDigest(stored.OtherDigest, &outcome.OtherDigest)
	}
	if err != nil {
		return rollout.Outcome{}, fmt.Errorf("%s: %w", s.path(outcomeFile), err)
	}
	return outcome, nil
}

// parseDigest parses a digest in hexadecimal.
func parseDigest(text string, digest *rollout.Digest) error {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != len(digest) {
		return fmt.Errorf("%q is no digest", text)
	}
	copy(digest[:], decoded)
	return nil
}

// SaveOutcome stores that a rollout was stopped.
func (r *Rollouts) SaveOutcome(outcome rollout.Outcome) { go r.storeOutcome(outcome) }

// storeOutcome stores that a rollout was stopped. Outcomes may come in any order: the highest number counts, and a contested
// one is never merely stopped.
func (r *Rollouts) storeOutcome(outcome rollout.Outcome) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	known, _ := r.store.readOutcome() // another process of this sidecar may have written it
	if outcome.Number < known.Number || outcome.Number == known.Number && (known.Contested || outcome == known) {
		return
	}
	if err := r.store.writeOutcome(outcome); err != nil {
		r.log.Error().Err(err).Uint64("number", uint64(outcome.Number)).Msg("that a configuration was stopped can't be stored")
	}
}
