// The script of a case: a planned restart while clients have sent several requests at once.
package main

import (
	"fmt"
	"net"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"ledgespread/review/rig3"
)

const (
	timeout  = 3 * time.Second // of the clients
	work     = 900 * time.Millisecond
	slack    = 500 * time.Millisecond // a final answer may come so late
	killed   = 3700 * time.Millisecond
	clients  = 4
	together = 3 // requests that a client sends at once
)

func main() {
	c := rig3.Begin()
	var servers []*rig3.Server
	for _, name := range []string{"s-1", "s-2", "s-3", "s-4"} {
		servers = append(servers, c.StartServer(name, "a", func(v *rig3.Visit) {
			time.Sleep(work)
			v.OK()
		}))
	}
	d := c.StartDiscovery(servers...)
	class := rig3.Class("booking", "non_idempotent", "all", timeout, 0)
	class["target_latency_us"] = timeout.Microseconds()
	conf := rig3.Config{Name: "n0", Listen: c.FreePort(), Discovery: d.Addr, Known: d.List(), Settings: rig3.Settings(class)}
	s := c.StartSidecar("n0", conf, filepath.Join(c.Tmp, "n0"))
	s.AwaitReady()
	time.Sleep(1500 * time.Millisecond)

	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() { requests(c, conf.Listen, client) })
	}
	time.Sleep(200 * time.Millisecond)
	if c.Trouble {
		s.Signal(syscall.SIGTERM)
		time.AfterFunc(killed, func() {
			if s.Running() {
				s.Signal(syscall.SIGKILL)
			}
		})
	}
	all.Wait()
	c.End()
}

// requests sends all requests of a client in one write, and reads their answers in order.
func requests(c *rig3.Case, address string, client int) {
	conn, err := c.Connect(address)
	if err != nil {
		c.Impossible("connect: %v", err)
	}
	defer conn.Close()
	var text string
	var ids []string
	for i := range together {
		id := fmt.Sprintf("c%d-%d", client, i+1)
		ids = append(ids, id)
		text += rig3.Request("POST", "/booking/"+id, id, timeout)
	}
	fmt.Fprint(conn, text)
	sent := time.Now()
	c.Logf("client %d has written %v", client, ids)
	for i, id := range ids {
		status, body, closes, err := conn.Receive(time.Until(sent.Add(timeout + slack)))
		if err != nil {
			c.Logf("client of %s: no answer on its connection, %.2f s after it was written: %v", id, time.Since(sent).Seconds(), err)
			for _, left := range ids[i:] {
				again(c, address, left, sent)
			}
			return
		}
		c.Logf("client of %s: %d %q, close %v, %.2f s after it was written", id, status, body, closes, time.Since(sent).Seconds())
	}
}

// again sends a request once more on a new connection, as clients do whose connection was closed between requests.
func again(c *rig3.Case, address, id string, sent time.Time) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		c.Broken("%s was read with the requests before it and never got a final answer; once more on a new connection: %v", id, err)
		return
	}
	defer conn.Close()
	fmt.Fprint(conn, rig3.Request("POST", "/booking/"+id, id, time.Until(sent.Add(timeout))))
	conn.SetReadDeadline(sent.Add(timeout + slack))
	if n, err := conn.Read(make([]byte, 1024)); n == 0 {
		c.Broken("%s was read with the requests before it and never got a final answer, nor on a new connection: %v", id, err)
		return
	}
	c.Logf("client of %s: answered on a new connection", id)
}
