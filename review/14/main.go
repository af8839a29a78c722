// The script of a case: servers hang while clients have sent several requests at once.
package main

import (
	"fmt"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"ledgespread/review/rig3"
)

const (
	timeout  = 2 * time.Second
	work     = 600 * time.Millisecond
	slack    = 500 * time.Millisecond // a final answer may come so late
	toldOver = 150 * time.Millisecond // a server may be told so much more than what is left to the client
	clients  = 8
	together = 3 // requests that a client sends at once
)

func main() {
	c := rig3.Begin()
	var mu sync.Mutex
	written := map[string]time.Time{} // when a request's last byte was written
	var servers []*rig3.Server
	for i := range 4 {
		hangs := i%2 == 0
		servers = append(servers, c.StartServer("s-"+strconv.Itoa(i), "a", func(v *rig3.Visit) {
			mu.Lock()
			sent := written[v.ID]
			mu.Unlock()
			micros, _ := strconv.Atoi(strings.TrimSuffix(v.Timeout, "u"))
			told, left := time.Duration(micros)*time.Microsecond, time.Until(sent.Add(timeout))
			if told > left+toldOver {
				c.Logf("%s is told %.2f s for %s, whose client waits for another %.2f s", v.Server.Name, told.Seconds(), v.ID, left.Seconds())
			}
			if c.Trouble && hangs {
				v.QuietFor(10 * time.Second) // it takes requests and answers none
				v.Closed = true
				return
			}
			time.Sleep(work)
			v.OK()
		}))
	}
	d := c.StartDiscovery(servers...)
	class := rig3.Class("booking", "non_idempotent", "all", timeout, 0)
	class["target_latency_us"] = timeout.Microseconds()
	conf := rig3.Config{Name: "n0", Listen: c.FreePort(), Discovery: d.Addr, Known: d.List(), Settings: rig3.Settings(class)}
	c.StartSidecar("n0", conf, filepath.Join(c.Tmp, "n0")).AwaitReady()
	time.Sleep(1500 * time.Millisecond)

	var all sync.WaitGroup
	for client := range clients {
		all.Go(func() {
			conn, err := c.Connect(conf.Listen)
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
			mu.Lock()
			fmt.Fprint(conn, text)
			sent := time.Now()
			for _, id := range ids {
				written[id] = sent
			}
			mu.Unlock()
			c.Logf("client %d has written %v", client, ids)
			for _, id := range ids {
				status, body, _, err := conn.Receive(8 * time.Second)
				took := time.Since(sent)
				c.Logf("client of %s: %d %q %v, %.2f s after it was written", id, status, body, err, took.Seconds())
				if err != nil || took > timeout+slack {
					c.Broken("%s has a client timeout of %v and got its final answer after %.2f s (%d, %v)", id, timeout, took.Seconds(), status, err)
				}
				if err != nil {
					return
				}
			}
		})
	}
	all.Wait()
	c.End()
}
