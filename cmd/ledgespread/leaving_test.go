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

// line is a server in a list.
func line(host, at, health string) string {
	return fmt.Sprintf(`{"host":"%s","dial":"%s","site":"here","class":"m","block":0,"health":"%s","share":1,"born_ms":0}`, host, at, health)
}

// patientFile is a configuration with three prefixes (safe, keyed, unsafe) and times that no slow machine uses up.
func patientFile(t *testing.T, discovery, how string, lines ...string) (file, at string) {
	t.Helper()
	at, file = free(t), filepath.Join(t.TempDir(), "n0.json")
	text := fmt.Sprintf(startable, at, discovery, 1)
	before, rest, _ := strings.Cut(text, `"path_prefixes":[`)
	look, after, _ := strings.Cut(rest, "]")
	look = strings.NewReplacer("400000", "15000000", "800000", "30000000").Replace(look)
	book := strings.NewReplacer(`"look"`, `"book"`, "read_like", "idempotency_key").Replace(look)
	pay := strings.NewReplacer(`"look"`, `"pay"`, "read_like", "non_idempotent").Replace(look)
	text = before + `"path_prefixes":[` + look + "," + book + "," + pay + "]" + after
	text = strings.NewReplacer(`"hosts":[]`, `"hosts":[`+strings.Join(lines, ",")+`]`, "on_request", how,
		`"connect_timeout_us":100000`, `"connect_timeout_us":20000000`, `"ask_every_us":10000000`,
		`"ask_every_us":300000000,"stop_sending_within_us":500000`).Replace(text)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return file, at
}

// request sends one request and tells its answer.
func visit(at, prefix, id string) string {
	method, key := "GET", ""
	if prefix != "look" {
		method = "POST"
	}
	if prefix == "book" {
		key = "Idempotency-Key: k" + id + "\r\n"
	}
	c, err := net.Dial("tcp", at)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	fmt.Fprintf(c, "%s /%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Timeout: 25000m\r\n%sContent-Length: 0\r\n\r\n", method, prefix, id, key)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	body, _ := io.ReadAll(resp.Body)
	return fmt.Sprint(resp.StatusCode, " ", string(body))
}

// standIn is a stand-in server that answers with its name, and counts.
func standIn(t *testing.T, name string) (at string, seen *atomic.Int64) {
	t.Helper()
	seen = &atomic.Int64{}
	return serveHTTP(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen.Add(1)
		io.WriteString(w, name)
	})), seen
}

// serveHTTP serves at an address of its own until the test is over.
func serveHTTP(t *testing.T, handler http.Handler) (at string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go http.Serve(ln, handler)
	return ln.Addr().String()
}

// discovery is a stand-in whose list changes, whose watches fall silent, and that may answer nothing at all.
type discovery struct {
	mu    sync.Mutex
	cond  *sync.Cond
	at    string
	seq   int
	list  string
	part  bool           // the list is one of changes
	lost  bool           // the calls that are held now get no answer any more; new ones do
	deaf  bool           // nor do new ones
	held  map[string]int // by connection: version of the call that is held there, and will be answered
	calls int
}

func discover(t *testing.T, lines ...string) *discovery {
	t.Helper()
	d := &discovery{held: map[string]int{}, seq: 7}
	d.cond = sync.NewCond(&d.mu)
	d.set(lines...)
	d.at = serveHTTP(t, d)
	return d
}

// set has another list; calls that were lost before stay so.
func (d *discovery) set(lines ...string) { d.change(false, lines...) }

// change has another list, or changes of the one before.
func (d *discovery) change(part bool, lines ...string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.lost && len(d.held) > 0 {
		d.cond.Wait()
	}
	d.lost = false
	d.seq++
	d.part = part
	d.list = strings.Join(lines, ",\n ")
	d.cond.Broadcast()
}

func (d *discovery) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var from, hold int
	fmt.Sscan(r.URL.Query().Get("from"), &from)
	fmt.Sscan(r.URL.Query().Get("hold_ms"), &hold)
	d.mu.Lock()
	d.calls++
	end := time.Now().Add(time.Duration(hold) * time.Millisecond)
	over := time.AfterFunc(time.Until(end), d.cond.Broadcast)
	defer over.Stop()
	if hold > 0 && !d.deaf {
		d.held[r.RemoteAddr] = from
	}
	for !d.deaf && !d.lost && from >= d.seq && time.Now().Before(end) {
		d.cond.Wait()
	}
	silent := d.deaf || d.lost && hold > 0
	delete(d.held, r.RemoteAddr)
	d.cond.Broadcast()
	text := fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[`+"\n "+`%s]}`, d.seq, !d.part, d.list)
	d.mu.Unlock()
	if silent {
		<-r.Context().Done()
		return
	}
	io.WriteString(w, text)
}

// waiting counts calls that are held with this version.
func (d *discovery) waiting(version int) (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, from := range d.held {
		if from == version {
			n++
		}
	}
	return n
}

// A connection that comes up after the list had its server leaving carries nothing: the request never ran there, and goes on elsewhere,
// whatever its effect.
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
	raw.Control(func(fd uintptr) { syscall.Listen(int(fd), 0) }) // one connection waits to be accepted; no other comes up
	first, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	at, seen := standIn(t, "s1")
	d := discover(t, line("s0", ln.Addr().String(), "in_service"))
	file, listen := patientFile(t, d.at, "on_request", line("s0", ln.Addr().String(), "in_service"))
	program, log := launch(t, file)
	within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	within(t, "it watches", func() bool { return d.waiting(8) > 0 })
	answers := make(chan string, 3)
	for i, prefix := range []string{"look", "book", "pay"} {
		go func() { answers <- visit(listen, prefix, fmt.Sprint(i)) }()
	}
	within(t, "all are held", func() bool { return strings.Contains(figures(listen), "ledgespread_fetches_sent 3\n") })
	d.set(line("s0", ln.Addr().String(), "terminating"), line("s1", at, "in_service"))
	within(t, "it was told", func() bool { return d.waiting(9) > 0 })
	wrote := make(chan string, 9)
	go func() { // now they come up
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if req, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					wrote <- req.URL.Path
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
	got = append(got, fmt.Sprintf("written to s0: %d, to s1: %d", len(wrote), seen.Load()))
	if diff := cmp.Diff([]string{"200 s1", "200 s1", "200 s1", "written to s0: 0, to s1: 3"}, got); diff != "" {
		t.Errorf("-kept +now:\n%s\n%s", diff, log.text())
	}
}

func figures(at string) string {
	resp, err := http.Get("http://" + at + "/-/counters")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body)
	return string(text)
}

// Several sidecars, their watches silent, twice in a row, or their discovery silent for a while: each hears on its own of the server that
// leaves meanwhile, and from then on nothing new reaches it. A new process whose saved list has it in service hears first, where the
// list is pushed.
func TestLeavingUnheard(t *testing.T) {
	const many = 5
	for _, how := range []string{"on_request", "pushed"} {
		t.Run(how, func(t *testing.T) {
			t.Parallel()
			one, seen := standIn(t, "s0")
			two, _ := standIn(t, "s1")
			here := []string{line("s0", one, "in_service"), line("s1", two, "in_service")}
			left := []string{line("s0", one, "terminating"), line("s1", two, "in_service")}
			d := discover(t, here...)
			var listens []string
			for range many {
				file, at := patientFile(t, d.at, how, here...)
				_, log := launch(t, file)
				within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
				listens = append(listens, at)
			}
			id := 0
			all := func(times int) (s0 int64) { // requests at each, and how many of them reached s0
				before := seen.Load()
				for range times {
					for _, at := range listens {
						id++
						if got := visit(at, []string{"look", "book", "pay"}[id%3], fmt.Sprint(how, id)); !strings.HasPrefix(got, "200") {
							t.Errorf("visit %d: %s", id, got)
						}
					}
				}
				return seen.Load() - before
			}
			var got []string
			say := func(format string, a ...any) { got = append(got, fmt.Sprintf(format, a...)) }
			within(t, "all watch", func() bool { return d.waiting(8) == many })
			say("in service: used %v", all(8) > 0)
			d.mu.Lock() // the watches that are held now get no answer any more
			d.lost = true
			d.cond.Broadcast()
			d.mu.Unlock()
			d.set(left...)
			within(t, "all watch anew", func() bool { return d.waiting(9) == many })
			say("leaving, after silent watches: %d", all(8))
			d.set(here...)
			within(t, "all were told", func() bool { return d.waiting(10) == many })
			d.mu.Lock()
			d.lost, d.deaf = true, true // an outage: calls hang as well
			calls := d.calls
			d.cond.Broadcast()
			d.mu.Unlock()
			within(t, "each asked in vain", func() bool { d.mu.Lock(); defer d.mu.Unlock(); return d.calls >= calls+2*many })
			d.set(left...)
			d.mu.Lock()
			d.deaf = false
			d.mu.Unlock()
			within(t, "all watch after the outage", func() bool { return d.waiting(11) == many })
			say("leaving, after an outage: %d", all(8))
			if how == "pushed" {
				file, at := patientFile(t, d.at, how, here...)
				_, log := launch(t, file)
				within(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
				listens = []string{at}
				say("leaving, at a new process: %d", all(20))
			}
			want := []string{"in service: used true", "leaving, after silent watches: 0", "leaving, after an outage: 0",
				"leaving, at a new process: 0"}
			if how != "pushed" {
				want = want[:3]
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("-kept +now:\n%s", diff)
			}
		})
	}
}
