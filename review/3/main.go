// Command 3 brings in a new version of a sidecar while the list of servers is out of reach, some seconds after
// the sidecar was told that a server drains.
package main

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ledgespread/review/rig"
)

const (
	servers    = 10
	perSecond  = 260
	drainAt    = 3 * time.Second
	downAt     = 5 * time.Second // for 14 s; the site says 5.7 to 25 s
	upgradeAt  = 7 * time.Second
	endAt      = 18 * time.Second
	backAt     = 19 * time.Second
	grace      = 500 * time.Millisecond
	slack      = 50 * time.Millisecond // of each limit, on sockets
	bindsAfter = 2 * time.Second       // after the new process's yes, at an upgrade
	longest    = 3 * time.Second       // client timeout
	killMargin = 700 * time.Millisecond
)

func main() {
	c := rig.Begin()
	breaks, err := run(c)
	c.End(breaks, err)
}

func run(c *rig.Case) (breaks []string, err error) {
	began := time.Now()
	at := func(after time.Duration) { time.Sleep(time.Until(began.Add(after))) }
	var draining atomic.Bool
	var mu sync.Mutex
	var arrivals []rig.Request // at the server that drains, once it does
	var hosts []rig.Host
	const leaver = "s-04"
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
		server.Handle = func(r *rig.Request) {
			if server.Name == leaver && draining.Load() {
				mu.Lock()
				arrivals = append(arrivals, *r)
				mu.Unlock()
				c.RecordAt(r.First, server.Name, "first byte of %s, which is turned away: the server drains", r.ID)
				r.Conn.Answer(503, "draining", "X-Not-Processed: 1")
				return
			}
			work := 11 * time.Millisecond
			if r.Method == "POST" {
				work = 55 * time.Millisecond
			}
			core.Lock()
			time.Sleep(time.Duration(float64(work) / speed))
			core.Unlock()
			c.Record(server.Name, "ran %s", r.ID)
			r.Conn.Answer(200, "made for "+r.ID)
		}
		if err := server.Listen("127.0.1."+strconv.Itoa(i+1), 0); err != nil {
			return nil, err
		}
		hosts = append(hosts, rig.Host{Host: server.Name, Dial: server.Address, Site: zone, Class: kind, Block: i / 4, Health: "in_service", Share: speed})
	}
	discovery := &rig.Discovery{Case: c}
	if err := discovery.Listen("127.0.3.1", hosts); err != nil {
		return nil, err
	}
	known := discovery.ListJSON() // as the sidecar last had it when it was started first
	listen, err := rig.FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	var consoles [2]string
	for i := range consoles {
		if consoles[i], err = rig.FreeAddress("127.0.4." + strconv.Itoa(i+1)); err != nil {
			return nil, err
		}
	}
	config := func(console string) map[string]any {
		made := rig.Config("n0", listen, discovery.Address, known, rig.FinderSettings(1, 0, 0))
		made["console"] = console
		return made
	}
	old, err := c.StartSidecar(config(consoles[0]), "old")
	if err != nil {
		return nil, err
	}
	if err := rig.WaitReady(listen, "/-/ready", 10*time.Second); err != nil {
		return nil, fmt.Errorf("%w\n%s", err, c.Log("old"))
	}

	client := &rig.Client{Address: listen}
	var sending sync.WaitGroup
	var tries sync.WaitGroup
	counts := map[string]int{}
	sending.Add(1)
	go func() {
		defer sending.Done()
		random := rand.New(rand.NewPCG(3, 4))
		next := time.Now()
		for n := 0; time.Since(began) < endAt; n++ {
			next = next.Add(time.Duration(random.ExpFloat64() * float64(time.Second) / perSecond))
			time.Sleep(time.Until(next))
			try := &rig.Try{Method: "GET", Class: "lookup", ID: rig.Numbered("v", n), Timeout: 750 * time.Millisecond, Cost: 11 * time.Millisecond}
			if random.IntN(2) == 0 {
				try.Method, try.Class, try.Key, try.Timeout, try.Cost = "POST", "booking", rig.Numbered("k", n), longest, 55*time.Millisecond
			}
			try.Path = "/" + try.Class + "/" + strconv.Itoa(n)
			tries.Add(1)
			go func() {
				defer tries.Done()
				client.Do(try)
				c.RecordAt(try.Sent, "client", "sent %s", try.ID)
				c.RecordAt(try.Ended, "client", "%s: %s %d %q %v", try.ID, try.Outcome(), try.Status, try.Answer, try.Err)
				mu.Lock()
				counts[try.Outcome()]++
				mu.Unlock()
			}()
		}
	}()

	at(drainAt)
	draining.Store(true)
	discovery.Change(leaver, func(h *rig.Host) { h.Health = "terminating" })
	at(downAt)
	told := discovery.Told(leaver, "terminating")
	if told.IsZero() {
		return nil, fmt.Errorf("the sidecar was not told that %s drains before discovery went down", leaver)
	}
	if c.Trouble {
		discovery.SetDown(true)
	}
	at(upgradeAt)
	if _, err := c.StartSidecar(config(consoles[1]), "new"); err != nil {
		return nil, err
	}
	if err := rig.WaitReady(consoles[1], "/control/ready", 6*time.Second); err != nil {
		return nil, fmt.Errorf("%w\n%s", err, c.Log("new"))
	}
	yes := time.Now()
	c.RecordAt(yes, "platform", "the new process says yes; SIGTERM to the old one")
	old.Signal(syscall.SIGTERM)
	select {
	case <-old.Exited:
		c.Record("platform", "the old process has ended")
	case <-time.After(longest + killMargin):
		c.Record("platform", "SIGKILL to the old process")
		old.Kill()
	}
	sending.Wait()
	tries.Wait()
	at(backAt)
	if c.Trouble {
		discovery.SetDown(false)
	}
	time.Sleep(500 * time.Millisecond)

	limit := told.Add(grace + slack)
	upgraded := yes.Add(bindsAfter + grace + slack)
	c.RecordAt(told, "judge", "the sidecar was told that %s drains", leaver)
	c.RecordAt(limit, "judge", "nothing new may begin at %s from here, and by the new process", leaver)
	c.RecordAt(upgraded, "judge", "nor by the new process from here")
	mu.Lock()
	defer mu.Unlock()
	before := 0
	for _, r := range arrivals {
		switch {
		case r.First.After(upgraded):
			breaks = append(breaks, fmt.Sprintf("%s was sent to %s, %.1f s after the sidecar was told that it drains and %.1f s after the new process's yes", r.ID, leaver,
				r.First.Sub(told).Seconds(), r.First.Sub(yes).Seconds()))
		case r.First.After(limit):
			before++ // excused while the upgrade lasts, if the new process sent it
			if r.First.Before(yes) {
				breaks = append(breaks, fmt.Sprintf("%s was sent to %s by the old process, %.1f s after it was told that it drains", r.ID, leaver, r.First.Sub(told).Seconds()))
			}
		}
	}
	summary := fmt.Sprintf("%v; to %s: %d in all since it drains, %d excused", counts, leaver, len(arrivals), before)
	c.Record("judge", "%s", summary)
	fmt.Println(summary)
	if counts["served"] < 1000 {
		return nil, fmt.Errorf("only %d requests were served", counts["served"])
	}
	return breaks, nil
}
