package discovery_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/discovery"
)

// scriptedCall is a call to a service whose answers the test writes itself.
type scriptedCall struct {
	query string
	conn  io.Writer
}

func (c scriptedCall) answer(body string) {
	fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	synctest.Wait()
}

// scriptedService returns a Dial, and the calls made through it in the order in which they arrive.
func scriptedService() (discovery.Dial, <-chan scriptedCall) {
	calls := make(chan scriptedCall, 100)
	return func(string, time.Duration) (net.Conn, error) {
		near, far := connect()
		go func() {
			defer far.Close()
			for reader := bufio.NewReader(far); ; {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				calls <- scriptedCall{request.URL.RawQuery, far}
			}
		}()
		return near, nil
	}, calls
}

// An answer that repeats the version held does not make a call outdated that began before it came: a service that has
// lost its version counter answers that call with a lower version, and the sidecar must notice it.
func TestRepeatedVersionKeepsLaterCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var told []*discovery.List
		dial, calls := scriptedService()
		watcher := discovery.New("a0", map[string]int{"here": 0}, 0, 10e6, 3, 1<<20, 7, func(l *discovery.List) { told = append(told, l) },
			&counters.Set{}, zerolog.Nop())
		watcher.SetDial(dial)
		next := func() scriptedCall {
			t.Helper()
			synctest.Wait()
			select {
			case c := <-calls:
				return c
			default:
				t.Fatal("no call")
				return scriptedCall{}
			}
		}
		defer time.Sleep(time.Minute)
		defer watcher.Close()
		const server = `{"host":"s0","dial":"127.0.0.1:1","site":"here","block":0,"health":"in_service","share":1,"born_ms":0}`
		watcher.Watch()
		next().answer(`{"seq":10,"whole":true,"hosts":[` + server + `]}`)
		first := next() // waits for a change, and goes on when the next watch starts
		watcher.Watch()
		next().answer(`{"seq":10,"whole":false,"hosts":[]}`)
		second := next()
		const change = `{"seq":11,"whole":false,"hosts":[` + server + `]}`
		first.answer(change)
		watcher.Watch()
		third := next()
		second.answer(change)
		told = nil
		third.answer(`{"seq":3,"whole":true,"hosts":[]}`) // versions count anew, and the server is gone
		if len(told) != 1 || told[0] == nil || !told[0].Whole && len(told[0].Entries) == 0 {
			t.Errorf("told %+v after the server was gone", told)
		}
		if c := next(); c.query != "" {
			t.Errorf("the next call asks for %q, not for the whole list", c.query)
		}
	})
}
