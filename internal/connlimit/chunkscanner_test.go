package connlimit

import (
	"fmt"
	"net/http/httputil"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// passOnChunks gives the bytes behind a head to boundaries, in pieces. It returns what is passed on until the message ends or
// can't be understood.
func passOnChunks(b *boundaries, pieces []string) (passedOn string, err error) {
	b.part = chunkedBody
	for _, piece := range pieces {
		for received := []byte(piece); len(received) > 0 && b.part == chunkedBody; {
			skipped, err := b.skip(received)
			if received = received[skipped:]; err != nil || len(received) == 0 {
				if err != nil {
					return passedOn, err
				}
				break
			}
			n := b.next(received, 1<<14)
			passedOn, received = passedOn+string(received[:n]), received[n:]
		}
	}
	return passedOn, nil
}

// However a body in chunks comes, all of it is passed on in order but its trailer fields, and nothing of the next message.
func TestChunksInPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var text strings.Builder
		chunks := httputil.NewChunkedWriter(&text)
		for _, chunk := range rapid.SliceOfN(rapid.SampledFrom([]string{"x", "\r\n", "\r\n\r\n", "0\r\n\r\n", "A: b\r\n", strings.Repeat("y", 300)}), 0, 5).Draw(t, "chunks") {
			chunks.Write([]byte(chunk))
		}
		chunks.Close()
		want := text.String() + "\r\n"
		for i := range rapid.IntRange(0, 3).Draw(t, "trailer fields") {
			fmt.Fprintf(&text, "T%d: %d\r\n", i, i)
		}
		received := text.String() + "\r\n" + "GET / HTTP/1.1\r\n"
		var pieces []string
		for len(received) > 0 {
			size := min(rapid.IntRange(1, 40).Draw(t, "piece"), len(received))
			pieces, received = append(pieces, received[:size]), received[size:]
		}
		b := &boundaries{}
		got, err := passOnChunks(b, pieces)
		if diff := cmp.Diff(want, got); diff != "" || err != nil || b.part != head {
			t.Fatalf("part %d, %v, -want +got:\n%s", b.part, err, diff)
		}
	})
}

// Trailer fields that can't be read are an error, wherever they are cut. Chunks that can't be understood are passed on to the server,
// which refuses them.
func TestMalformedChunks(t *testing.T) {
	for _, test := range []struct {
		name, body string
		err        error
		part       part
	}{
		{"no field", "0\r\nA\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"no name", "0\r\n: b\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"a blank in a name", "0\r\nA : b\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"a folded line", "0\r\nA: b\r\n c\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"a control byte", "0\r\nA: \x01\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"a line end that is none", "0\r\nA: b\n\r\n", errMalformedTrailer, chunkedBody},
		{"half a line end", "0\r\nA: b\rc\r\n\r\n", errMalformedTrailer, chunkedBody},
		{"longest trailers", "0\r\nA:" + strings.Repeat("b", maxTrailerBytes-4) + "\r\n\r\n", nil, head},
		{"trailers that are too long", "0\r\nA:" + strings.Repeat("b", maxTrailerBytes-3) + "\r\n\r\n", errLongTrailers, chunkedBody},
		{"trailers without end", "0\r\n" + strings.Repeat("a:\r\n", maxTrailerBytes), errLongTrailers, chunkedBody},
		{"half a blank line", "0\r\nA: b\r\n\rx", nil, unknownBody},
		{"no size", "x\r\n", nil, unknownBody},
		{"no digit", "\r\n", nil, unknownBody},
		{"a size that is too large", "fffffffffffff\r\n", nil, unknownBody},
		{"sizes", "00A;b=\"c\"\r\n0123456789\r\n0a\t\r\n0123456789\r\n0\r\n\r\n", nil, head},
	} {
		for _, pieces := range [][]string{{test.body}, strings.Split(test.body, "")} {
			b := &boundaries{}
			if _, err := passOnChunks(b, pieces); err != test.err || b.part != test.part {
				t.Errorf("%s, in %d pieces: %v, part %d", test.name, len(pieces), err, b.part)
			}
		}
	}
}
