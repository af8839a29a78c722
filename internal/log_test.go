package internal_test

import (
	"bytes"
	"sync"
	"testing"

	"github.com/rs/zerolog"
)

// lockedBuffer collects what several goroutines write.
type lockedBuffer struct {
	mu      sync.Mutex
	content bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.content.String()
}

// logShownOnFailure returns a logger for a sidecar. Warnings and errors become part of the test's output if it fails.
func logShownOnFailure(t *testing.T) zerolog.Logger {
	t.Helper()
	var lines lockedBuffer
	t.Cleanup(func() {
		if t.Failed() && lines.String() != "" {
			t.Logf("warnings and errors of the sidecar:\n%s", lines.String())
		}
	})
	return zerolog.New(&lines).Level(zerolog.WarnLevel).With().Timestamp().Logger()
}
