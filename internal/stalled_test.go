package internal_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"
)

// A client that stopped in the middle of a large request got neither an error nor a close for as long as the bytes that it
// had sent take at the slowest pace, up to minutes. It is owed one of the two within 3 s.
func TestClientStoppedInBodyIsCutOff(t *testing.T) {
	const owedWithin = 3 * time.Second
	_, address, _ := startSidecarForHandler(t, func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) })
	for _, test := range []struct {
		size    int
		chunked bool
	}{{48 << 10, false}, {48 << 10, true}, {768 << 10, false}, {768 << 10, true}, {8 << 20, false}, {8 << 20, true}} {
		t.Run(fmt.Sprintf("%d bytes, in chunks %v", test.size, test.chunked), func(t *testing.T) {
			t.Parallel()
			c := dial(t, address)
			length := fmt.Sprintf("Content-Length: %d\r\n\r\n", test.size)
			if test.chunked {
				length = fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n", test.size)
			}
			fmt.Fprintf(c, "POST /pay HTTP/1.1\r\nHost: api\r\nX-Request-ID: stalled%d\r\nX-Tenant-Id: acme\r\nX-Timeout: 400m\r\n%s", lastRequestID.Add(1), length)
			if _, err := c.Write(make([]byte, test.size/2)); err != nil {
				return // it was refused before it stopped
			}
			stopped := time.Now()
			status := c.awaitStatus()
			if took := time.Since(stopped); took > owedWithin || status == http.StatusOK {
				t.Errorf("answered %d after %v", status, took)
			}
		})
	}
}
