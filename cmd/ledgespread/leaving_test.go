package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// serverEntry returns a discovery list's entry for one server.
func serverEntry(name, address, health string) string {
	return fmt.Sprintf(`{"host":"%s","dial":"%s","site":"here","class":"m","block":0,"health":"%s","share":1,"born_ms":0}`, name, address, health)
}

// writeLenientConfig writes a configuration with three classes: look (safe), book (with an idempotency key) and pay
// (unsafe). Its timeouts are so long that a slow machine doesn't exceed them.
func writeLenientConfig(t *testing.T, discoveryAddress, delivery string, entries ...string) (file, listen string) {
	t.Helper()
	listen, file = freeAddress(t), filepath.Join(t.TempDir(), "n0.json")
	text := fmt.Sprintf(minimalConfig, listen, discoveryAddress, 1)
	before, rest, _ := strings.Cut(text, `"path_prefixes":[`)
	look, after, _ := strings.Cut(rest, "]")
	look = strings.NewReplacer("400000", "15000000", "800000", "30000000").Replace(look)
	book := strings.NewReplacer(`"look"`, `"book"`, "read_like", "idempotency_key").Replace(look)
	pay := strings.NewReplacer(`"look"`, `"pay"`, "read_like", "non_idempotent").Replace(look)
	text = before + `"path_prefixes":[` + look + "," + book + "," + pay + "]" + after
	text = strings.NewReplacer(`"hosts":[]`, `"hosts":[`+strings.Join(entries, ",")+`]`, "on_request", delivery,
		`"connect_timeout_us":100000`, `"connect_timeout_us":20000000`, `"ask_every_us":10000000`,
		`"ask_every_us":300000000,"stop_sending_within_us":500000`).Replace(text)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, listen
}

// sendRequest sends one request of a class and returns the status and body of the answer, or the error.
func sendRequest(address, class, id string) string {
	method, key := "GET", ""
	if class != "look" {
		method = "POST"
	}
	if class == "book" {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	fmt.Fprintf(conn, "%s /%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Timeout: 25000m\r\n%sContent-Length: 0\r\n\r\n", method, class, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// startServer starts a server that answers with its name, and counts its requests.
func startServer(t *testing.T, name string) (address string, requests *atomic.Int64) {
	t.Helper()
	requests = &atomic.Int64{}
	return serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests.Add(1)
		io.WriteString(w, name)
	})), requests
}

// serveHTTP serves on an address of its own until the test ends.
func serveHTTP(t *testing.T, handler http.Handler) (address string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go http.Serve(ln, handler)
	return ln.Addr().String()
}

// fakeDiscovery is a discovery service for tests. Its list can change, its held calls can be dropped without an answer,
// and it can stop answering at all.
type fakeDiscovery struct {
	mu           sync.Mutex
	cond         *sync.Cond
	address      string
	version      int
	entries      string
	changesOnly  bool           // the list has changes only
	dropHeld     bool           // calls that are held now never get an answer; new calls do
	unresponsive bool           // new calls get no answer either
	heldCalls    map[string]int // by connection: the version that the call held there came with
	calls        int
	ignoresNew   bool            // connections that are opened from now on get no answer
	known        map[string]bool // the connections that got an answer
}

// startDiscovery starts a fakeDiscovery with these entries as version 8.
func startDiscovery(t *testing.T, entries ...string) *fakeDiscovery {
	t.Helper()
	d := &fakeDiscovery{heldCalls: map[string]int{}, known: map[string]bool{}, version: 7}
	d.cond = sync.NewCond(&d.mu)
	d.setList(entries...)
	d.address = serveHTTP(t, d)
	return d
}

// setList replaces the list. Calls that were dropped before stay without an answer.
func (d *fakeDiscovery) setList(entries ...string) { d.publish(false, entries...) }

// ignoreNewConnections has connections that are opened from now on get no answer.
func (d *fakeDiscovery) ignoreNewConnections() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ignoresNew = true
}

// publish sets a new full list, or changes to the one before.
func (d *fakeDiscovery) publish(changesOnly bool, entries ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.dropHeld && len(d.heldCalls) > 0 {
		d.cond.Wait()
	}
	d.dropHeld = false
	d.version++
	d.changesOnly = changesOnly
	d.entries = strings.Join(entries, ",\n ")
	d.cond.Broadcast()
}

func (d *fakeDiscovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var from, holdMillis int
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &holdMillis)
	d.mu.Lock()
	d.calls++
	deadline := time.Now().Add(time.Duration(holdMillis) * time.Millisecond)
	timer := time.AfterFunc(time.Until(deadline), d.cond.Broadcast)
	defer timer.Stop()
	if d.ignoresNew && !d.known[r.RemoteAddr] {
		d.mu.Unlock()
		<-r.Context().Done()
		return
	}
	d.known[r.RemoteAddr] = true
	if holdMillis > 0 && !d.unresponsive {
		d.heldCalls[r.RemoteAddr] = from
	}
	for !d.unresponsive && !d.dropHeld && from >= d.version && time.Now().Before(deadline) {
		d.cond.Wait()
	}
	noAnswer := d.unresponsive || d.dropHeld && holdMillis > 0
	delete(d.heldCalls, r.RemoteAddr)
	d.cond.Broadcast()
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[`+"\n "+`%s]}`, d.version, !d.changesOnly, d.entries)
	d.mu.Unlock()
	if noAnswer {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, text)
}

// heldAt returns the number of held calls that came with this version.
func (d *fakeDiscovery) heldAt(version int) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, from := range d.heldCalls {
		if from == version {
			n++
		}
	}
	return n
}

// If a connection is established only after discovery reported its server as draining, no request may be sent on it. The
// request hasn't run there, so it goes to another server whatever its effect class.
func TestLeavingWhileDialling(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) }) // a backlog of one: further connections aren't established
	blocker, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer blocker.Close()
	serverAddress, requests := startServer(t, "s1")
	discoveryServer := startDiscovery(t, serverEntry("s0", ln.Addr().String(), "in_service"))
	file, listen := writeLenientConfig(t, discoveryServer.address, "on_request", serverEntry("s0", ln.Addr().String(), "in_service"))
	program, log := startProgram(t, file)
	eventually(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	eventually(t, "it watches", func() bool { return discoveryServer.heldAt(8) > 0 })
	answers := make(chan string, 3)
	for i, prefix := range []string{"look", "book", "pay"} {
		go func() { answers <- sendRequest(listen, prefix, fmt.Sprint(i)) }()
	}
	eventually(t, "all requests wait for a connection", func() bool { return strings.Contains(readCounters(listen), "ledgespread_fetches_sent 3\n") })
	discoveryServer.setList(serverEntry("s0", ln.Addr().String(), "terminating"), serverEntry("s1", serverAddress, "in_service"))
	eventually(t, "it received the list", func() bool { return discoveryServer.heldAt(9) > 0 })
	written := make(chan string, 9)
	go func() { // the pending connections are established now
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					written <- req.URL.Path
					io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\ns0")
				}
			}()
		}
	}()
	var got []string
	for range 3 {
		got = append(got, <-answers)
	}
	program.Process.Signal(syscall.SIGTERM)
	program.Wait()
	got = append(got, fmt.Sprintf("written to s0: %d, to s1: %d", len(written), requests.Load()))
	if diff := cmp.Diff([]string{"200 s1", "200 s1", "200 s1", "written to s0: 0, to s1: 3"}, got); diff != "" {
		t.Errorf("-want +got:\n%s\n%s", diff, log.text())
	}
}

// readCounters returns a sidecar's counters page, or "" if the call fails.
func readCounters(address string) string {
	resp, err := http.Get("http://" + address + "/-/counters")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// A server starts to drain while the watches of several sidecars get no answer, and again while discovery answers no
// calls at all. Each sidecar must learn of the drain by itself and send nothing new to the server afterwards. With a
// pushed list, a new process whose saved list has the server in service must receive the current list before it serves.
func TestDrainAfterMissedWatches(t *testing.T) {
	const sidecars = 5
	for _, delivery := range []string{"on_request", "pushed"} {
		t.Run(delivery, func(t *testing.T) {
			t.Parallel()
			one, requests := startServer(t, "s0")
			two, _ := startServer(t, "s1")
			inService := []string{serverEntry("s0", one, "in_service"), serverEntry("s1", two, "in_service")}
			oneDraining := []string{serverEntry("s0", one, "terminating"), serverEntry("s1", two, "in_service")}
			discoveryServer := startDiscovery(t, inService...)
			var addresses []string
			for range sidecars {
				file, listen := writeLenientConfig(t, discoveryServer.address, delivery, inService...)
				_, log := startProgram(t, file)
				eventually(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
				addresses = append(addresses, listen)
			}
			id := 0
			requestAll := func(times int) (sentToS0 int64) { // sends requests to each sidecar; returns how many reached s0
				before := requests.Load()
				for range times {
					for _, address := range addresses {
						id++
						if got := sendRequest(address, []string{"look", "book", "pay"}[id%3], fmt.Sprint(delivery, id)); !strings.HasPrefix(got, "200") {
							t.Errorf("request %d: %s", id, got)
						}
					}
				}
				return requests.Load() - before
			}
			var got []string
			record := func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
			eventually(t, "all watch", func() bool { return discoveryServer.heldAt(8) == sidecars })
			record("in service: used %v", requestAll(8) > 0)
			discoveryServer.mu.Lock() // watches that are held now never get an answer
			discoveryServer.dropHeld = true
			discoveryServer.cond.Broadcast()
			discoveryServer.mu.Unlock()
			discoveryServer.setList(oneDraining...)
			eventually(t, "all watch again", func() bool { return discoveryServer.heldAt(9) == sidecars })
			record("leaving, after silent watches: %d", requestAll(8))
			discoveryServer.setList(inService...)
			eventually(t, "all received the list", func() bool { return discoveryServer.heldAt(10) == sidecars })
			discoveryServer.mu.Lock()
			discoveryServer.dropHeld, discoveryServer.unresponsive = true, true // an outage: new calls hang as well
			calls := discoveryServer.calls
			discoveryServer.cond.Broadcast()
			discoveryServer.mu.Unlock()
			eventually(t, "each called without an answer", func() bool {
				discoveryServer.mu.Lock()
				defer discoveryServer.mu.Unlock()
				return discoveryServer.calls >= calls+2*sidecars
			})
			discoveryServer.setList(oneDraining...)
			discoveryServer.mu.Lock()
			discoveryServer.unresponsive = false
			discoveryServer.mu.Unlock()
			eventually(t, "all watch after the outage", func() bool { return discoveryServer.heldAt(11) == sidecars })
			record("leaving, after an outage: %d", requestAll(8))
			if delivery == "pushed" {
				file, listen := writeLenientConfig(t, discoveryServer.address, delivery, inService...)
				_, log := startProgram(t, file)
				eventually(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
				addresses = []string{listen}
				record("leaving, at a new process: %d", requestAll(20))
			}
			want := []string{"in service: used true", "leaving, after silent watches: 0", "leaving, after an outage: 0",
				"leaving, at a new process: 0"}
			if delivery != "pushed" {
				want = want[:3]
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-want +got:\n%s", diff)
			}
		})
	}
}
