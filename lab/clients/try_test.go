package clients

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"ledgespread/lab/clock"
	"ledgespread/lab/plan"
	"ledgespread/lab/scenario"
)

// lateReader is a connection whose client is not scheduled in time: it reads later than data, or the end, arrives.
type lateReader struct{ *net.TCPConn }

func (c lateReader) Read(p []byte) (int, error) {
	time.Sleep(3 * closeRaceWindow.Duration())
	return c.TCPConn.Read(p)
}

// A request on a reused connection that had been closed before it was sent can't have been read: it is sent again, however
// late the client learns of the close. One that is closed long after the request was sent is lost.
func TestRequestOnClosedConnection(t *testing.T) {
	const id = "v1"
	for _, test := range []struct {
		name        string
		closeBefore bool
		want        Outcome
	}{{"closed before", true, Delivered}, {"closed after", false, Lost}} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer listener.Close()
		client, err := net.Dial("tcp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		sidecar, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		go http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, id+" hi") }))
		if test.closeBefore {
			sidecar.(*net.TCPConn).CloseWrite()
			time.Sleep(10 * time.Millisecond) // until the close has arrived
		} else {
			time.AfterFunc(2*closeRaceWindow.Duration(), func() { sidecar.(*net.TCPConn).CloseWrite() })
		}
		late := lateReader{client.(*net.TCPConn)}
		labClock := clock.Start()
		clients := New(&scenario.Scenario{}, nil, []string{listener.Addr().String()}, labClock, nil)
		clients.pools[0].maxOpen, clients.pools[0].open = 2, 1
		clients.pools[0].release(&connection{late, bufio.NewReader(late)})
		try := &Try{ID: id, Deadline: labClock.Now() + clock.Second}
		clients.send(try, plan.Visit{Tenant: -1}, scenario.Prefix{Name: "look", Effect: "read_like"})
		if diff := cmp.Diff(test.want, try.Outcome); diff != "" {
			t.Errorf("%s: %s (-want +got):\n%s", test.name, try.Why, diff)
		}
	}
}
