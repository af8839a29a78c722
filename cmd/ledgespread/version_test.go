package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// addressesTaken counts the calls of freeAddress.
var addressesTaken atomic.Int64

// freeAddress returns an address for a program under test. Each call has a loopback address of its own, by the process and
// the call: a port of 127.0.0.1 could be given to another listener or connection before the program listens there.
func freeAddress(t *testing.T) string {
	t.Helper()
	const processes, calls = 1 << 14, 1 << 8
	number := os.Getpid()%processes*calls + int(addressesTaken.Add(1))%calls
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+number>>16, number>>8&0xff, number&0xff))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

// callConsole makes an operator's call at a console address and reports whether it succeeded.
func callConsole(method, address, path string) bool {
	req, _ := http.NewRequest(method, "http://"+address+"/control/"+path, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode < 300
}

// eventually waits until a condition is met, and fails the test after 20 seconds.
func eventually(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !met(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("never: %s", condition)
		}
	}
}

// upgrade is what the processes of one sidecar have in common while a new version is started beside the old one.
type upgrade struct {
	folder, listen, discovery string
	servers                   string      // their entries in the list
	silent                    atomic.Bool // discovery does not answer
}

// upgradeProcess is one of the processes.
type upgradeProcess struct {
	program *exec.Cmd
	console string
	log     *logBuffer
}

// stop ends the process by SIGTERM.
func (p upgradeProcess) stop() error {
	p.program.Process.Signal(syscall.SIGTERM)
	return p.program.Wait()
}

// newUpgrade starts a discovery service with a list of these servers, and sets $TMPDIR for the processes.
func newUpgrade(t *testing.T, entries []string) *upgrade {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	u := &upgrade{folder: t.TempDir(), listen: freeAddress(t), discovery: ln.Addr().String(), servers: strings.Join(entries, ",")}
	go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("hold_ms") > "0" || u.silent.Load() {
			<-r.Context().Done()
			return
		}
		fmt.Fprintf(w, `{"seq":7,"whole":true,"hosts":[%s]}`, u.servers)
	}))
	t.Setenv("TMPDIR", u.folder)
	return u
}

// start starts a process with a console address of its own, and waits until it is ready.
func (u *upgrade) start(t *testing.T, name string) (stop func() error, consoleAddress string, log *logBuffer) {
	t.Helper()
	process := u.launch(t, name)
	eventually(t, name+" is ready", func() bool { return callConsole("GET", process.console, "ready") })
	return process.stop, process.console, process.log
}

// launch starts a process with a console address of its own.
func (u *upgrade) launch(t *testing.T, name string) (process upgradeProcess) {
	t.Helper()
	process.console = freeAddress(t)
	file := filepath.Join(u.folder, name)
	text := strings.Replace(fmt.Sprintf(minimalConfig, u.listen, u.discovery, 1), `"hosts":[]`, `"hosts":[`+u.servers+`]`, 1)
	text = strings.Replace(text, `"seed"`, `"console":"`+process.console+`","seed"`, 1)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	process.program, process.log = startProgram(t, file)
	return process
}

// A new version starts under load beside the old one, with the same addresses, its own console address and a shared folder.
// The old process is stopped by SIGTERM once the new one is ready. Each request must get its own answer, at most 2 in 100
// may find their connection closed, and a server that was taken out of service at the old process must stay out at the
// new one until it is put back there.
func TestNewVersion(t *testing.T) {
	var lines []string
	var requests [2]atomic.Int64
	for i := range requests {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { ln.Close() })
		go http.Serve(ln, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			requests[i].Add(1)
			io.WriteString(w, r.Header.Get("X-Request-ID"))
		}))
		lines = append(lines, fmt.Sprintf(`{"host":"s%d","dial":"%s","site":"here","class":"m","block":0,
			"health":"in_service","share":1,"born_ms":0}`, i, ln.Addr()))
	}
	upgrade := newUpgrade(t, lines)
	listen := upgrade.listen
	var got []string
	record := func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
	stopOld, oldConsole, log := upgrade.start(t, "old")
	record("an unknown server: %v, s0 taken out: %v", callConsole("POST", oldConsole, "servers/s9/offline"), callConsole("POST", oldConsole, "servers/s0/offline"))

	var ids, answered, unanswered, mismatched atomic.Int64
	var done atomic.Bool
	var clients sync.WaitGroup
	for range 8 {
		clients.Go(func() {
			var conn net.Conn
			var reader *bufio.Reader
			for !done.Load() {
				if conn == nil {
					var err error
					if conn, err = net.Dial("tcp", listen); err != nil {
						unanswered.Add(1)
						continue
					}
					reader = bufio.NewReader(conn)
				}
				id := fmt.Sprint(ids.Add(1))
				_, err := fmt.Fprintf(conn, "GET /look HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Timeout: 700m\r\n\r\n", id)
				var resp *http.Response
				if err == nil {
					resp, err = http.ReadResponse(reader, nil)
				}
				if err != nil {
					unanswered.Add(1)
					conn.Close()
					conn = nil
					continue
				}
				body, _ := io.ReadAll(resp.Body)
				if answered.Add(1); resp.StatusCode == 200 && string(body) != id {
					mismatched.Add(1)
				}
				if resp.Close {
					conn.Close()
					conn = nil
				}
				time.Sleep(4 * time.Millisecond)
			}
		})
	}
	waitForAnswers := func() { // for more requests than before this call
		before := answered.Load()
		eventually(t, "requests are answered", func() bool { return answered.Load() > before+200 })
	}
	waitForAnswers()
	stopNew, newConsole, _ := upgrade.start(t, "new")
	waitForAnswers()
	record("the old process ends: %v", stopOld())
	waitForAnswers()
	record("s0 while it is out: %d, taken out again: %v", requests[0].Load(), callConsole("POST", newConsole, "servers/s0/offline"))
	record("put back: %v", callConsole("POST", newConsole, "servers/s0/online"))
	eventually(t, "s0 is used again", func() bool { return requests[0].Load() > 0 })
	done.Store(true)
	clients.Wait()
	record("the new process ends: %v", stopNew())
	record("more than 2 in 100 unanswered: %v, answers to other requests: %d", unanswered.Load()*50 > answered.Load(), mismatched.Load())
	record("the old process crashed: %v", strings.Contains(log.text(), "crash"))
	if diff := cmp.Diff([]string{"an unknown server: false, s0 taken out: true", "the old process ends: <nil>",
		"s0 while it is out: 0, taken out again: true", "put back: true", "the new process ends: <nil>",
		"more than 2 in 100 unanswered: false, answers to other requests: 0", "the old process crashed: false"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
	t.Logf("%d requests answered, %d unanswered", answered.Load(), unanswered.Load())
}

// A console address that is malformed or in use must be refused, by check and at the start, with one line that names the
// setting.
func TestConsoleRefused(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer occupied.Close()
	var got []string
	for _, c := range []struct{ configured, env string }{{"", ""}, {freeAddress(t), ""}, {"here", ""}, {"", "there"}, {occupied.Addr().String(), ""}} {
		file := filepath.Join(t.TempDir(), "n0.json")
		text := strings.Replace(fmt.Sprintf(minimalConfig, freeAddress(t), "127.0.0.1:1", 1), `"seed"`, `"console":"`+c.configured+`","seed"`, 1)
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		t.Setenv("RELAY_CONSOLE", c.env)
		result := ""
		for _, command := range []string{"check", "serve"} {
			if command == "serve" && result == "whole" { // it would serve
				break
			}
			cmd := rootCommand()
			cmd.SetArgs([]string{command, "--config", file})
			cmd.SetOut(io.Discard)
			cmd.SetErr(io.Discard)
			err := cmd.Execute()
			line := "whole"
			if err != nil {
				line = strings.ReplaceAll(strings.ReplaceAll(err.Error(), filepath.Dir(file)+"/", ""), occupied.Addr().String(), "ADDRESS")
			}
			if result != "" && result != line {
				t.Errorf("check said %q, the start %q", result, line)
			}
			result = line
		}
		got = append(got, result)
	}
	if diff := cmp.Diff([]string{"whole", "whole", `n0.json:1: console: not an ip:port`, `RELAY_CONSOLE: not an ip:port`,
		"console: listen tcp ADDRESS: bind: address already in use"}, got); diff != "" {
		t.Errorf("-want +got:\n%s", diff)
	}
}
