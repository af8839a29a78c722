package inbound_test

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/connlimit"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/inbound"
	"ledgespread/internal/memory"
	"ledgespread/internal/site"
)

// These tests measure the heap of their process, so that no others may run in it.

const configuration = `{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"a1",
	"limits":{"cores":1,"memory_mb":64,"sockets":64},"known":{"seq":7,"whole":true,"hosts":[]},
	"settings":{"my_zone":0,"azs":["here"],"discovery":"pushed","step_us":1000,"realms":[{"name":"acme","quota_per_s":99}],
	"path_prefixes":[{"name":"look","effect":"read_like","group":"all","target_latency_us":400000,"client_timeout_us":800000,
		"memory_span_us":0,"value":1,"late_value":0},
		{"name":"pay","effect":"non_idempotent","group":"all","target_latency_us":400000,"client_timeout_us":800000,
		"memory_span_us":0,"value":1,"late_value":0}],
	"allowed":{"max_backend_fetches":5,"conn_idle_us":10000000,"connect_timeout_us":100000,"cancel":true,"multiplex":1},
	"obligations":{"cold_from":0.3,"cold_us":8000000,"fall_multiple":3,"fall_us":1500000,"ask_every_us":10000000}}}`

const requestFields = "Host: api\r\nX-Request-ID: 1\r\nX-Tenant-Id: acme\r\nX-Timeout: 30000m\r\n"

// fakeRelay handles requests by a function.
type fakeRelay func(*exchange.Exchange)

func (handle fakeRelay) HandleRequest(request *exchange.Exchange)  { handle(request) }
func (handle fakeRelay) BodyArrived(*exchange.Exchange, time.Time) {}
func (handle fakeRelay) RequestEnded(*exchange.Exchange)           {}
func (handle fakeRelay) RequestTimedOut(*exchange.Exchange)        {}

// startInbound starts a server for the waiting clients, and returns its address.
func startInbound(t *testing.T, memoryMB int, relay fakeRelay, account *memory.Account) (address string) {
	t.Helper()
	manifest, err := site.Parse([]byte(configuration))
	if err != nil {
		t.Fatal(err)
	}
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	manifest.Listen, manifest.MemoryMB = free.Addr().String(), memoryMB
	free.Close()
	in, err := inbound.Listen(manifest, 2*waitingClients, relay, account, &counters.Set{}, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	go in.Serve()
	return manifest.Listen
}

// dial connects a client.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	connection, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { connection.Close() })
	return connection
}

// heapInUse returns the bytes of all live objects.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.GC() // the first one leaves what pools held
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// sendInPieces writes a message, pauses in between so that each piece is read apart.
func sendInPieces(to io.Writer, message string, size int) {
	for at := 0; at < len(message); at += size {
		io.WriteString(to, message[at:min(at+size, len(message))])
		time.Sleep(2 * time.Millisecond)
	}
}

// maxParsing is how long a busy machine may take for the heads of all clients. They are cut off after connlimit.MessageTimeout.
const maxParsing = connlimit.MessageTimeout / 4

// waitingClients is how many clients wait in one case of TestWaitingClientsAreInTheAccount.
const waitingClients = 40

// holdRequests returns a relay that answers only requests that are marked as a retry. It reads the bodies of the others.
func holdRequests() fakeRelay {
	return func(request *exchange.Exchange) {
		switch {
		case request.Repeated:
			request.Deliver(&exchange.Answer{Body: []byte("done")})
		case request.Upload != nil:
			go io.Copy(io.Discard, request.Upload)
		}
	}
}

// measureWaitingClients returns how many bytes clients that each send such a message hold, and how many the account has for
// them. The head comes in pieces of this size; id is replaced in it.
func measureWaitingClients(t *testing.T, memoryMB int, head, rest string, pieceSize int) (held, accounted int64) {
	const ownBytes = 2 << 10 // of a client, in this process as well
	account := memory.New(64 << 20)
	address := startInbound(t, memoryMB, holdRequests(), account)
	before := heapInUse()
	var connections []net.Conn
	var all sync.WaitGroup
	for i := range waitingClients {
		connection := dial(t, address)
		connections = append(connections, connection)
		all.Go(func() {
			sendInPieces(connection, strings.Replace(head, "ID: 1\r", fmt.Sprintf("ID: %d\r", i), 1), pieceSize)
			sendInPieces(connection, rest, max(pieceSize, len(rest)/10))
		})
	}
	all.Wait()
	time.Sleep(100 * time.Millisecond) // it has been read
	for began := time.Now(); ; {       // a head that is being parsed takes more for a moment
		held, accounted = (heapInUse()-before)/waitingClients-ownBytes, account.Used()/waitingClients
		if held <= accounted || time.Since(began) > maxParsing {
			break
		}
	}
	for _, connection := range connections {
		connection.Close()
	}
	for began := time.Now(); account.Used() != 0; time.Sleep(time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			t.Fatalf("%d bytes are left in the account", account.Used())
		}
	}
	return held, accounted
}

// Guards against a process that is killed over its memory limit: wherever a client stops in a message, and whatever the HTTP
// server waits for there, it holds no more than the account of memory has for it. docs/layout.md refers to this table.
func TestWaitingClientsAreInTheAccount(t *testing.T) {
	const (
		get, post      = "GET /look HTTP/1.1\r\n", "POST /pay HTTP/1.1\r\n"
		sized, chunked = "Content-Length: 100\r\n", "Transfer-Encoding: chunked\r\n"
		expect         = "Expect: 100-continue\r\n"
	)
	many := strings.Repeat("a:\r\n", 1900)
	answered := get + strings.Replace(requestFields, "ID: 1", "ID: first", 1) + "X-Retried: 1\r\n\r\n"
	for _, test := range []struct{ name, start, fields, rest string }{
		{"in a head", get, many + "a", ""},
		{"in a line of a head", get, many + strings.Repeat("a", 4000), ""},
		{"behind a head, for its answer", get, many + "\r\n", ""},
		{"behind a head of one long field, for its answer", get, "A: " + strings.Repeat("b", len(many)) + "\r\n\r\n", ""},
		{"in a second head", answered + get, many + "a", ""},
		{"in a second head, for the first answer", get, "\r\n" + get + many + "a", ""},
		{"behind many heads", get, "\r\n" + strings.Repeat(get+"Host: a\r\n\r\n", 1000), ""},
		{"behind a head with a length", post, sized + many + "\r\n", ""},
		{"in a body", post, sized + many + "\r\n", "x"},
		{"behind a head with chunks", post, chunked + many + "\r\n", ""},
		{"in a size of a chunk", post, chunked + many + "\r\n", "1"},
		{"in an extension of a chunk", post, chunked + many + "\r\n", "1;" + strings.Repeat("x", 4000)},
		{"in a chunk", post, chunked + many + "\r\n", "5\r\nx"},
		{"for 100 Continue, with a length", post, sized + expect + many + "\r\n", ""},
		{"for 100 Continue, with chunks", post, chunked + expect + many + "\r\n", ""},
		{"for 100 Continue, in capitals", post, sized + strings.ToUpper(expect) + many + "\r\n", ""},
		{"for 100 Continue, expected behind the fields", post, sized + many + expect + "\r\n", ""},
		{"for 100 Continue, behind a request", answered + post, sized + expect + many + "\r\n", ""},
		{"for 100 Continue, in a body", post, sized + expect + many + "\r\n", "x"},
		{"with an unknown expectation", post, sized + "Expect: nothing\r\n" + many + "\r\n", ""},
		{"with two expectations", post, sized + "Expect: nothing\r\n" + expect + many + "\r\n", ""},
		{"with an expectation twice", post, sized + expect + expect + many + "\r\n", ""},
		{"with an expectation, by HTTP/1.0", "POST /pay HTTP/1.0\r\n", sized + expect + many + "\r\n", ""},
		{"with an expectation and a long path, by HTTP/1.0", "POST /pay/" + strings.Repeat("x", 300) + " HTTP/1.0\r\n", sized + expect + many + "\r\n", ""},
		{"in trailers", post, chunked + "\r\n", "1\r\nx\r\n0\r\n" + many + "a"},
		{"behind trailers, for its answer", post, chunked + "\r\n", "1\r\nx\r\n0\r\n" + many + "\r\n"},
		{"in trailers of an expected body", post, chunked + expect + "\r\n", "1\r\nx\r\n0\r\n" + many + "a"},
		{"in trailers of a long body", post, chunked + "\r\n", "30000\r\n" + strings.Repeat("x", 0x30000) + "\r\n0\r\n" + many + "a"},
	} {
		for _, way := range []struct {
			name                string
			memoryMB, pieceSize int
		}{{"at once", 64, 1 << 20}, {"in pieces, with little memory", 8, 1111}} {
			t.Run(test.name+", "+way.name, func(t *testing.T) {
				head := test.start + requestFields + test.fields
				held, accounted := measureWaitingClients(t, way.memoryMB, head, test.rest, way.pieceSize)
				if held > accounted {
					t.Errorf("a client holds %d bytes, and the account has %d", held, accounted)
				}
			})
		}
	}
}

// measureUnreadAnswers returns how many bytes clients hold that ask again and again and read nothing, and how many the account has for
// them.
func measureUnreadAnswers(t *testing.T, head []byte) (held, accounted int64) {
	const requests, ownBytes = 5000, 12 << 10 // requests are more than fit unread; a client and its goroutine are in this process as well
	account := memory.New(64 << 20)
	var handled atomic.Int64
	address := startInbound(t, 64, func(request *exchange.Exchange) {
		handled.Add(1)
		request.Deliver(&exchange.Answer{Head: head, Body: make([]byte, memory.FreeBytes)})
	}, account)
	before := heapInUse()
	for i := range waitingClients {
		connection := dial(t, address)
		go func() {
			for j := range requests {
				fields := strings.Replace(requestFields, "ID: 1\r", fmt.Sprintf("ID: %d-%d\r", i, j), 1)
				if _, err := io.WriteString(connection, "GET /look HTTP/1.1\r\n"+fields+"\r\n"); err != nil {
					return
				}
			}
		}()
	}
	for before := int64(-1); handled.Load() > before; time.Sleep(300 * time.Millisecond) { // until the kernel's buffers are full
		before = handled.Load()
	}
	if handled.Load() == requests*waitingClients {
		t.Fatal("all answers fit into the kernel's buffers")
	}
	return (heapInUse()-before)/waitingClients - ownBytes, account.Used() / waitingClients
}

// Guards against a process that is killed over its memory limit, by answers with very many fields to clients that read nothing: the
// HTTP server keeps each field apart while it writes the head.
func TestUnreadAnswersAreInTheAccount(t *testing.T) {
	for _, test := range []struct {
		name   string
		fields int
	}{{"few fields", 10}, {"many fields", 1500}} {
		t.Run(test.name, func(t *testing.T) {
			if held, accounted := measureUnreadAnswers(t, []byte(strings.Repeat("a: b\r\n", test.fields))); held > accounted {
				t.Errorf("a client holds %d bytes, and the account has %d", held, accounted)
			}
		})
	}
}
