// Command 2 has a quarter of the servers hang while clients send bookings with long bodies.
package main

import (
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"ledgespread/review/rig"
)

const (
	servers = 12
	hanging = 3               // a quarter, as on roll+brink
	longest = 3 * time.Second // client timeout of a booking
	hangAt  = 3 * time.Second
	hangFor = 10 * time.Second
	endAt   = 18 * time.Second
)

// bodyBytes is the length of a long body; bodies reach 32 MB.
var bodyBytes = 9 << 19

// gate is a connection of a server that may hang: it then reads nothing, as a stopped process does.
type gate struct {
	net.Conn
	hung func() bool
}

func (g gate) Read(p []byte) (int, error) {
	for g.hung() {
		time.Sleep(5 * time.Millisecond)
	}
	return g.Conn.Read(p)
}

func main() {
	if text := os.Getenv("BODY_BYTES"); text != "" {
		bodyBytes, _ = strconv.Atoi(text)
	}
	c := rig.Begin()
	breaks, err := run(c)
	c.End(breaks, err)
}

func run(c *rig.Case) (breaks []string, err error) {
	began := time.Now()
	var hangs atomic.Bool
	var mu sync.Mutex
	var hosts []rig.Host
	for i := range servers {
		zone, speed, kind := "bangna", 1.8, "fast-box"
		if i%2 == 1 {
			zone = "lat-krabang"
		}
		if i%8 >= 5 {
			speed, kind = 0.9, "slow-box"
		}
		var core sync.Mutex
		server := &rig.Server{Name: fmt.Sprintf("s-%02d", i)}
		hung := func() bool { return i < hanging && hangs.Load() }
		server.Wrap = func(conn net.Conn) net.Conn { return gate{conn, hung} }
		server.Handle = func(r *rig.Request) {
			work := 11 * time.Millisecond
			if r.Method == "POST" {
				work = 55 * time.Millisecond
			}
			core.Lock()
			time.Sleep(time.Duration(float64(work) / speed))
			for hung() {
				time.Sleep(5 * time.Millisecond)
			}
			core.Unlock()
			c.Record(server.Name, "ran %s, %d bytes, told %s", r.ID, len(r.Body), r.Timeout)
			r.Conn.Answer(200, "made for "+r.ID)
		}
		if err := server.Listen("127.0.1."+strconv.Itoa(i+1), 128<<10); err != nil {
			return nil, err
		}
		hosts = append(hosts, rig.Host{Host: server.Name, Dial: server.Address, Site: zone, Class: kind, Block: i / 4, Health: "in_service", Share: speed})
	}
	discovery := &rig.Discovery{Case: c}
	if err := discovery.Listen("127.0.3.1", hosts); err != nil {
		return nil, err
	}
	listen, err := rig.FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	if _, err := c.StartSidecar(rig.Config("n0", listen, discovery.Address, discovery.ListJSON(), rig.FinderSettings(1, 0, 0)), "n0"); err != nil {
		return nil, err
	}
	if err := rig.WaitReady(listen, "/-/ready", 10*time.Second); err != nil {
		return nil, fmt.Errorf("%w\n%s", err, c.Log("n0"))
	}
	client := &rig.Client{Address: listen, WaitAcked: true}
	body := []byte(strings.Repeat("x", bodyBytes))
	counts := map[string]int{}
	var tries sync.WaitGroup
	do := func(try *rig.Try) {
		tries.Add(1)
		go func() {
			defer tries.Done()
			client.Do(try)
			took := try.Ended.Sub(try.Sent)
			if try.Sent.IsZero() {
				c.Record("client", "%s: never sent whole: %v", try.ID, try.Err)
				return
			}
			c.RecordAt(try.Sent, "client", "last byte of %s written, acked=%v", try.ID, !try.Acked.IsZero())
			c.RecordAt(try.Ended, "client", "%s: %s %d after %.3f s, %v", try.ID, try.Outcome(), try.Status, took.Seconds(), try.Err)
			mu.Lock()
			defer mu.Unlock()
			counts[try.Outcome()]++
			if try.Status == 0 && !try.Acked.IsZero() {
				breaks = append(breaks, fmt.Sprintf("%s had no whole answer %.3f s after the sidecar's machine had its last byte, with a time of %.1f s: %v", try.ID,
					took.Seconds(), try.Timeout.Seconds(), try.Err))
			}
		}()
	}
	if c.Trouble {
		time.AfterFunc(hangAt, func() {
			hangs.Store(true)
			c.Record("platform", "s-00 to s-%02d hang", hanging-1)
			time.AfterFunc(hangFor, func() { hangs.Store(false); c.Record("platform", "they go on") })
		})
	}
	for n := 0; time.Since(began) < endAt; n++ {
		time.Sleep(125 * time.Millisecond)
		try := &rig.Try{Method: "GET", Class: "lookup", ID: rig.Numbered("v", n), Timeout: 750 * time.Millisecond, Cost: 11 * time.Millisecond}
		if n%4 != 0 { // the rest are lookups
			try.Method, try.Class, try.Key, try.Timeout, try.Cost = "POST", "booking", rig.Numbered("k", n), longest, 55*time.Millisecond
			try.Body = body
		}
		try.Path = "/" + try.Class + "/" + strconv.Itoa(n)
		do(try)
	}
	tries.Wait()
	c.Record("client", "%v", counts)
	fmt.Println(counts)
	if counts["served"] < 80 {
		return nil, fmt.Errorf("only %d requests were served", counts["served"])
	}
	return breaks, nil
}
