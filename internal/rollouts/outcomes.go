package rollouts

// outcomes.go: durable storage of how the rollout of the highest number ended, if it was stopped or contested.

import (
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"

	"ledgespread/decide/rollout"
)

const outcomeFile = "outcome"

// storedOutcome is the content of the file, a line of JSON.
type storedOutcome struct {
	Format      string `json:"form"`
	Sidecar     string `json:"sidecar"`
	Number      uint64 `json:"number"`
	Digest      string `json:"digest"`
	Contested   bool   `json:"contested,omitempty"`
	OtherDigest string `json:"other_digest,omitempty"`
}

// SaveOutcome stores the outcome of a rollout.
func (r *Rollouts) SaveOutcome(outcome rollout.Outcome) { go r.storeOutcome(outcome) }

// storeOutcome stores the outcome of a rollout. Outcomes may come in any order, and from two processes of this sidecar: the highest
// number counts, and a contested one is not merely stopped.
func (r *Rollouts) storeOutcome(outcome rollout.Outcome) {
	r.changeMu.Lock()
	defer r.changeMu.Unlock()
	stored, err := r.store.readOutcome()
	if err != nil {
		r.log.Error().Err(err).Msg("the stored outcome of a rollout can't be read, and is replaced")
	}
	if outcome.Number < stored.Number || outcome.Number == stored.Number && (stored.Contested || outcome == stored) {
		return
	}
	if err := r.store.writeOutcome(outcome); err != nil {
		r.log.Error().Err(err).Uint64("number", uint64(outcome.Number)).Msg("the outcome of a rollout can't be stored")
	}
}

// writeOutcome replaces the file.
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

// readOutcome reads the file; without one it returns the zero value. A truncated file, or one of another sidecar, is an error.
func (s store) readOutcome() (outcome rollout.Outcome, err error) {
	path := s.path(outcomeFile)
	text, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return outcome, nil
	}
	if err != nil {
		return outcome, err
	}
	var stored storedOutcome
	switch {
	case json.Unmarshal(text, &stored) != nil || stored.Format != fileFormat || stored.Number == 0:
		err = errors.New("it is no outcome of a rollout")
	case stored.Sidecar != s.sidecar:
		err = fmt.Errorf("it is of the sidecar %q", stored.Sidecar)
	default:
		outcome, err = stored.decode()
	}
	if err != nil {
		return rollout.Outcome{}, fmt.Errorf("%s: %w", path, err)
	}
	return outcome, nil
}

// decode returns the outcome that was stored.
func (s storedOutcome) decode() (outcome rollout.Outcome, err error) {
	outcome.Number, outcome.Contested = rollout.Number(s.Number), s.Contested
	if err = parseDigest(s.Digest, &outcome.Digest); err != nil || !s.Contested {
		return outcome, err
	}
	return outcome, parseDigest(s.OtherDigest, &outcome.OtherDigest)
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
