package internal_test

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
)

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

// waitingClients is how many clients wait in one case of TestWaitingClientsAreInTheAccount.
const waitingClients = 40

// holdRequests returns a relay that answers only requests that are marked as a retry. It reads the bodies of the others.
func holdRequests() fakeRelay {
	return fakeRelay{&trace{}, func(request *exchange.Exchange) {
		switch {
		case request.Repeated:
			deliverDone(request)
		case request.Upload != nil:
			go io.Copy(io.Discard, request.Upload)
		}
	}}
}

// measureWaitingClients returns how many bytes clients that each send such a message hold, and how many the account has for
// them. The head comes in pieces of this size; id is replaced in it.
func measureWaitingClients(t *testing.T, memoryMB int, head, rest string, pieceSize int) (held, accounted int64) {
	const ownBytes = 6 << 10 // of a client and its buffer, in this process as well
	manifest, account := parseConfiguration(t, configuration("", "")), memory.New(64<<20)
	manifest.MemoryMB = memoryMB
	_, address := startInboundWithAccount(t, manifest, 2*waitingClients, holdRequests(), account, &counters.Set{})
	before := heapInUse()
	var connections []*client
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
	held, accounted = (heapInUse()-before)/waitingClients-ownBytes, account.Used()/waitingClients
	for _, connection := range connections {
		connection.Close()
	}
	waitUntil(t, "nothing is left in the account", func() bool { return account.Used() == 0 })
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
	answered := get + strings.Replace(longTimeoutFields, "ID: 1", "ID: first", 1) + "X-Retried: 1\r\n\r\n"
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
				head := test.start + longTimeoutFields + test.fields
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
	const requests, ownBytes = 5000, 16 << 10 // requests are more than fit unread; a client, its goroutine and its buffer are in this process as well
	account := memory.New(64 << 20)
	var handled atomic.Int64
	answer := fakeRelay{&trace{}, func(request *exchange.Exchange) {
		handled.Add(1)
		request.Deliver(&exchange.Answer{Head: head, Body: make([]byte, memory.FreeBytes)})
	}}
	_, address := startInboundWithAccount(t, parseConfiguration(t, configuration("", "")), 2*waitingClients, answer, account, &counters.Set{})
	before := heapInUse()
	for i := range waitingClients {
		connection := dial(t, address)
		go func() {
			for j := range requests {
				fields := strings.Replace(longTimeoutFields, "ID: 1\r", fmt.Sprintf("ID: %d-%d\r", i, j), 1)
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
