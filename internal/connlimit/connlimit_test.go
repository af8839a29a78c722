package connlimit

import (
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/peek"
)

// connected is a new connection, at both of its ends.
func connected(t *testing.T, l *Listener) (other, here net.Conn) {
	t.Helper()
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { other.Close() })
	if here, err = l.Accept(); err != nil {
		t.Fatal(err)
	}
	return other, here
}

// Once a connection is told to be evicted, nothing written to it may reach its client: a handler that finds
// a request on it returns, and what the server then writes would be an answer that no server made.
func TestEvictedIsClosed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := New(ln.(*net.TCPListener), 30, &counters.Sheet{}, zerolog.Nop())
	var reached atomic.Int64
	for range 20 {
		var here []net.Conn
		for range 30 {
			_, c := connected(t, l)
			here = append(here, c)
		}
		var all sync.WaitGroup
		for _, c := range here {
			all.Go(func() {
				for gone := false; !gone; runtime.Gosched() {
					l.mu.Lock()
					gone = c.(*client).evicted
					l.mu.Unlock()
				}
				if _, err := c.Write([]byte("answer")); err == nil {
					reached.Add(1)
				}
			})
		}
		l.EvictIdle(0)
		all.Wait()
	}
	got := fmt.Sprintf("%d answers reached an evicted client", reached.Load())
	if diff := cmp.Diff("0 answers reached an evicted client", got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}

// A client that has sent its request before the stop is not closed, though nothing was read of it; one that is silent is.
func TestSentIsNotIdle(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := New(ln.(*net.TCPListener), 30, &counters.Sheet{}, zerolog.Nop())
	var got []string
	for _, says := range []string{"GET /look HTTP/1.1\r\n", ""} {
		other, c := connected(t, l)
		other.Write([]byte(says))
		for says != "" && peek.Look(c, true) != peek.Waiting {
			runtime.Gosched()
		}
		l.EvictIdle(0)
		got = append(got, fmt.Sprintf("said %d bytes, evicted: %v", len(says), c.(*client).evicted))
	}
	want := []string{"said 20 bytes, evicted: false", "said 0 bytes, evicted: true"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}

// A newcomer finds no place. A client whose request has come, though nothing was read of it, is not the one that goes; one that was ended and
// lingers is, once it had its moment, and its place is free at once.
func TestSentIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	l := New(ln.(*net.TCPListener), 2, &counters.Sheet{}, zerolog.Nop())
	var got []string
	for range 2 {
		other, c := connected(t, l)
		other.Write([]byte("GET /look HTTP/1.1\r\n"))
		for peek.Look(c, true) != peek.Waiting {
			runtime.Gosched()
		}
		if got = append(got, fmt.Sprintf("evicted: %v", l.evictOne())); len(got) == 2 {
			c.Close()
		}
	}
	for end := time.Now().Add(20 * time.Second); !l.evictOne() && time.Now().Before(end); {
		runtime.Gosched()
	}
	got = append(got, fmt.Sprintf("one that lingers went, %d here", l.Here()))
	want := []string{"evicted: false", "evicted: false", "one that lingers went, 1 here"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-kept +now:\n%s", diff)
	}
}
