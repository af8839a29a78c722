package internal_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"ledgespread/internal/counters"
	"ledgespread/internal/inbound"
	"ledgespread/internal/relay"
)

// startSidecarForHandler starts a sidecar whose only server runs an http.HandlerFunc.
func startSidecarForHandler(t *testing.T, h http.HandlerFunc) (in *inbound.Inbound, address string, counts *counters.Set) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go server.Serve(ln)
	t.Cleanup(func() { server.Close() })
	manifest := parseConfiguration(t, configuration(fmt.Sprintf(`{"host":"s0","dial":"%s","site":"here","class":"m","block":0,
		"health":"in_service","share":1,"born_ms":0}`, ln.Addr()), ""))
	counts = &counters.Set{}
	r, err := relay.New(manifest, 30, newOutbound(10*second, 30, counts), nil, counts, logShownOnFailure(t))
	if err != nil {
		t.Fatal(err)
	}
	go r.Run()
	in, address = startInbound(t, manifest, 60, r, counts)
	return in, address, counts
}

// nonZeroAccounts returns the request accounts of inbound, without those that are zero.
func nonZeroAccounts(in *inbound.Inbound) string {
	var text strings.Builder
	in.Accounts().WriteTo(&text)
	var nonZero []string
	for line := range strings.Lines(text.String()) {
		if line = strings.TrimSpace(line); !strings.HasSuffix(line, "=0") {
			nonZero = append(nonZero, strings.TrimPrefix(line, "app."))
		}
	}
	return strings.Join(nonZero, " ")
}

// waitUntilIdle waits until no request is outstanding.
func waitUntilIdle(in *inbound.Inbound) {
	for in.Accounts().Outstanding() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// A long answer, with a length or chunked, is forwarded as it arrives, also past the client timeout. If the server
// breaks off, the client's connection is cut too, the request counts as aborted, and it isn't sent to another server.
func TestLongAnswers(t *testing.T) {
	const long = 1 << 20
	var tr trace
	more := make(chan bool)
	whole := bytes.Repeat([]byte("x"), long)
	in, address, counts := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		path, sized := strings.CutSuffix(strings.TrimPrefix(r.URL.Path, "/look"), "/sized")
		if sized {
			w.Header().Set("Content-Length", fmt.Sprint(long))
		}
		switch w.Header().Set("X-Kept", "a b"); path {
		case "/whole":
			w.Write(whole)
		case "/waits":
			w.Write(whole[:100_000])
			w.(http.Flusher).Flush()
			<-more
			w.Write(whole[100_000:])
		case "/cut":
			w.Write(whole[:100_000])
			w.(http.Flusher).Flush()
			c, _, _ := w.(http.Hijacker).Hijack()
			c.Close()
		case "/short":
			io.WriteString(w, "hi")
		}
	})
	for _, path := range []string{"/whole/sized", "/whole", "/short", "/waits/sized", "/waits", "/cut/sized", "/cut"} {
		client := dial(t, address)
		fmt.Fprintf(client, "GET /look%s HTTP/1.1\r\n%s\r\n", path, strings.Replace(requestFields, "ID: 1", "ID: "+path, 1))
		resp, err := http.ReadResponse(client.in, nil)
		if err != nil {
			t.Fatal(path, err)
		}
		if strings.HasPrefix(path, "/waits") {
			first := make([]byte, 100_000)
			_, err := io.ReadFull(resp.Body, first)
			tr.add("%s: the first bytes arrive while the server waits: %v", path, err)
			time.Sleep(600 * time.Millisecond) // past the client timeout
			more <- true
			rest, err := io.ReadAll(resp.Body)
			tr.add("and the rest: %v, %v", len(first)+len(rest) == long, err)
			continue
		}
		body, err := io.ReadAll(resp.Body)
		tr.add("%s: %d, kept %q, %d bytes, %v", path, resp.StatusCode, resp.Header.Get("X-Kept"), len(body), err)
		if err == nil {
			tr.add("the connection stays open: %s", client.roundTrip("GET /look/short HTTP/1.1\r\n"+requestFields+"\r\n"))
		}
	}
	waitUntilIdle(in)
	tr.add("%s, answers cut %d, written %d", nonZeroAccounts(in), counts[counters.AnswersTruncated].Load(), counts[counters.AttemptsWritten].Load())
	tr.compare(t, `
/whole/sized: 200, kept "a b", 1048576 bytes, <nil>
the connection stays open: 200 "hi" X-Kept=a b
/whole: 200, kept "a b", 1048576 bytes, <nil>
the connection stays open: 200 "hi" X-Kept=a b
/short: 200, kept "a b", 2 bytes, <nil>
the connection stays open: 200 "hi" X-Kept=a b
/waits/sized: the first bytes arrive while the server waits: <nil>
and the rest: true, <nil>
/waits: the first bytes arrive while the server waits: <nil>
and the rest: true, <nil>
/cut/sized: 200, kept "a b", 100000 bytes, unexpected EOF
/cut: 200, kept "a b", 100000 bytes, unexpected EOF
succeeded.look=8 aborted.look=2, answers cut 2, written 10
`)
}

// When clients leave in the middle of long answers, at varying points, nothing leaks: no goroutine, no connection to
// the server that is still read, no outstanding request.
func TestClientLeavesDuringLongAnswer(t *testing.T) {
	var tr trace
	in, address, counts := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		for range 64 {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	})
	before := 0
	for round := range 300 {
		if round == 20 { // reused goroutines have been started by now
			waitUntilIdle(in)
			before = runtime.NumGoroutine()
		}
		c := dial(t, address)
		fmt.Fprintf(c, "GET /look HTTP/1.1\r\n%s\r\n", strings.Replace(requestFields, "ID: 1", fmt.Sprint("ID: up", round), 1))
		io.CopyN(io.Discard, c, int64((round%100)*(round%100)*300))
		c.Close()
	}
	waitUntilIdle(in)
	for end := time.Now().Add(10 * time.Second); runtime.NumGoroutine() > before+100 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	tr.add("goroutines have ended: %v, faults %d", runtime.NumGoroutine() <= before+100, counts[counters.Faults].Load())
	tr.compare(t, `
goroutines have ended: true, faults 0
`)
}
