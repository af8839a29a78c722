package connlimit

import (
	"testing"
	"time"
)

func TestArrivals(t *testing.T) {
	var a arrivals
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	a.note(100, at(0))
	a.note(150, start.Add(arrivalStep/2)) // shares the time of those before
	a.note(300, at(40))
	for _, c := range []struct {
		bytes int
		want  time.Time
	}{{80, at(0)}, {150, at(0)}, {151, at(40)}, {300, at(40)}, {301, time.Time{}}} {
		if got := a.of(c.bytes); !got.Equal(c.want) {
			t.Errorf("%d bytes had been read at %v, want %v", c.bytes, got, c.want)
		}
	}
	for i := range 3 * maxArrivals {
		a.note(1000+i, at(100+2*i))
	}
	if len(a) != maxArrivals {
		t.Errorf("%d times are kept, want %d", len(a), maxArrivals)
	}
	if got, want := a.of(1000+3*maxArrivals-1), at(100+2*(3*maxArrivals-1)); !got.Equal(want) {
		t.Errorf("the last byte had been read at %v, want %v", got, want)
	}
}

func TestHoldsNext(t *testing.T) {
	for _, c := range []struct {
		received string
		want     bool
	}{
		{"", false},
		{"\r\n\r\n", false},
		{"GET / HTTP/1.1\r\nHost: a\r\n", false},
		{"GET / HTTP/1.1\r\nHost: a\r\n\r\n", true},
		{"\r\nGET / HTTP/1.1\r\nHost: a\r\n\r\nGET", true},
		{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n4", false},
		{"POST / HTTP/1.1\r\nContent-Length: 2\r\n\r\n42", true},
		{"POST / HTTP/1.1\r\nContent-Length: x\r\n\r\n", true}, // it is refused
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n4\r\n", false},
		{"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n4\r\n0\r\n\r\n", true},
	} {
		if got := new(Listener).HoldsNext(&clientConn{pipelined: []byte(c.received)}); got != c.want {
			t.Errorf("%q: %v, want %v", c.received, got, c.want)
		}
	}
}
