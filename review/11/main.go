// Command 11: clients send a head of many short fields with "Expect: 100-continue", get their 100, and send no body. The
// sidecar must stay within its memory: the platform, played here, kills it over the limit.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/review/rig4"
)

const (
	memoryMB    = 48
	descriptors = 1024
	badClients  = descriptors / 3 // at once, one connection each
	manyFields  = 1900            // of four bytes each: a head of some 8 KB
	runFor      = 15 * time.Second
	timeout     = 750 * time.Millisecond
)

// beBad sends half a request again and again, and stays each time until the sidecar ends the connection.
func beBad(address, name string, fields int, continued, ended *atomic.Int64) {
	for i := 0; ; i++ {
		conn, err := net.Dial("tcp", address)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		fmt.Fprintf(conn, "POST /booking/x HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: %s-%d\r\nIdempotency-Key: %s-%d\r\nX-Timeout: 3000m\r\n"+
			"Expect: 100-continue\r\nContent-Length: 100\r\n%s\r\n", name, i, name, i, strings.Repeat("a:\r\n", fields))
		buffer := make([]byte, 4<<10)
		for err == nil {
			var n int
			if n, err = conn.Read(buffer); strings.Contains(string(buffer[:n]), " 100 ") {
				continued.Add(1)
			}
		}
		ended.Add(1)
		conn.Close()
	}
}

// memory returns the resident memory of a process without pages of files, in kB.
func memory(process int) (anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", process))
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "RssAnon:"); found {
			anonymous, _ = strconv.Atoi(strings.Fields(value)[0])
		}
	}
	return anonymous
}

func main() {
	c := rig4.Open("review/11")
	handle := func(r *rig4.Request) []byte {
		time.Sleep(8 * time.Millisecond)
		return rig4.OK("made for " + r.ID)
	}
	var hosts []rig4.Host
	for i := range 4 {
		hosts = append(hosts, c.NewServer(fmt.Sprintf("s-%d", i), handle).Host("a"))
	}
	d := c.NewDiscovery(hosts)
	configuration := rig4.Deployment("n0", c.FreeAddress(), d.Address, d.List())
	rig4.Section(configuration, "limits")["memory_mb"] = memoryMB
	rig4.Section(configuration, "limits")["sockets"] = descriptors
	s := c.NewSidecar(configuration)
	s.Start()
	s.WaitReady()
	if memory(s.Process()) == 0 {
		c.Cannot("the memory of a process can't be read here")
	}
	var delivered, other, continued, ended atomic.Int64
	for number := range 10 { // usual clients
		go func() {
			for i := 0; ; i++ {
				time.Sleep(20 * time.Millisecond)
				client, err := rig4.Dial(s.Listen)
				if err != nil {
					continue
				}
				id := fmt.Sprintf("usual%d-%d", number, i)
				answer, err := client.Do(rig4.Get("/lookup/x", id, timeout), 2*time.Second)
				if err == nil && answer.Status == http.StatusOK {
					delivered.Add(1)
				} else if other.Add(1); err != nil {
					c.Log("%s has no answer: %v", id, err)
				}
				client.Conn.Close()
			}
		}()
	}
	time.Sleep(2 * time.Second)
	c.Log("%d kB before the bad clients", memory(s.Process()))
	fields := 8
	if c.Trouble {
		fields = manyFields
	}
	for number := range badClients {
		go beBad(s.Listen, fmt.Sprintf("bad%d", number), fields, &continued, &ended)
	}
	peak := 0
	for end := time.Now().Add(runFor); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		now := memory(s.Process())
		if now > peak+1024 {
			c.Log("%d kB", now)
		}
		peak = max(peak, now)
		if now > memoryMB<<10 {
			c.Break("the process holds %d kB of memory without pages of files; its limit is %d", now, memoryMB<<10)
			s.Signal(syscall.SIGKILL) // the platform
			<-s.Ended()
			time.Sleep(200 * time.Millisecond)
			break
		}
	}
	c.Log("peak %d kB; usual clients: %d delivered, %d not; bad clients: %d got their 100, %d were ended", peak, delivered.Load(), other.Load(), continued.Load(), ended.Load())
	c.End()
}
