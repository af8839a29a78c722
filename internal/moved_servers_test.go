package internal_test

import (
	"context"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/rs/zerolog"

	"ledgespread/internal/counters"
	"ledgespread/internal/relay"
)

// An attempt was sent to the address that its server had had, where another process may listen by now: a list gave the
// server's name another address, or put it into another group, while the connection was being established.
func TestUnsentAttemptFollowsMovedServer(t *testing.T) {
	for _, test := range []struct {
		name, old, new string // what the list changes in the server's entry; nothing: its address
	}{
		{name: "another address"},
		{"another zone", `"site":"here"`, `"site":"there"`},
		{"another cell", `"block":3`, `"block":4`},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := startFakeServer(t, func(int, string) string { return okResponse })
			after := before
			if test.old == "" {
				after = startFakeServer(t, func(int, string) string { return okResponse })
			}
			change := make(chan bool)
			list := startFakeServer(t, func(call int, _ string) string {
				switch call {
				case 1:
					return listResponse(8, entryFor(before))
				case 2:
					<-change
					return listResponse(9, strings.Replace(entryFor(after), test.old, test.new, 1))
				}
				return "silence"
			})
			counts := &counters.Set{}
			servers := newOutbound(10*second, 9, counts)
			dialing, release := make(chan bool), make(chan bool)
			var dials atomic.Int64
			servers.Dial = func(_ context.Context, dialer net.Dialer, address string) (net.Conn, error) {
				if dials.Add(1) == 1 {
					dialing <- true
					<-release
				}
				return dialer.Dial("tcp", address)
			}
			manifest := parseConfiguration(t, strings.Replace(withLongTimeouts(entryFor(before)), "127.0.0.1:1", list.Addr().String(), 1))
			r, err := relay.New(manifest, 9, servers, nil, counts, zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			go r.Run()
			_, address := startInbound(t, manifest, 9, r, counts)
			request := "GET /look HTTP/1.1\r\n" + longTimeoutFields + "\r\n"
			early, late := dial(t, address), dial(t, address)
			io.WriteString(early, request)
			<-dialing
			close(change)
			waitUntil(t, "the list has been read", func() bool { return list.requestCount() >= 3 })
			answers := late.roundTrip(strings.Replace(request, "X-Request-ID: 1", "X-Request-ID: 2", 1)) // behind the list
			close(release)
			answers += ", " + early.readAnswer()
			unsent, atAfter := counts[counters.AttemptsNotSent].Load(), after.requestCount()
			if answers != `200 "hi", 200 "hi"` || unsent != 1 || atAfter != 2 {
				t.Errorf("answers %s, %d attempts not sent, %d requests where the server is now", answers, unsent, atAfter)
			}
		})
	}
}
