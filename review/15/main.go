// Command 15: a sidecar is started while a server drains, and the agent that pushes the list is slow. The server must
// get nothing new once the sidecar counts as told: from the first moment, and by the laxest of the rules 6 s later.
package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync/atomic"
	"time"

	"ledgespread/review/rig4"
)

const (
	servers = 4
	clients = 6
	starts  = 3
	serves  = 16 * time.Second        // each process
	slow    = 2500 * time.Millisecond // the agent's answers, with the disruption
	grace   = 500 * time.Millisecond  // stop_sending_within_us
	slack   = 50 * time.Millisecond   // of each time limit on sockets
	told    = 6 * time.Second         // at the latest, whatever became of calls
	timeout = 750 * time.Millisecond
)

func main() {
	c := rig4.Open("review/15")
	var startedAt, late, delivered, other atomic.Int64
	handle := func(r *rig4.Request) []byte {
		if r.Server.Name == "s-1" {
			age := r.At.Sub(time.UnixMicro(startedAt.Load()))
			c.Log("s-1, which drains, gets %s, %v after the start of the sidecar's process", r.ID, age)
			if age > grace+slack {
				late.Add(1)
			}
			if age > told+grace+slack {
				c.Break("s-1 gets a request %v after the start of a sidecar whose agent knew that it drains", age)
			}
		}
		time.Sleep(8 * time.Millisecond)
		return rig4.OK("made for " + r.ID)
	}
	var known, now []rig4.Host
	for i := range servers {
		host := c.NewServer(fmt.Sprintf("s-%d", i), handle).Host("a")
		known = append(known, host)
		if host.Host == "s-1" {
			host.Health = "terminating"
		}
		now = append(now, host)
	}
	d := c.NewDiscovery(known)
	saved := d.List()
	d.Set(now)
	if c.Trouble {
		d.SetDelay(slow)
	}
	configuration := rig4.Deployment("n0", c.FreeAddress(), d.Address, saved)
	rig4.Section(configuration, "settings")["discovery"] = "pushed"
	s := c.NewSidecar(configuration)
	var running atomic.Bool
	for number := range clients {
		go func() {
			for i := 0; ; i++ {
				time.Sleep(time.Duration(rand.Intn(30)) * time.Millisecond)
				if !running.Load() {
					continue
				}
				client, err := rig4.Dial(s.Listen)
				if err != nil {
					continue
				}
				answer, err := client.Do(rig4.Get("/lookup/x", fmt.Sprintf("c%d-%d", number, i), timeout), 2*time.Second)
				if err == nil && answer.Status == http.StatusOK {
					delivered.Add(1)
				} else {
					other.Add(1)
				}
				client.Conn.Close()
			}
		}()
	}
	for range starts {
		startedAt.Store(time.Now().UnixMicro())
		s.Start()
		s.WaitReady()
		running.Store(true)
		time.Sleep(serves)
		running.Store(false)
		time.Sleep(100 * time.Millisecond)
		s.Kill()
	}
	c.Log("clients: %d delivered, %d not; requests to the server that drains later than its grace after a start: %d", delivered.Load(), other.Load(), late.Load())
	c.End()
}
