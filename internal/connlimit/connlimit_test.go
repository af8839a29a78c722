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

// connect opens a connection to the listener and returns both of its ends.
func connect(t *testing.T, listener *Listener) (peer, accepted net.Conn) {
	t.Helper()
	peer, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	if accepted, err = listener.Accept(); err != nil {
		t.Fatal(err)
	}
	return peer, accepted
}

// Once a connection is marked as evicted, nothing written to it may reach its client. A handler that finds a
// request on an evicted connection returns without an answer, and what the HTTP server then writes would look
// like an answer.
func TestNoWriteAfterEviction(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	listener := New(ln.(*net.TCPListener), 30, &counters.Set{}, zerolog.Nop())
	var reached atomic.Int64
	for range 20 {
		var conns []net.Conn
		for range 30 {
			_, conn := connect(t, listener)
			conns = append(conns, conn)
		}
		var writers sync.WaitGroup
		for _, conn := range conns {
			writers.Go(func() {
				for marked := false; !marked; runtime.Gosched() {
					listener.mu.Lock()
					marked = conn.(*clientConn).evicted
					listener.mu.Unlock()
				}
				if _, err := conn.Write([]byte("answer")); err == nil {
					reached.Add(1)
				}
			})
		}
		listener.EvictIdle(0)
		writers.Wait()
	}
	got := fmt.Sprintf("%d answers reached an evicted client", reached.Load())
	if diff := cmp.Diff("0 answers reached an evicted client", got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// A stop does not close a connection whose client has sent a request, even if none of it has been read. It
// closes a silent one.
func TestStopKeepsUnreadRequest(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	listener := New(ln.(*net.TCPListener), 30, &counters.Set{}, zerolog.Nop())
	var got []string
	for _, request := range []string{"GET /look HTTP/1.1\r\n", ""} {
		peer, conn := connect(t, listener)
		peer.Write([]byte(request))
		for request != "" && peek.Inspect(conn, true) != peek.Readable {
			runtime.Gosched()
		}
		listener.EvictIdle(0)
		got = append(got, fmt.Sprintf("sent %d bytes, evicted: %v", len(request), conn.(*clientConn).evicted))
	}
	want := []string{"sent 20 bytes, evicted: false", "sent 0 bytes, evicted: true"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// When a new client finds no free slot, a connection whose client has sent a request is not evicted, even if
// none of the request has been read. A connection that was closed and lingers is evicted once it has lingered
// long enough, and its slot is free at once.
func TestUnreadRequestIsNotEvicted(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	listener := New(ln.(*net.TCPListener), 2, &counters.Set{}, zerolog.Nop())
	var got []string
	for range 2 {
		peer, conn := connect(t, listener)
		peer.Write([]byte("GET /look HTTP/1.1\r\n"))
		for peek.Inspect(conn, true) != peek.Readable {
			runtime.Gosched()
		}
		if got = append(got, fmt.Sprintf("evicted: %v", listener.evictOne())); len(got) == 2 {
			conn.Close()
		}
	}
	for end := time.Now().Add(20 * time.Second); !listener.evictOne() && time.Now().Before(end); {
		runtime.Gosched()
	}
	got = append(got, fmt.Sprintf("lingering connection evicted, %d left", listener.OpenConnections()))
	want := []string{"evicted: false", "evicted: false", "lingering connection evicted, 1 left"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}

// A look at what has arrived of a body made the socket's interface anew, and hundreds of bodies are looked at many times a
// second: the garbage kept short requests waiting for a second.
func TestLookAtArrivalMakesNoGarbage(t *testing.T) {
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	_, conn := connect(t, New(ln, 1, &counters.Set{}, zerolog.Nop()))
	arrived := MessageArrival(conn)
	if n := testing.AllocsPerRun(100, func() { arrived() }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
