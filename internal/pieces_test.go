package internal_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"
)

// pieceRequest returns a request of a drawn form, and the answer that it should get.
func pieceRequest(random *rand.Rand) (request, answer string) {
	fields := fmt.Sprintf("Host: api\r\nX-Request-ID: pieces%d\r\nX-Tenant-Id: acme\r\nX-Timeout: 700m\r\n", lastRequestID.Add(1))
	if random.IntN(3) == 0 {
		fields += strings.Repeat("a:\r\n", random.IntN(300))
	}
	bodies := []string{"x", "\r\n\r\n", "GET /look HTTP/1.1\r\n\r\n", strings.Repeat("0123456789abcdef", random.IntN(700))}
	body := bodies[random.IntN(len(bodies))]
	switch random.IntN(4) {
	case 0:
		return "GET /look/piece HTTP/1.1\r\n" + fields + "\r\n", `200 "GET 0"`
	case 1:
		return "POST /pay/piece HTTP/1.1\r\n" + fields + "Content-Length: 0\r\n\r\n", `200 "POST 0"`
	case 2:
		return fmt.Sprintf("POST /pay/piece HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n%s", fields, len(body), body), fmt.Sprintf(`200 "POST %d"`, len(body))
	}
	var chunks strings.Builder
	for rest := body; rest != ""; {
		size := 1 + random.IntN(len(rest))
		fmt.Fprintf(&chunks, "%x\r\n%s\r\n", size, rest[:size])
		rest = rest[size:]
	}
	return "POST /pay/piece HTTP/1.1\r\n" + fields + "Transfer-Encoding: chunked\r\n\r\n" + chunks.String() + "0\r\n\r\n", fmt.Sprintf(`200 "POST %d"`, len(body))
}

// Requests of all forms that are sent at once, in pieces of any size, each get their own answer. Behind a body in chunks
// the next request was refused, since the account of what had been received was lost there.
func TestRequestsAtOnceInPieces(t *testing.T) {
	const sequences, requests = 150, 5
	_, address, _ := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		size, _ := io.Copy(io.Discard, r.Body)
		fmt.Fprintf(w, "%s %d", r.Method, size)
	})
	for seed := range uint64(sequences) {
		random := rand.New(rand.NewPCG(seed, 0))
		var text strings.Builder
		var want []string
		for range requests {
			request, answer := pieceRequest(random)
			text.WriteString(request)
			want = append(want, answer)
		}
		c, largest := dial(t, address), []int{20, 1000, 100_000}[seed%3]
		go func() {
			for rest := text.String(); rest != ""; {
				size := min(len(rest), 1+random.IntN(largest))
				if _, err := io.WriteString(c, rest[:size]); err != nil {
					return
				}
				if rest = rest[size:]; random.IntN(50) == 0 {
					time.Sleep(time.Millisecond)
				}
			}
		}()
		for number, answer := range want {
			if got := c.readAnswer(); got != answer {
				t.Errorf("seed %d, pieces of up to %d bytes, request %d: %s, want %s", seed, largest, number, got, answer)
				break
			}
		}
		c.Close()
	}
}
