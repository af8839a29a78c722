// The case of a second answer that comes some milliseconds late, over a way between two zones.
package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ledgespread/review/rig2"
)

const (
	runFor   = 20 * time.Second
	oneWay   = 960 * time.Microsecond // the slowest way between zones of this site
	late     = 4 * time.Millisecond   // of the second answer, after the first
	oneIn    = 20                     // answers that have a second one
	clients  = 8
	interval = 40 * time.Millisecond // between two requests of a client: 200 a second in all
	timeout  = 750 * time.Millisecond
)

func main() {
	c := rig2.Begin("a second answer some milliseconds late")
	handle := func(link *rig2.Link, request *rig2.Arrival) {
		time.Sleep(4*time.Millisecond + rand.N(4*time.Millisecond))
		answer := rig2.Answer(rig2.BodyFor(request.ID, request.Tenant))
		link.Write(answer)
		// Only where nothing else waits on the connection by then.
		if c.Trouble && rand.N(oneIn) == 0 && link.Silent(late) {
			link.Write(answer)
			c.Log("%s sends the answer to %s a second time", link.Server.Name, request.ID)
		}
	}
	servers := []*rig2.Server{c.NewServer("s-1", "bangna", oneWay, handle), c.NewServer("s-2", "bangna", oneWay, handle)}
	tenants := []string{"mekong-charge", "chaiyo-ev", "isan-power", "rama-plug"}
	sidecar := c.Start(rig2.Site{MemoryMB: 192, Sockets: 1024, Zones: []string{"lat-krabang", "bangna"}, Tenants: tenants, Servers: servers,
		Classes: []rig2.Class{{Name: "lookup", Effect: "read_like", Target: 150_000, Timeout: 750_000}}})
	var all sync.WaitGroup
	until := time.Now().Add(runFor)
	for i := range clients {
		all.Go(func() { ask(c, sidecar, i, tenants[i%len(tenants)], until) })
	}
	all.Wait()
	if sidecar.Ended() {
		c.Impossible("the sidecar has ended")
	}
	c.End()
}

// ask is one client: it sends one request at a time and compares each answer with the one made for its request.
func ask(c *rig2.Case, sidecar *rig2.Sidecar, number int, tenant string, until time.Time) {
	var client *rig2.Client
	for i := 0; time.Now().Before(until); i++ {
		time.Sleep(rand.N(2 * interval))
		var err error
		if client == nil {
			if client, err = rig2.Connect(sidecar.Listen); err != nil {
				c.Impossible("%v", err)
			}
		}
		id := fmt.Sprintf("c%d-%d", number, i)
		c.Log("client %d sends %s", number, id)
		reply, err := client.Ask(rig2.Head("GET", "/lookup/x", id, tenant, timeout, ""), 2*timeout)
		switch {
		case err != nil:
			c.Log("client %d: %s has no answer: %v", number, id, err)
			client.Close()
			client = nil
			continue
		case reply.Status == 200 && reply.Body != rig2.BodyFor(id, tenant):
			c.Break("%s of %s got 200 with: %s", id, tenant, reply.Body)
		default:
			c.Log("client %d: %s is answered %d", number, id, reply.Status)
		}
		if reply.Closes {
			client.Close()
			client = nil
		}
	}
}
