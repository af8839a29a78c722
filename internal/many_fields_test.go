package internal_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
)

// The parsed fields of a long head are dropped early. Nothing that depends on the head may change by it: the method, the
// end of a body in chunks, trailers, the connection's end, and the next request.
func TestHeadsOfManyFields(t *testing.T) {
	const fieldCount = 200
	_, address, _ := startSidecarForHandler(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		for i := range fieldCount {
			w.Header().Set(fmt.Sprintf("Y-%d", i), r.Header.Get(fmt.Sprintf("Z-%d", i)))
		}
		if strings.HasSuffix(r.URL.Path, "/long") {
			w.Write(make([]byte, 200_000))
		}
		fmt.Fprintf(w, "%s %s %q %v", r.Method, r.URL.Path, body, err)
	})
	var fields strings.Builder
	for i := range fieldCount {
		fmt.Fprintf(&fields, "Z-%d: %d\r\n", i, i)
	}
	c := dial(t, address)
	for _, test := range []struct{ start, end, want string }{
		{"GET /look/a HTTP/1.1", "\r\n", `GET /look/a "" <nil>`},
		{"POST /pay/b HTTP/1.1", "Content-Length: 3\r\n\r\nabc", `POST /pay/b "abc" <nil>`},
		{"POST /pay/c HTTP/1.1", "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nLast: 1\r\n\r\n", `POST /pay/c "abc" <nil>`},
		{"GET /look/long HTTP/1.1", "\r\n", `GET /look/long "" <nil>`},
		{"GET /look/d HTTP/1.1", "Connection: close\r\n\r\n", `GET /look/d "" <nil>`},
	} {
		fmt.Fprintf(c, "%s\r\nHost: api\r\nX-Request-ID: fields%d\r\nX-Tenant-Id: acme\r\nX-Timeout: 400m\r\n%s%s", test.start, lastRequestID.Add(1), fields.String(), test.end)
		answer, err := http.ReadResponse(c.in, nil)
		if err != nil {
			t.Fatal(test.start, err)
		}
		body, err := io.ReadAll(answer.Body)
		if got := strings.TrimLeft(string(body), "\x00"); got != test.want || err != nil {
			t.Errorf("%s: %.100q, %v", test.start, got, err)
		}
		for i := range fieldCount {
			if got := answer.Header.Get(fmt.Sprintf("Y-%d", i)); got != fmt.Sprint(i) {
				t.Errorf("%s: field %d is %q", test.start, i, got)
			}
		}
	}
	if n, err := c.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("after the last answer: %d bytes, %v", n, err)
	}
}
