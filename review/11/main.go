// The script of a case: servers send a second copy of some answers a few milliseconds late.
package main

import (
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/review/rig3"
)

const (
	oneWay   = 300 * time.Microsecond // of the network between sidecar and servers
	late     = 4 * time.Millisecond   // a second copy comes so much after the answer at the soonest,
	lateSpan = 3 * time.Millisecond   // and so much later than that at the latest
	share    = 0.08                   // of the answers have a second copy
	length   = 30 * time.Second
	clients  = 6
)

func main() {
	c := rig3.Begin()
	var copies, asked atomic.Int64
	var servers []*rig3.Server
	for i := range 3 {
		s := c.StartServer("s-"+strconv.Itoa(i), "a", func(v *rig3.Visit) {
			time.Sleep(time.Millisecond)
			v.OK()
			if !c.Trouble || rand.Float64() >= share {
				return
			}
			// The second copy is sent only where no further request has come on the connection by then.
			if v.QuietFor(late + rand.N(lateSpan)) {
				v.OK()
				copies.Add(1)
				c.Logf("%s: a second copy of the answer to %s", v.Server.Name, v.ID)
			}
		})
		s.Addr = c.Delay(s.Addr, oneWay)
		servers = append(servers, s)
	}
	d := c.StartDiscovery(servers...)
	conf := rig3.Config{Name: "n0", Listen: c.FreePort(), Discovery: d.Addr, Known: d.List(),
		Settings: rig3.Settings(rig3.Class("lookup", "read_like", "all", 750*time.Millisecond, 0))}
	c.StartSidecar("n0", conf, filepath.Join(c.Tmp, "n0")).AwaitReady()

	var all sync.WaitGroup
	end := time.Now().Add(length)
	for range clients {
		all.Go(func() {
			var conn *rig3.Client
			for time.Now().Before(end) {
				time.Sleep(rand.N(12 * time.Millisecond))
				if conn == nil {
					var err error
					if conn, err = c.Connect(conf.Listen); err != nil {
						c.Impossible("connect: %v", err)
					}
				}
				id := "r" + strconv.FormatInt(asked.Add(1), 10)
				fmt.Fprint(conn, rig3.Request("GET", "/lookup/"+id, id, 750*time.Millisecond))
				status, body, closes, err := conn.Receive(3 * time.Second)
				if status == 200 && err == nil && body != rig3.Answer(id) {
					c.Broken("the client of %s was served with %q", id, body)
				}
				if closes || err != nil {
					c.Logf("client of %s: status %d, closes %v, %v", id, status, closes, err)
					conn.Close()
					conn = nil
				}
			}
		})
	}
	all.Wait()
	c.Logf("%d requests, %d second copies", asked.Load(), copies.Load())
	if c.Trouble && copies.Load() == 0 {
		c.Impossible("no second copy was sent")
	}
	c.End()
}
