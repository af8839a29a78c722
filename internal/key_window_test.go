package internal_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/outbound"
)

const (
	keyWindow       = 500 * time.Millisecond // memory_span_us of the test configuration
	firstBreaks     = 200 * time.Millisecond // when the connection of a request's first attempt breaks
	receiveBuffer   = 32 << 10               // bytes that the server's machine takes unread, about
	pauseAfterRead  = 50 * time.Millisecond
	bytesOfEachRead = 64 << 10
)

// repeatServer executes the first request that it has read whole and then resets its connection. It reads the further
// ones only slowly, at bytesOfEachRead each pauseAfterRead, and nothing of them before readsAfter.
type repeatServer struct {
	net.Listener
	readsAfter time.Duration
	executed   chan time.Time // when a request had been read whole
	broken     chan bool      // gets a value for each further request that breaks off
}

func startRepeatServer(t *testing.T, readsAfter time.Duration) *repeatServer {
	t.Helper()
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer) })
	}}
	ln, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	s := &repeatServer{Listener: ln, readsAfter: readsAfter, executed: make(chan time.Time, 9), broken: make(chan bool, 9)}
	go func() {
		for number := 0; ; number++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c.(*net.TCPConn), number == 0)
		}
	}()
	return s
}

func (s *repeatServer) serve(c *net.TCPConn, first bool) {
	defer c.Close()
	var source io.Reader = c
	if !first {
		time.Sleep(s.readsAfter)
		source = readerFunc(func(p []byte) (int, error) {
			time.Sleep(pauseAfterRead)
			return io.ReadAtLeast(c, p[:min(len(p), bytesOfEachRead)], 1)
		})
	}
	request, err := http.ReadRequest(bufio.NewReaderSize(source, bytesOfEachRead))
	if err == nil {
		_, err = io.Copy(io.Discard, request.Body)
	}
	if err != nil {
		s.broken <- true
		return
	}
	s.executed <- time.Now()
	if first {
		time.Sleep(firstBreaks)
		c.SetLinger(0)
		return
	}
	io.WriteString(c, okResponse)
}

// The last byte of a repeated booking came when servers had forgotten its key, so that it was executed twice: only its
// first byte had to be in time. The rest took longer, in the sidecar or in its kernel, or the window became shorter.
func TestRepeatIsNotCompletedAfterKeyWindow(t *testing.T) {
	for _, test := range []struct {
		name         string
		body         longBody
		readsAfter   time.Duration
		window       string // in microseconds
		laterChanges func(text string) []string
	}{
		{"read slowly", longBody{size: 1_000_000}, 0, "500000", nil},
		{"in chunks, read slowly", longBody{size: 1_000_000, chunked: true}, 0, "500000", nil},
		{"short, in the kernel when the window ends", longBody{size: 60_000}, 2 * keyWindow, "500000", nil},
		{"window shortened meanwhile", longBody{size: 1_000_000}, 0, "20000000",
			func(text string) []string { return replaceClassSetting(text, "book", "memory_span_us", "500000") }},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := startRepeatServer(t, test.readsAfter)
			entry := strings.NewReplacer("127.0.0.1:9", server.Addr().String(), `"born_ms":2`, `"born_ms":0`).Replace(serverEntry)
			live := startLiveSidecar(t, strings.ReplaceAll(withLongTimeouts(entry), `"memory_span_us":500000`, `"memory_span_us":`+test.window))
			c := dial(t, live.address)
			test.body.path, test.body.timeout = "/book", 30*time.Second
			c.sendLongBody(test.body)
			first := <-server.executed
			if test.laterChanges != nil {
				time.Sleep(firstBreaks + keyWindow/4) // the repeat is under way
				live.reload(test.laterChanges(live.configuration)...)
			}
			if status := c.awaitStatus(); status != 502 {
				t.Errorf("answered %d", status)
			}
			if took := time.Since(first); took > keyWindow+lostAfter {
				t.Errorf("answered only %v after it was executed", took)
			}
			select {
			case at := <-server.executed:
				t.Errorf("executed again after %v", at.Sub(first))
			case <-server.broken:
			case <-time.After(20 * time.Second):
				t.Error("no repeat was sent")
			}
		})
	}
}

// An attempt that is still being sent when another attempt of its request runs is limited by that one's key: it was
// limited by earlier attempts only.
func TestOutstandingAttemptIsLimitedLater(t *testing.T) {
	server := startRepeatServer(t, 0)
	if c, err := net.Dial("tcp", server.Addr().String()); err == nil { // the server's first connection, which it reads at once
		defer c.Close()
	}
	x := exchange.New().SetContent([]byte("POST /book HTTP/1.1\r\nHost: a\r\nContent-Length: 2000000\r\n"), nil, [][]byte{make([]byte, 2_000_000)})
	o := newOutbound(10*second, 9, &counters.Set{})
	ended := make(chan error, 1)
	sent := o.Send(x, 1, server.Addr().String(), time.Now().Add(30*time.Second), time.Time{}, func(_ *exchange.Answer, _ bool, _ []float64, err error) { ended <- err })
	time.Sleep(keyWindow / 5)
	sent.LimitLastByte(time.Now().Add(keyWindow / 5))
	if err := <-ended; resultNames[outbound.ResultOf(err)] != "never sent" {
		t.Error(err)
	}
	<-server.broken
}

// A request that was given up was completed and executed later, since the kernel went on sending it after the close:
// its client had long been told that it failed, and another server may have executed it.
func TestGivenUpAttemptIsNotCompletedLater(t *testing.T) {
	for _, test := range []struct {
		name    string
		timeout time.Duration
		giveUp  func(*outbound.Attempt)
	}{
		{"cancelled", 30 * time.Second, func(sent *outbound.Attempt) { time.Sleep(keyWindow / 5); sent.Cancel() }},
		{"timed out", keyWindow / 5, func(*outbound.Attempt) {}},
	} {
		server := startRepeatServer(t, keyWindow)
		c, err := net.Dial("tcp", server.Addr().String()) // the server's first connection, which it reads at once
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		x := exchange.New().SetContent([]byte("POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 60000\r\n"), make([]byte, 60_000), nil)
		ended := make(chan error, 1)
		sent := newOutbound(10*second, 9, &counters.Set{}).Send(x, 1, server.Addr().String(), time.Now().Add(test.timeout), time.Time{},
			func(_ *exchange.Answer, _ bool, _ []float64, err error) { ended <- err })
		test.giveUp(sent)
		err = <-ended
		select {
		case <-server.executed:
			t.Errorf("%s (%v): executed", test.name, err)
		case <-server.broken:
		case <-time.After(20 * time.Second):
			t.Errorf("%s (%v): not sent", test.name, err)
		}
	}
}
