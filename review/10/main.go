// The case of clients that stop in the middle of a request and stay, while others come.
package main

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"ledgespread/review/rig2"
)

const (
	sockets  = 512
	stoppers = 250 // clients that stop in the middle of their second request
	usual    = 30
	interval = 50 * time.Millisecond // between two usual clients
	timeout  = 750 * time.Millisecond
	slack    = 500 * time.Millisecond // a later answer only earns nothing
	stay     = 8 * time.Second
	whole    = 4000 // bytes of the second request's body,
	part     = 1000 // of which so many come
)

func main() {
	c := rig2.Begin("clients that stop in the middle of a request and stay")
	handle := func(link *rig2.Link, request *rig2.Arrival) {
		time.Sleep(5 * time.Millisecond)
		link.Write(rig2.Answer(rig2.BodyFor(request.ID, request.Tenant)))
	}
	list := []*rig2.Server{c.NewServer("s-1", "bangna", 0, handle), c.NewServer("s-2", "bangna", 0, handle)}
	sidecar := c.Start(rig2.Site{MemoryMB: 192, Sockets: sockets, Zones: []string{"bangna"}, Servers: list, Tenants: []string{"mekong-charge"},
		Classes: []rig2.Class{{Name: "lookup", Effect: "read_like", Target: 150_000, Timeout: 750_000},
			{Name: "booking", Effect: "idempotency_key", Target: 600_000, Timeout: 3_000_000}}})
	var all sync.WaitGroup
	for i := range stoppers {
		all.Go(func() { stop(c, sidecar, i) })
		time.Sleep(2 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	for i := range usual {
		all.Go(func() { ask(c, sidecar, i) })
		time.Sleep(interval)
	}
	all.Wait()
	if sidecar.Ended() {
		c.Impossible("the sidecar has ended")
	}
	c.End()
}

// stop is a client that asks once, then sends a part of a request, and stays. Without the disruption it sends all of it.
func stop(c *rig2.Case, sidecar *rig2.Sidecar, number int) {
	client, err := rig2.Connect(sidecar.Listen)
	if err != nil {
		c.Log("stopper %d cannot connect: %v", number, err)
		return
	}
	defer client.Close()
	id := fmt.Sprintf("s%d", number)
	reply, err := client.Ask(rig2.Head("GET", "/lookup/x", id+"-0", "mekong-charge", timeout, ""), 5*time.Second)
	if err != nil {
		c.Log("stopper %d: first request: %v", number, err)
		return
	}
	c.Log("stopper %d: first request answered %d, closes %v", number, reply.Status, reply.Closes)
	if reply.Closes {
		client.Close()
		if client, err = rig2.Connect(sidecar.Listen); err != nil {
			c.Log("stopper %d cannot connect again: %v", number, err)
			return
		}
		defer client.Close()
	}
	come := whole
	if c.Trouble {
		come = part
	}
	io.WriteString(client, rig2.Head("POST", "/booking/x", id+"-1", "mekong-charge", timeout, fmt.Sprintf("Idempotency-Key: k%s\r\nContent-Length: %d\r\n", id, whole))+
		strings.Repeat("x", come))
	stopped := time.Now()
	if reply, err = client.Next(stay); err != nil {
		c.Log("stopper %d: after %.2f s: %v", number, time.Since(stopped).Seconds(), err)
		return
	}
	c.Log("stopper %d: answered %d after %.2f s", number, reply.Status, time.Since(stopped).Seconds())
	time.Sleep(stay - time.Since(stopped))
}

// ask is a usual client: it connects, and sends one request.
func ask(c *rig2.Case, sidecar *rig2.Sidecar, number int) {
	client, err := rig2.Connect(sidecar.Listen)
	if err != nil {
		c.Log("client %d cannot connect: %v", number, err)
		return
	}
	defer client.Close()
	id := fmt.Sprintf("u%d", number)
	c.Log("client %d sends %s", number, id)
	reply, err := client.Ask(rig2.Head("GET", "/lookup/x", id, "mekong-charge", timeout, ""), timeout+slack)
	if err != nil {
		c.Break("%s has no answer %v after its time: %v", id, slack, err)
		return
	}
	c.Log("%s is answered %d", id, reply.Status)
}
