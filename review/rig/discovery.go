package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Host is one line of the list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// Discovery is a stand-in discovery service at one address.
type Discovery struct {
	Address string
	Case    *Case
	Delay   time.Duration // taken for each answer

	mu      sync.Mutex
	seq     int
	hosts   []Host
	changed map[string]int // version of each host's last change
	news    chan struct{}  // closed at the next change
	down    bool
	calls   map[net.Conn]bool
	told    map[string]time.Time // HOST/HEALTH: when an answer with it had been written first
}

// ListJSON returns the whole list, as it is now.
func (d *Discovery) ListJSON() map[string]any {
	d.mu.Lock()
	defer d.mu.Unlock()
	return map[string]any{"seq": d.seq, "whole": true, "hosts": append([]Host{}, d.hosts...)}
}

// Listen starts the service.
func (d *Discovery) Listen(ip string, hosts []Host) error {
	listener, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	d.Address, d.seq, d.hosts, d.news = listener.Addr().String(), 41, hosts, make(chan struct{})
	d.changed, d.calls, d.told = map[string]int{}, map[net.Conn]bool{}, map[string]time.Time{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			down := d.down
			d.calls[conn] = true
			d.mu.Unlock()
			if down {
				d.Case.Record("discovery", "out of reach: call reset")
				reset(conn)
				continue
			}
			go d.serve(conn)
		}
	}()
	return nil
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// SetDown makes the service be out of reach, or back.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	d.Case.Record("discovery", "down=%v", down)
	if down {
		for conn := range d.calls {
			reset(conn)
		}
		d.calls = map[net.Conn]bool{}
	}
}

// Change changes one host.
func (d *Discovery) Change(host string, change func(*Host)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.hosts {
		if d.hosts[i].Host == host {
			change(&d.hosts[i])
			d.seq++
			d.changed[host] = d.seq
			d.Case.Record("discovery", "version %d: %s is %s, born %d", d.seq, host, d.hosts[i].Health, d.hosts[i].Born)
		}
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Told returns when an answer that gives a host this health had first been written; zero: never.
func (d *Discovery) Told(host, health string) time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.told[host+"/"+health]
}

func (d *Discovery) serve(conn net.Conn) {
	defer func() {
		d.mu.Lock()
		delete(d.calls, conn)
		d.mu.Unlock()
		conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		h, _, err := readHead(reader)
		if err != nil {
			return
		}
		target, err := url.Parse(strings.Fields(string(h.first))[1])
		if err != nil || target.Path != "/api/targets" {
			fmt.Fprint(conn, "HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		from, watch := -1, false
		hold := 0
		if text := target.Query().Get("from"); text != "" {
			from, _ = strconv.Atoi(text)
			hold, _ = strconv.Atoi(target.Query().Get("hold_ms"))
			watch = true
		}
		end := time.Now().Add(time.Duration(min(hold, 60_000)) * time.Millisecond)
		time.Sleep(d.Delay)
		d.mu.Lock()
		for watch && from >= d.seq && time.Now().Before(end) {
			news := d.news
			d.mu.Unlock()
			timer := time.NewTimer(time.Until(end))
			select {
			case <-news:
			case <-timer.C:
			}
			timer.Stop()
			d.mu.Lock()
		}
		if d.down {
			d.mu.Unlock()
			return
		}
		hosts := []Host{}
		for _, host := range d.hosts {
			if !watch || d.changed[host.Host] > from {
				hosts = append(hosts, host)
			}
		}
		text, _ := json.Marshal(map[string]any{"seq": d.seq, "whole": !watch, "hosts": hosts})
		version := d.seq
		d.mu.Unlock()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text); err != nil {
			return
		}
		now := time.Now()
		d.mu.Lock()
		for _, host := range hosts {
			if key := host.Host + "/" + host.Health; d.told[key].IsZero() {
				d.told[key] = now
			}
		}
		d.mu.Unlock()
		if len(hosts) > 0 {
			d.Case.RecordAt(now, "discovery", "wrote version %d, whole=%v, %d lines, to %s", version, !watch, len(hosts), conn.RemoteAddr())
		}
	}
}
