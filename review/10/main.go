// The script of a case: staff take servers out while a new version is started beside the old one.
package main

import (
	"fmt"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/review/rig3"
)

const (
	timeout = 2 * time.Second
	work    = 30 * time.Millisecond
	grace   = 550 * time.Millisecond // of the rule on drains, with its slack on sockets
	between = 10 * time.Millisecond  // the two calls
	clients = 8
)

func main() {
	c := rig3.Begin()
	var servers []*rig3.Server
	for i := range 8 {
		servers = append(servers, c.StartServer("s-"+strconv.Itoa(i+1), "a", func(v *rig3.Visit) {
			time.Sleep(work)
			v.OK()
		}))
	}
	d := c.StartDiscovery(servers...)
	conf := rig3.Config{Name: "n0", Listen: c.FreePort(), Discovery: d.Addr, Console: c.FreePort(), Known: d.List(),
		Settings: rig3.Settings(rig3.Class("lookup", "read_like", "all", timeout, 0))}
	folder := filepath.Join(c.Tmp, "n0")
	old := c.StartSidecar("old", conf, folder)
	old.AwaitConsoleReady()
	var asked atomic.Int64
	for range clients {
		go ask(c, conf.Listen, &asked)
	}
	time.Sleep(1500 * time.Millisecond)

	second := old
	if c.Trouble {
		conf.Console = c.FreePort()
		second = c.StartSidecar("new", conf, folder)
		second.AwaitConsoleReady()
		time.Sleep(250 * time.Millisecond)
	}
	out := map[string]time.Time{}
	for i, process := range []*rig3.Sidecar{old, second, old, second} {
		name := servers[i].Name
		if status := process.Call("/control/servers/" + name + "/offline"); status != 200 {
			c.Impossible("staff's call was answered with %d", status)
		}
		out[name] = time.Now()
		time.Sleep(between)
	}
	if c.Trouble { // the new process said yes: the old one is told to end
		time.Sleep(300 * time.Millisecond)
		old.Signal(syscall.SIGTERM)
	}
	time.Sleep(5 * time.Second)

	after := map[string]int{}
	for _, s := range servers {
		yes, isOut := out[s.Name]
		for _, v := range s.Visits() {
			if isOut && v.At.After(yes.Add(grace)) {
				after[s.Name]++
			}
		}
	}
	c.Logf("requests in all: %d; at servers that are out, after the grace: %v", asked.Load(), after)
	for name, count := range after {
		c.Broken("%s was taken out with a yes, nobody called it back, and it was sent %d requests more than %v later", name, count, grace)
	}
	c.End()
}

// ask sends one request after the other.
func ask(c *rig3.Case, address string, asked *atomic.Int64) {
	var conn *rig3.Client
	for {
		if conn == nil {
			var err error
			if conn, err = c.Connect(address); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
		}
		id := "r" + strconv.FormatInt(asked.Add(1), 10)
		fmt.Fprint(conn, rig3.Request("GET", "/lookup/"+id, id, timeout))
		if _, _, closes, err := conn.Receive(3 * time.Second); closes || err != nil {
			conn.Close()
			conn = nil
		}
	}
}
