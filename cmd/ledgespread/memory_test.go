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
	"testing"
	"time"

	"ledgespread/lab/sidecars"
)

// Limits of the program in these tests, and how many clients use it at once: a third of the descriptors.
const (
	testMemoryMB    = 48
	testDescriptors = 1024
	testClients     = testDescriptors / 3
)

const (
	slowBytesPerSecond = 64 << 10 // the slowest pace at which a client reads and writes
	slowStep           = 250 * time.Millisecond
	bytesOfSlowStep    = slowBytesPerSecond / int(time.Second/slowStep)
	memoryPollInterval = 20 * time.Millisecond
)

// builtProgramFolder holds what buildProgram has built, until the tests end.
var builtProgramFolder string

// buildProgram builds the program once as it is deployed, without the race detector, which needs memory of its own.
var buildProgram = sync.OnceValues(func() (path string, err error) {
	if builtProgramFolder, err = os.MkdirTemp("", "ledgespread"); err != nil {
		return "", err
	}
	path = filepath.Join(builtProgramFolder, "ledgespread")
	if out, err := exec.Command("go", "build", "-o", path, ".").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w\n%s", err, out)
	}
	return path, nil
})

// watchMemory watches the memory of a process until peak is called, which returns the most that it used.
func watchMemory(pid int) (peak func() int) {
	stop, result := make(chan bool), make(chan int)
	go func() {
		most := 0
		for {
			most = max(most, sidecars.AnonymousMemory(pid)<<10)
			select {
			case <-stop:
				result <- most
				return
			case <-time.After(memoryPollInterval):
			}
		}
	}()
	return func() int {
		close(stop)
		return <-result
	}
}

// startWithMemoryLimit starts the built program with testMemoryMB and testDescriptors, before servers that handler
// serves.
func startWithMemoryLimit(t *testing.T, handler http.Handler) (pid int, listen string) {
	t.Helper()
	var entries []string
	for i := range 8 {
		entries = append(entries, serverEntry(fmt.Sprintf("s%d", i), serveHTTP(t, handler), "in_service"))
	}
	file, listen := writeLenientConfig(t, startDiscovery(t, entries...).address, "on_request", entries...)
	text, _ := os.ReadFile(file)
	os.WriteFile(file, []byte(strings.NewReplacer(`"memory_mb":64`, fmt.Sprintf(`"memory_mb":%d`, testMemoryMB),
		`"sockets":64`, fmt.Sprintf(`"sockets":%d`, testDescriptors)).Replace(string(text))), 0o600)
	binary, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("TMPDIR", t.TempDir())
	program, log := startBinary(t, binary, file)
	eventually(t, "it serves", func() bool { return strings.Contains(log.text(), `"serving"`) })
	return program.Process.Pid, listen
}

// slowClient is a client that sends one request and reads its answer slowly.
type slowClient struct {
	net.Conn
	in *bufio.Reader
}

// sendHead connects and sends the head of a request; fields are further ones, each with its line end.
func (c *slowClient) sendHead(address, method, target, id, fields string) (err error) {
	if c.Conn, err = net.Dial("tcp", address); err != nil {
		return err
	}
	c.in = bufio.NewReaderSize(c, bytesOfSlowStep)
	_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %s\r\nX-Timeout: 25000m\r\n%s\r\n", method, target, id, fields)
	return err
}

// readSlowly reads the answer at the slowest pace for a time, and returns its status.
func (c *slowClient) readSlowly(span time.Duration) (status int, err error) {
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	answer, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, err
	}
	for until := time.Now().Add(span); time.Now().Before(until); time.Sleep(slowStep) {
		switch _, err := io.CopyN(io.Discard, answer.Body, int64(bytesOfSlowStep)); err {
		case nil:
		case io.EOF: // the answer is whole
			return answer.StatusCode, nil
		default:
			return answer.StatusCode, err
		}
	}
	return answer.StatusCode, nil
}

// runClients runs testClients clients, which come a little after each other, and returns how many had the status 200
// and no error.
func runClients(run func(number int) (status int, err error)) (served int) {
	const betweenClients = 3 * time.Millisecond
	var all sync.WaitGroup
	var count atomic.Int64
	for number := range testClients {
		all.Go(func() {
			if status, err := run(number); status == http.StatusOK && err == nil {
				count.Add(1)
			}
		})
		time.Sleep(betweenClients)
	}
	all.Wait()
	return int(count.Load())
}

// Long answers to many slow clients exceeded the memory limit, for which the platform kills the process: their
// beginnings and the pieces that they are passed on in were not accounted for.
func TestLongAnswersStayWithinMemoryLimit(t *testing.T) {
	for _, test := range []struct {
		name   string
		length string
	}{{"in chunks", ""}, {"with a length", fmt.Sprint(32 << 20)}} {
		t.Run(test.name, func(t *testing.T) {
			pid, listen := startWithMemoryLimit(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if test.length != "" {
					w.Header().Set("Content-Length", test.length)
				}
				for part := make([]byte, 64<<10); ; {
					if _, err := w.Write(part); err != nil {
						return
					}
				}
			}))
			peak := watchMemory(pid)
			served := runClients(func(number int) (int, error) {
				client := &slowClient{}
				if err := client.sendHead(listen, "GET", "/look", fmt.Sprint(number), ""); err != nil {
					return 0, err
				}
				defer client.Close()
				return client.readSlowly(2 * time.Second)
			})
			if bytes := peak(); bytes > testMemoryMB<<20 || served < testClients {
				t.Errorf("%d bytes of %d; %d of %d clients are served", bytes, testMemoryMB<<20, served, testClients)
			} else {
				t.Logf("%d bytes of %d", bytes, testMemoryMB<<20)
			}
		})
	}
}

// Hundreds of clients that stopped half way through a large request made the process exceed its memory limit: the first
// 64 KiB of each body were held whatever was left, and so was the buffer of the rest.
func TestUnfinishedBodiesStayWithinMemoryLimit(t *testing.T) {
	for _, size := range []int{768 << 10, 1 << 20} {
		pid, listen := startWithMemoryLimit(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			io.Copy(io.Discard, r.Body)
		}))
		peak := watchMemory(pid)
		runClients(func(number int) (int, error) {
			client := &slowClient{}
			if err := client.sendHead(listen, "POST", "/pay", fmt.Sprint(number), fmt.Sprintf("Content-Length: %d\r\n", size)); err != nil {
				return 0, err
			}
			defer client.Close()
			_, err := client.Write(make([]byte, size/2))
			time.Sleep(2 * time.Second)
			return 0, err
		})
		if bytes := peak(); bytes > testMemoryMB<<20 {
			t.Errorf("%d bytes of %d with bodies of %d", bytes, testMemoryMB<<20, size)
		} else {
			t.Logf("%d bytes of %d with bodies of %d", bytes, testMemoryMB<<20, size)
		}
	}
}

// While clients that hold a third of the descriptors wrote long requests slowly, all others were rejected, short ones too:
// there were fewer connections to servers than that.
func TestShortRequestsBesideSlowBodies(t *testing.T) {
	const size = 8 << 20
	_, listen := startWithMemoryLimit(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		io.WriteString(w, "done")
	}))
	sendShortRequests := func(class string, count int) {
		for number := range count {
			if answer := sendRequest(listen, class, fmt.Sprint(class, number)); answer != "200 done" {
				t.Errorf("short request: %s", answer)
			}
		}
	}
	const shortBefore, shortBeside = 100, 20
	// Admission control expects servers without an answer so far to be slow, and rejects some of what comes after a second.
	sendShortRequests("pay", shortBefore)
	done := make(chan bool)
	go runClients(func(number int) (int, error) {
		client := &slowClient{}
		if err := client.sendHead(listen, "POST", "/pay", fmt.Sprint(number), fmt.Sprintf("Content-Length: %d\r\n", size)); err != nil {
			return 0, err
		}
		defer client.Close()
		for {
			client.Write(make([]byte, bytesOfSlowStep))
			select {
			case <-done:
				return 0, nil
			case <-time.After(slowStep):
			}
		}
	})
	eventually(t, "all bodies are at servers", func() bool {
		return strings.Contains(readCounters(listen), fmt.Sprintf("fetches_sent %d\n", shortBefore+testClients))
	})
	sendShortRequests("look", shortBeside)
	close(done)
}

// Requests and answers with heads of very many short fields made the process exceed its memory limit: each field of a
// waiting request or a streamed answer was kept apart, which takes twenty times its length.
func TestHeadsOfManyFieldsStayWithinMemoryLimit(t *testing.T) {
	const fieldCount, answerFieldCount = 1900, 1500
	var fields strings.Builder
	for i := range fieldCount {
		fmt.Fprintf(&fields, "%c:\r\n", 'a'+i%26)
	}
	for _, path := range []string{"/look/request", "/look/answer"} {
		pid, listen := startWithMemoryLimit(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if strings.HasSuffix(r.URL.Path, "request") {
				time.Sleep(1500 * time.Millisecond)
				return
			}
			for i := range answerFieldCount {
				w.Header().Set(fmt.Sprintf("x%x", i), "1")
			}
			w.WriteHeader(http.StatusOK)
			for part := make([]byte, 64<<10); ; {
				if _, err := w.Write(part); err != nil {
					return
				}
			}
		}))
		peak := watchMemory(pid)
		served := runClients(func(number int) (int, error) {
			client, more := &slowClient{}, ""
			if strings.HasSuffix(path, "request") {
				more = fields.String()
			}
			if err := client.sendHead(listen, "GET", path, fmt.Sprint(number), more); err != nil {
				return 0, err
			}
			defer client.Close()
			return client.readSlowly(time.Second)
		})
		if bytes := peak(); bytes > testMemoryMB<<20 || served == 0 {
			t.Errorf("%s: %d bytes of %d, %d clients are served", path, bytes, testMemoryMB<<20, served)
		} else {
			t.Logf("%s: %d bytes of %d, %d clients are served", path, bytes, testMemoryMB<<20, served)
		}
	}
}

// Clients that stopped in a head of very many short fields, or behind it, made the process exceed its memory limit: the
// HTTP server parses what it has of a head, and keeps the fields until it has the rest and the beginning of the body.
func TestUnfinishedHeadsStayWithinMemoryLimit(t *testing.T) {
	const request = "%s HTTP/1.1\r\nHost: a\r\nX-Request-ID: %d%s\r\nX-Timeout: 25000m\r\n%s"
	fields := strings.Repeat("a:\r\n", 1900)
	for name, message := range map[string]func(number int) string{
		"half a head": func(number int) string { return fmt.Sprintf(request, "GET /look", number, "", fields) },
		"a head without its body": func(number int) string {
			return fmt.Sprintf(request, "POST /pay", number, "", fields+"Content-Length: 100000\r\n\r\n")
		},
		"a head whose client waits for 100 Continue": func(number int) string {
			return fmt.Sprintf(request, "POST /pay", number, "", fields+"Expect: 100-continue\r\nContent-Length: 100\r\n\r\n")
		},
		"in trailers": func(number int) string {
			return fmt.Sprintf(request, "POST /pay", number, "", "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n"+fields)
		},
		"half a head behind a request": func(number int) string {
			return fmt.Sprintf(request, "POST /pay", number, "first", "Content-Length: 3\r\n\r\nabc") + fmt.Sprintf(request, "GET /look", number, "", fields)
		},
	} {
		t.Run(name, func(t *testing.T) {
			pid, listen := startWithMemoryLimit(t, http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { io.Copy(io.Discard, r.Body) }))
			peak := watchMemory(pid)
			runClients(func(number int) (int, error) {
				client, err := net.Dial("tcp", listen)
				if err != nil {
					return 0, err
				}
				defer client.Close()
				io.WriteString(client, message(number))
				time.Sleep(2 * time.Second)
				return 0, nil
			})
			if bytes := peak(); bytes > testMemoryMB<<20 {
				t.Errorf("%d bytes of %d", bytes, testMemoryMB<<20)
			} else {
				t.Logf("%d bytes of %d", bytes, testMemoryMB<<20)
			}
		})
	}
}
