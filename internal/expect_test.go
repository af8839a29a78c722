package internal_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
)

// Clients that stop behind a head of very many fields don't hold its parsed fields, whichever way the server comes to wait:
// for a body that it has let them send, for one that it has not, or for the rest of what follows the last chunk.
func TestManyFieldsAreNotHeld(t *testing.T) {
	const clients, fields, maxHeld = 40, 1900, 64 << 10 // bytes a client, its buffers among them
	const post, length, chunked = "POST /pay HTTP/1.1\r\n", "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"
	many := strings.Repeat("a:\r\n", fields)
	heap := func() int64 {
		var now runtime.MemStats
		runtime.GC()
		runtime.GC() // what pools held is freed by the second one
		runtime.ReadMemStats(&now)
		return int64(now.HeapAlloc)
	}
	for _, test := range []struct{ name, start, fields, behind string }{
		{"lets them send the body", post, length + "Expect: 100-continue\r\n" + many, ""},
		{"expects something else", post, length + "Expect: nothing\r\n" + many, ""},
		{"expects two things", post, length + "Expect: nothing\r\nExpect: 100-continue\r\n" + many, ""},
		{"an older protocol", "POST /pay HTTP/1.0\r\n", length + "Expect: 100-continue\r\n" + many, ""},
		{"an older protocol with a long path", "POST /pay/" + strings.Repeat("x", 300) + " HTTP/1.0\r\n", length + "Expect: 100-continue\r\n" + many, ""},
		{"stops behind the last chunk", post, chunked, "1\r\nx\r\n0\r\n" + many},
		{"waits for the answer, behind the last chunk", post, chunked, "1\r\nx\r\n0\r\n" + many + "\r\n"},
		{"waits for chunks", post, chunked + "Expect: 100-continue\r\n" + many, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			var tr trace
			_, address := startInbound(t, parseConfiguration(t, configuration("", "")), 2*clients, fakeRelay{&tr, func(*exchange.Exchange) {}}, &counters.Set{})
			before := heap()
			for i := range clients {
				c := dial(t, address)
				io.WriteString(c, test.start)
				time.Sleep(time.Millisecond) // in two pieces
				fmt.Fprintf(c, "%s%s\r\n%s", strings.Replace(longTimeoutFields, "ID: 1", fmt.Sprint("ID: held", i), 1), test.fields, test.behind)
			}
			time.Sleep(300 * time.Millisecond)
			if held := (heap() - before) / clients; held > maxHeld {
				t.Errorf("a client holds %d bytes, limit %d", held, maxHeld)
			}
		})
	}
}

// A client that waits until it may send the body gets its answer, also behind a head of many fields.
func TestExpectedBodies(t *testing.T) {
	_, address, counts := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		fmt.Fprintf(w, "%s %d %q %v", r.URL.Path, len(r.Header["A"]), body, err)
	})
	many := strings.Repeat("a:\r\n", 1500)
	c := dial(t, address)
	for i, test := range []struct{ fields, body, want string }{
		{"Content-Length: 3\r\n", "abc", `200 "/pay/0 0 \"abc\" <nil>"`},
		{"Content-Length: 3\r\n" + many, "abc", `200 "/pay/1 1500 \"abc\" <nil>"`},
		{"Transfer-Encoding: chunked\r\n" + many, "3\r\nabc\r\n0\r\n\r\n", `200 "/pay/2 1500 \"abc\" <nil>"`},
		{"Content-Length: 100000\r\n" + many, strings.Repeat("x", 100_000), fmt.Sprintf(`200 "/pay/3 1500 \"%s\" <nil>"`, strings.Repeat("x", 100_000))},
		{"Content-Length: 0\r\n" + many, "", `200 "/pay/4 1500 \"\" <nil>"`},
		{"Connection: close\r\nContent-Length: 3\r\n" + many, "abc", `200 "/pay/5 1500 \"abc\" <nil>" close`},
	} {
		fields := strings.Replace(longTimeoutFields, "ID: 1", fmt.Sprint("ID: expects", i), 1)
		fmt.Fprintf(c, "POST /pay/%d HTTP/1.1\r\n%sExpect: 100-continue\r\n%s\r\n", i, fields, test.fields)
		if got := c.readInterim(t); got != "HTTP/1.1 100 Continue" {
			t.Fatalf("%d: %q", i, got)
		}
		io.WriteString(c, test.body)
		if got := strings.ReplaceAll(c.readAnswer(), `\\\"`, `\"`); strings.ReplaceAll(got, `\`, "") != strings.ReplaceAll(test.want, `\`, "") {
			t.Errorf("%d: %.200s", i, got)
		}
	}
	trickles := dial(t, address)
	io.WriteString(trickles, "POST /pay/6 HTTP/1.1\r\n"+strings.Replace(longTimeoutFields, "ID: 1", "ID: trickles", 1)+"Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n")
	for _, b := range []byte(strings.Repeat("a: b\r\n", 50) + "\r\n") {
		trickles.Write([]byte{b})
		time.Sleep(time.Millisecond)
	}
	if got := trickles.readAnswer(); !strings.HasPrefix(got, "200") {
		t.Errorf("what follows the last chunk, a byte at a time: %s", got)
	}
	refused := dial(t, address)
	fmt.Fprintf(refused, "POST /pay HTTP/1.1\r\n%sExpect: 100-continue\r\nContent-Length: 3\r\n%sa :\r\n\r\n", longTimeoutFields, many)
	if got := refused.readAnswer(); !strings.HasPrefix(got, "400") || !strings.HasSuffix(got, "close") {
		t.Errorf("malformed: %s", got)
	}
	if n := counts[counters.RequestsMalformed].Load(); n != 1 {
		t.Errorf("%d malformed", n)
	}
}

// readInterim returns the status line of an answer without a body.
func (c *client) readInterim(t *testing.T) string {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	line, err := c.in.ReadString('\n')
	if err != nil {
		t.Fatal(err)
	}
	c.in.ReadString('\n')
	return strings.TrimSpace(line)
}
