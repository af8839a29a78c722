package internal_test

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ledgespread/internal/counters"
)

// echo answers with the request's method, target, and the body's length and checksum, and counts the requests whose
// body it has read whole. A path that ends in "/breaks" closes the connection before the body is complete, "/closes"
// closes it afterwards, and "/early" rejects the request before reading the body.
func echo(completed *atomic.Int64) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		switch {
		case strings.HasSuffix(r.URL.Path, "/breaks"):
			io.CopyN(io.Discard, r.Body, 100_000)
			panic(http.ErrAbortHandler)
		case strings.HasSuffix(r.URL.Path, "/early"):
			w.Header().Set("X-Not-Processed", "1")
			w.Header().Set("Connection", "close")
			w.WriteHeader(503)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // an incomplete request is not executed
		}
		completed.Add(1)
		if strings.HasSuffix(r.URL.Path, "/closes") {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "%s %s %d %x", r.Method, r.RequestURI, len(body), crc32.ChecksumIEEE(body))
	}
}

// manyShortFields are more fields than the sidecar keeps apart.
var manyShortFields = strings.Repeat("a:\r\n", 100)

// requestForms lists forms of HTTP/1.1 requests: the bytes that a client writes, and the answers that it gets on
// that connection. docs/layout.md refers to this table.
var requestForms = []struct{ name, request, answers string }{
	{"content length", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 2\r\n\r\nhi", `200 "POST /pay 2 d8932aac"`},
	{"empty", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 0\r\n\r\n", `200 "POST /pay 0 0"`},
	{"no length, no body", "POST /pay HTTP/1.1\r\n" + requestFields + "\r\n", `200 "POST /pay 0 0"`},
	{"chunks", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n1\r\nh\r\n1\r\ni\r\n0\r\n\r\n", `200 "POST /pay 2 d8932aac"`},
	{"chunks with extensions, trailers and odd case", "POST /pay HTTP/1.1\r\n" + requestFields +
		"tRANSFER-eNCODING:   CHUNKED\t\r\nTrailer: T\r\n\r\n0002;a=\"b c\"\r\nhi\r\n0\r\nT: 1\r\n\r\n", `200 "POST /pay 2 d8932aac"`},
	{"chunks and many trailers", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n" + manyShortFields + "\r\n", `200 "POST /pay 2 d8932aac"`},
	{"chunks, trailers and the next request", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\nHost: c\r\n\r\nGET /look HTTP/1.1\r\n" +
		strings.Replace(requestFields, "ID: 1", "ID: 1d", 1) + "\r\n", `200 "POST /pay 2 d8932aac" 200 "GET /look 0 0"`},
	{"a trailer that is no field", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA\r\n\r\n", `400 "Bad Request" close`},
	{"a trailer with a line end that is none", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\n\r\n", `400 "Bad Request" close`},
	{"half a blank line behind trailers", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: b\r\n\rB: c\r\n\r\n", `400 "Bad Request" close`},
	{"trailers that are too long", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\nA: " + strings.Repeat("b", 17<<10) + "\r\n\r\n", `400 "Bad Request" close`},
	{"expects a 100", "POST /pay HTTP/1.1\r\n" + requestFields + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nhi",
		`100 "" 200 "POST /pay 2 d8932aac"`},
	{"expects a 100, with many fields", "POST /pay HTTP/1.1\r\n" + requestFields + "Expect: 100-continue\r\n" + manyShortFields + "Content-Length: 2\r\n\r\nhi",
		`100 "" 200 "POST /pay 2 d8932aac"`},
	{"expects a 100, with many fields and chunks", "POST /pay HTTP/1.1\r\n" + requestFields + manyShortFields + "Expect: 100-continue\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n",
		`100 "" 200 "POST /pay 2 d8932aac"`},
	{"expects something else, with many fields", "POST /pay HTTP/1.1\r\n" + requestFields + "Expect: nothing\r\n" + manyShortFields + "Content-Length: 2\r\n\r\nhi",
		`200 "POST /pay 2 d8932aac"`},
	{"expects a 100 by HTTP/1.0, with many fields", "POST /pay HTTP/1.0\r\n" + requestFields + "Expect: 100-continue\r\n" + manyShortFields + "Content-Length: 2\r\n\r\nhi",
		`200 "POST /pay 2 d8932aac" close`},
	{"many fields and a close", "POST /pay HTTP/1.1\r\n" + requestFields + manyShortFields + "Connection: close\r\nContent-Length: 2\r\n\r\nhi",
		`200 "POST /pay 2 d8932aac" close`},
	{"many fields, no length, no body", "POST /pay HTTP/1.1\r\n" + requestFields + manyShortFields + "\r\n", `200 "POST /pay 0 0"`},
	{"many fields and an absolute URI", "GET http://api.internal/look/x HTTP/1.1\r\n" + requestFields + manyShortFields + "\r\n", `200 "GET /look/x 0 0"`},
	{"many fields, a line end that is none", "POST /pay HTTP/1.1\r\n" + requestFields + manyShortFields + "B: c\nContent-Length: 2\r\n\r\nhi",
		`400 "a line of the head can't be read" close`},
	{"many fields, the length twice", "POST /pay HTTP/1.1\r\n" + requestFields + manyShortFields + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nhi", `400 "Bad Request" close`},
	{"a field by the name of packed ones", "GET /look HTTP/1.1\r\n" + requestFields + "packed fields: a\r\n\r\n", `400 "a line of the head can't be read" close`},
	{"two in one packet", "GET /look/a HTTP/1.1\r\n" + requestFields + "\r\nGET /look/b HTTP/1.1\r\n" + strings.Replace(requestFields, "ID: 1", "ID: 1b", 1) + "\r\n",
		`200 "GET /look/a 0 0" 200 "GET /look/b 0 0"`},
	{"pipelined after a body", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 2\r\n\r\nhiGET /look HTTP/1.1\r\n" +
		strings.Replace(requestFields, "ID: 1", "ID: 1c", 1) + "\r\n", `200 "POST /pay 2 d8932aac" 200 "GET /look 0 0"`},
	{"no request after a body", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 1\r\n\r\nhi", `400 "the length does not fit" close`},
	{"absolute URI", "GET HTTP://api.internal:80/look/x?q=1 HTTP/1.1\r\n" + requestFields + "\r\n", `200 "GET /look/x?q=1 0 0"`},
	{"absolute URI without a path", "GET http://api.internal HTTP/1.1\r\n" + requestFields + "\r\n", `400 "the target can't be read" close`},
	{"several Connection options", "GET /look HTTP/1.1\r\n" + requestFields + "Connection: x-hop, close\r\n\r\n", `200 "GET /look 0 0" close`},
	{"blanks around values", "GET /look HTTP/1.1\r\nHost:api\r\nX-Request-ID:1\r\nX-Tenant-Id: \tacme \r\nX-Timeout:500m  \r\n\r\n", `200 "GET /look 0 0"`},
	{"length and chunked coding", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", `400 "both a length and a coding" close`},
	{"chunked twice", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked, chunked\r\n\r\n0\r\n\r\n", `400 "Bad Request" close`},
	{"a broken chunk", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\nzz\r\nhi\r\n0\r\n\r\n", `400 "Bad Request" close`},
	{"a chunk longer than it says", "POST /pay HTTP/1.1\r\n" + requestFields + "Transfer-Encoding: chunked\r\n\r\n1\r\nhi\r\n0\r\n\r\n", `400 "Bad Request" close`},
	{"far too long", "POST /pay HTTP/1.1\r\n" + requestFields + "Content-Length: 60000000\r\n\r\nhi", `413 "Request Entity Too Large" close`},
}

// Each form gets the same answers whether it is sent in one write or one byte at a time.
func TestRequestForms(t *testing.T) {
	var executed atomic.Int64
	_, address, _ := startSidecarForHandler(t, echo(&executed))
	for i, form := range requestForms {
		for _, whole := range []bool{true, false} {
			if !whole && form.name == "no request after a body" { // the answer may be written before the extra byte arrives
				continue
			}
			raw := strings.ReplaceAll(form.request, "ID: 1", fmt.Sprintf("ID: %d%v", i, whole))
			raw = strings.ReplaceAll(raw, "ID:1", fmt.Sprintf("ID: %d%v", i, whole))
			client := dial(t, address)
			if whole {
				io.WriteString(client, raw)
			} else { // one byte at a time; the sidecar may refuse the request before it has read all of it
				go func() {
					for i := range len(raw) {
						if _, err := io.WriteString(client, raw[i:i+1]); err != nil {
							return
						}
						runtime.Gosched()
					}
				}()
			}
			var answers []string
			for range strings.Count(form.answers, `" `) + 1 - strings.Count(form.answers, `" close`) {
				answers = append(answers, client.readAnswer())
			}
			if seen := strings.Join(answers, " "); seen != form.answers {
				t.Errorf("%s, in one write %v:\n got %s\nwant %s", form.name, whole, seen, form.answers)
			}
			client.Close()
		}
	}
}

// A request with a long body, which is forwarded as it arrives and so has only one attempt, ends as the table of
// docs/layout.md says for each result of that attempt. It is never sent twice, and a request that is rejected with a
// 503 has not been executed.
func TestLongBodies(t *testing.T) {
	var tr trace
	var executed atomic.Int64
	in, address, counts := startSidecarForHandler(t, echo(&executed))
	restart := func() { in, address, counts = startSidecarForHandler(t, echo(&executed)) } // earlier failures would keep the server out of use
	noise := make([]byte, 40<<20)
	for i := range noise {
		noise[i] = byte(i * 7 >> 3)
	}
	chunks := func(body []byte) []byte {
		var out bytes.Buffer
		for n := 50_000; len(body) > 0; body = body[n:] {
			n = min(n, len(body))
			fmt.Fprintf(&out, "%x\r\n%s\r\n", n, body[:n])
		}
		out.WriteString("0\r\n\r\n")
		return out.Bytes()
	}
	ids := 0
	head := func(path string) string {
		ids++
		slow := strings.Replace(requestFields, "500m", "20000m", 1) // 32 MB take long on a busy machine
		return "POST /pay" + path + " HTTP/1.1\r\n" + strings.Replace(slow, "ID: 1", fmt.Sprint("ID: long", ids), 1)
	}
	post := func(path string, sized bool, body []byte) (*client, string) {
		c := dial(t, address)
		go func() {
			if sized {
				fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(path), len(body))
				c.Write(body)
				return
			}
			fmt.Fprintf(c, "%sTransfer-Encoding: chunked\r\n\r\n", head(path))
			c.Write(chunks(body))
		}()
		return c, c.readAnswer()
	}
	for _, size := range []int{100_000, 1 << 20, 5 << 20, 32 << 20} {
		for _, sized := range []bool{true, false} {
			c, answer := post("", sized, noise[:size])
			want := fmt.Sprintf(`200 "POST /pay %d %x"`, size, crc32.ChecksumIEEE(noise[:size]))
			tr.add("%d bytes, with a length %v: echoed %v, then %s", size, sized, answer == want, c.roundTrip("GET /look HTTP/1.1\r\n"+requestFields+"\r\n"))
		}
	}
	executedCount := executed.Load()
	record := func(name, answer string) {
		restart()
		tr.add("%s: %.40s, executed %d", name, answer, executed.Swap(0))
	}
	executed.Store(0)
	restart()
	tr.add("all executed once: %v", executedCount == 16)
	_, answer := post("/breaks", true, noise[:5<<20])
	record("the server closes half way", answer)
	_, answer = post("/early", true, noise[:5<<20])
	record("the server rejects it half way", answer)
	_, answer = post("/closes", true, noise[:5<<20])
	record("the server closes after the last byte", answer)
	_, answer = post("/closes", true, noise[:100_000])
	record("the same with a buffered body", answer)
	_, answer = post("", false, noise[:40<<20])
	record("chunks without end", answer[:min(3, len(answer))])
	waitUntilIdle(in)
	written := counts[counters.AttemptsWritten].Load()
	c := dial(t, address)
	fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n", head(""), 5<<20)
	c.Write(noise[:3<<20])
	c.Close()
	time.Sleep(50 * time.Millisecond)
	waitUntilIdle(in)
	record("the client leaves half way", fmt.Sprint("written completely ", counts[counters.AttemptsWritten].Load()-written))
	tr.compare(t, `
100000 bytes, with a length true: echoed true, then 200 "GET /look 0 0"
100000 bytes, with a length false: echoed true, then 200 "GET /look 0 0"
1048576 bytes, with a length true: echoed true, then 200 "GET /look 0 0"
1048576 bytes, with a length false: echoed true, then 200 "GET /look 0 0"
5242880 bytes, with a length true: echoed true, then 200 "GET /look 0 0"
5242880 bytes, with a length false: echoed true, then 200 "GET /look 0 0"
33554432 bytes, with a length true: echoed true, then 200 "GET /look 0 0"
33554432 bytes, with a length false: echoed true, then 200 "GET /look 0 0"
all executed once: true
the server closes half way: 503 "not now; a retry does no harm" clos, executed 0
the server rejects it half way: 503 "not now; a retry does no harm" clos, executed 0
the server closes after the last byte: 502 "no answer from the servers", executed 1
the same with a buffered body: 502 "no answer from the servers", executed 1
chunks without end: 413, executed 0
the client leaves half way: written completely 0, executed 0
`)
}

// A client that sends its body at 64 kB/s may finish, long after the time limit for a head. One that sends 2 kB/s,
// or a part and then nothing, is disconnected, and its request is never executed.
func TestSlowClients(t *testing.T) {
	var tr trace
	var executed atomic.Int64
	_, address, _ := startSidecarForHandler(t, echo(&executed))
	const size = 300_000
	write := func(name string, pieceSize int, interval time.Duration, limit int) chan string {
		c := dial(t, address)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\n%sContent-Length: %d\r\n\r\n", strings.Replace(requestFields, "ID: 1", "ID: "+name, 1), size)
		end := make(chan string, 1)
		go func() {
			body := make([]byte, pieceSize)
			for sent := 0; sent < limit; sent += pieceSize {
				if _, err := c.Write(body[:min(pieceSize, size-sent)]); err != nil {
					break
				}
				time.Sleep(interval)
			}
		}()
		go func() {
			c.SetReadDeadline(time.Now().Add(20 * time.Second))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			if err != nil {
				end <- "closed"
				return
			}
			end <- fmt.Sprint(resp.StatusCode)
		}()
		return end
	}
	slow := write("slow", 6400, 100*time.Millisecond, size)     // 64 kB/s, nearly 5 s
	drips := write("drips", 100, 50*time.Millisecond, size)     // 2 kB/s
	silent := write("silent", 20_000, time.Millisecond, 20_000) // a part, then nothing
	tr.add("slow: %s, drips: %s, silent: %s, executed %d", <-slow, <-drips, <-silent, executed.Load())
	tr.compare(t, `
slow: 200, drips: 408, silent: 408, executed 1
`)
}

// A body that was forwarded as it arrived is freed when its request ends, even if the client timeout isn't over.
func TestLongBodyIsFreed(t *testing.T) {
	var executed atomic.Int64
	in, address, _ := startSidecarForHandler(t, echo(&executed))
	heap := func() int64 {
		var now runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&now)
		return int64(now.HeapAlloc)
	}
	body := make([]byte, 2<<20)
	fields := strings.Replace(requestFields, "X-Timeout: 500m", "X-Timeout: 60000m", 1) // a busy machine may take over half of 500 ms for such a body
	var before int64
	for i := range 80 {
		if i == 20 {
			waitUntilIdle(in)
			before = heap()
		}
		c := dial(t, address)
		fmt.Fprintf(c, "POST /pay HTTP/1.1\r\n%sTransfer-Encoding: chunked\r\n\r\n%x\r\n", strings.Replace(fields, "ID: 1", fmt.Sprint("ID: kept", i), 1), len(body))
		c.Write(body)
		io.WriteString(c, "\r\n0\r\n\r\n")
		if answer := c.readAnswer(); !strings.HasPrefix(answer, "200") {
			t.Fatal(answer)
		}
		c.Close()
	}
	waitUntilIdle(in)
	if grown := heap() - before; grown > 15<<20 {
		t.Errorf("the heap grew by %d bytes over 60 requests of 2 MB", grown)
	}
}
