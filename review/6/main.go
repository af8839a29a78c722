// The case of a long tagged request that is repeated to a server that takes its body slowly.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"ledgespread/review/rig2"
)

const (
	runFor    = 45 * time.Second
	clients   = 6
	pause     = 800 * time.Millisecond // of a client between two requests, in the mean
	bodyBytes = 2 << 20
	timeout   = 3 * time.Second
	window    = time.Second
	slack     = 150 * time.Millisecond // 50 ms of the protocol page on each limit, and what the server's machine may hold

	slowRate   = 2 << 20 // bytes a second of a body that a server takes slowly; others it takes as they come
	slowOneIn  = 4
	resetAfter = 420 * time.Millisecond // from the beginning of a request
	resetOneIn = 2
)

// group is what all servers know of keys.
type group struct {
	mu   sync.Mutex
	runs map[string][]time.Time // by key, when it was run
}

// run reports whether a request with this key is run now: servers drop a repeat within the window. again is true if
// it had run before.
func (g *group) run(key string) (run, again bool, since time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.runs[key]
	if len(before) > 0 {
		if since = time.Since(before[0]); since <= window+slack {
			return false, true, since
		}
	}
	g.runs[key] = append(before, time.Now())
	return true, len(before) > 0, since
}

func main() {
	c := rig2.Begin("a long tagged request, repeated to a server that takes its body slowly")
	known := &group{runs: map[string][]time.Time{}}
	handle := func(link *rig2.Link, request *rig2.Arrival) {
		run, again, since := known.run(request.Key)
		switch {
		case run && again:
			c.Break("%s runs the booking with key %s again, %v after it was run first", link.Server.Name, request.Key, since)
		case again:
			c.Log("%s drops the repeat of %s", link.Server.Name, request.Key)
		case c.Trouble && rand.N(resetOneIn) == 0:
			time.Sleep(resetAfter)
			c.Log("%s: the connection breaks under %s", link.Server.Name, request.ID)
			link.Reset()
			return
		}
		time.Sleep(30 * time.Millisecond)
		body := rig2.BodyFor(request.ID, request.Tenant)
		fmt.Fprintf(link, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		link.Close()
	}
	var list []*rig2.Server
	for i := range 9 {
		server := c.NewServer(fmt.Sprintf("s-%d", i+1), "bangna", 0, handle)
		server.BodyRate = func() int {
			if rand.N(slowOneIn) == 0 {
				return slowRate
			}
			return 0
		}
		list = append(list, server)
	}
	sidecar := c.Start(rig2.Site{MemoryMB: 192, Sockets: 1024, Zones: []string{"bangna"}, Servers: list, Tenants: []string{"mekong-charge"},
		Classes: []rig2.Class{{Name: "booking", Effect: "idempotency_key", Target: 600_000, Timeout: 3_000_000, Window: int(window / time.Microsecond)}}})
	var all sync.WaitGroup
	until := time.Now().Add(runFor)
	body := strings.Repeat("b", bodyBytes)
	for i := range clients {
		all.Go(func() {
			for n := 0; time.Now().Before(until); n++ {
				time.Sleep(rand.N(2 * pause))
				book(c, sidecar, fmt.Sprintf("c%d-%d", i, n), body)
			}
		})
	}
	all.Wait()
	if sidecar.Ended() {
		c.Impossible("the sidecar has ended")
	}
	c.End()
}

// book sends one booking and waits for its answer.
func book(c *rig2.Case, sidecar *rig2.Sidecar, id, body string) {
	client, err := rig2.Connect(sidecar.Listen)
	if err != nil {
		c.Impossible("%v", err)
	}
	defer client.Close()
	io.WriteString(client, rig2.Head("POST", "/booking/x", id, "mekong-charge", timeout, fmt.Sprintf("Idempotency-Key: k%s\r\nContent-Length: %d\r\n", id, len(body))))
	io.WriteString(client, body)
	c.Log("%s is sent", id)
	reply, err := client.Next(timeout + time.Second)
	if err != nil {
		c.Log("%s has no answer: %v", id, err)
		return
	}
	c.Log("%s is answered %d", id, reply.Status)
}
