package connlimit

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// However a body in chunks comes, every byte of it is passed on in order, the trailers as a whole, and its end is found.
func TestChunksInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		chunks := httputil.NewChunkedWriter(&text)
		for _, chunk := range rapid.SliceOfN(rapid.SampledFrom([]string{"x", "\r\n", "\r\n\r\n", "0\r\n\r\n", strings.Repeat("y", 300)}), 0, 5).Draw(t, "chunks") {
			chunks.Write([]byte(chunk))
		}
		chunks.Close()
		trailer := http.Header{}
		for i := range rapid.IntRange(0, 3).Draw(t, "trailers") {
			trailer.Set(fmt.Sprint("T", i), "1")
		}
		start := text.Len()
		trailer.Write(&text)
		text.WriteString("\r\n")
		body := text.String()
		received := body + "GET / HTTP/1.1\r\n"
		scanner := chunkScanner{}
		for at, come := 0, 0; ; {
			come = min(come+rapid.IntRange(1, 40).Draw(t, "piece"), len(received))
			n, ended, ok := scanner.scan([]byte(received[at:come]))
			if at += n; !ok || at > len(body) || at > start && at < len(body) || ended != (at == len(body)) {
				t.Fatalf("after %d bytes of %d, %d of them trailers: %d are passed on, ended %v, ok %v", come, len(body), len(body)-start, at, ended, ok)
			}
			if ended {
				return
			}
		}
	})
}
