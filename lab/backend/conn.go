package backend

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"strconv"
	"strings"

	"ledgespread/lab/clock"
	"ledgespread/lab/wire"
)

// conn is one connection. One goroutine reads requests from it; the callback at a visit's end writes the
// answer.
type conn struct {
	tcp     *net.TCPConn
	unused  bool   // has not carried a request yet
	current *Entry // the visit in progress, nil: none
	backend *Backend
}

// accept serves connections from a listener until it closes.
func (b *Backend) accept(listener net.Listener) {
	for {
		tcp, err := listener.Accept()
		if err != nil {
			return
		}
		connection := &conn{tcp: tcp.(*net.TCPConn), unused: true, backend: b}
		b.mu.Lock()
		if b.listener != listener {
			b.mu.Unlock()
			tcp.Close()
			return
		}
		b.Opened++
		b.conns[connection] = true
		b.MaxConnections = max(b.MaxConnections, len(b.conns))
		over := len(b.conns) > b.Config.Connections
		b.core.Spend(b.clock.Now(), b.Config.HandshakeWork.M(), false)
		b.scheduleWake()
		b.mu.Unlock()
		go connection.read(over)
	}
}

// read handles requests until the connection ends, and cancels the visit that is then in progress. over says
// that the backend had more connections than it allows.
func (c *conn) read(over bool) {
	backend := c.backend
	reader := bufio.NewReaderSize(c.requestSource(), 8<<10)
	defer func() {
		c.tcp.Close()
		backend.mu.Lock()
		delete(backend.conns, c)
		if c.current != nil && backend.listener != nil {
			backend.core.Cancel(backend.clock.Now(), c.current)
			backend.scheduleWake()
		}
		backend.mu.Unlock()
	}()
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		first := backend.clock.Now()
		head, err := wire.ReadHead(reader)
		if err != nil {
			backend.countUnparsed()
			return
		}
		if _, err := head.Body(reader); err != nil {
			backend.countUnparsed()
			return
		}
		if c.unused {
			if c.unused = false; backend.Config.Handshake > 0 {
				clock.Micros(backend.Config.Handshake).Sleep()
			}
		}
		if !c.handle(head, first, over) {
			return
		}
	}
}

// parseTimeout parses an X-Timeout header: a number with the unit u (microseconds) or m (milliseconds). It
// returns -1 if there is none.
func parseTimeout(text string) Micros {
	number, unit := strings.TrimRight(text, "mu"), Micros(1)
	if strings.HasSuffix(text, "m") {
		unit = clock.Milli
	}
	if value, err := strconv.ParseFloat(number, 64); err == nil {
		return Micros(value * float64(unit))
	}
	return -1
}

// countUnparsed counts a message that could not be parsed.
func (b *Backend) countUnparsed() {
	b.mu.Lock()
	b.Unparsed++
	b.mu.Unlock()
}

func (c *conn) write(bytes []byte) { c.tcp.Write(bytes) }

// handle handles one request; it returns false when the connection is to be closed.
func (c *conn) handle(head wire.Head, first Micros, over bool) bool {
	backend := c.backend
	path, query, err := head.Target()
	if err != nil {
		backend.countUnparsed()
		c.write(wire.Answer(400, "", "Connection: close"))
		return false
	}
	backend.mu.Lock()
	defer backend.mu.Unlock()
	now := backend.clock.Now()
	if backend.listener == nil || c.current != nil { // pipelined requests are not supported
		return false
	}
	if path == "/-/healthy" || path == "/-/load" {
		backend.Probed++
		backend.core.Spend(now, backend.Config.ProbeWork.M(), true)
		backend.scheduleWake()
		if !backend.mute {
			c.write(backend.probeAnswer(now, path))
		}
		return true
	}
	prefix := -1
	for i, configured := range backend.prefixes {
		if strings.HasPrefix(path, "/"+configured.Name+"/") || path == "/"+configured.Name {
			prefix = i
		}
	}
	id := head.Fields["x-request-id"]
	if id == "" || prefix < 0 {
		c.write(wire.Answer(404, ""))
		return true
	}
	work, _ := strconv.ParseInt(query.Get("w"), 10, 64)
	key, _ := strconv.ParseUint(query.Get("k"), 10, 64)
	entry := &Entry{Backend: backend.Name, ID: id, Tag: head.Fields["idempotency-key"], Prefix: prefix,
		Tenant: head.Fields["x-tenant-id"], Key: key, Work: max(1, Micros(work)), First: first, TimeLeft: parseTimeout(head.Fields["x-timeout"])}
	backend.account = append(backend.account, entry)
	if backend.draining || over {
		entry.Arrived, entry.Started, entry.Ended, entry.Outcome = now, -1, now, Rejected
		c.write(wire.Answer(503, "", "X-Not-Processed: 1"))
		return true
	}
	if backend.mute {
		entry.Arrived, entry.Started, entry.Ended, entry.Outcome = now, -1, now, Unanswered
		return true
	}
	c.current = entry
	c.scheduleReset(entry)
	backend.core.Enqueue(now, entry, c.finished)
	backend.scheduleWake()
	return true
}

// finished is called at the end of a visit and writes its answer. b.mu is held.
func (c *conn) finished(entry *Entry) {
	backend := c.backend
	if c.current == entry {
		c.current = nil
	}
	switch entry.Outcome {
	case Died, Canceled:
		return
	case Rejected:
		c.write(wire.Answer(503, "", "X-Not-Processed: 1"))
		return
	}
	backend.keysLock.Lock()
	if backend.knownKeys[entry.Prefix].seenBefore(entry.Tag, entry.Started) {
		entry.Outcome = Repeat
	}
	backend.keysLock.Unlock()
	switch chance := backend.random.Float(); {
	case entry.unanswered:
		entry.Outcome = Unanswered
	case chance < backend.errors:
		entry.Outcome = Errored
		c.write(wire.Answer(500, ""))
	case chance < backend.errors+backend.malformed:
		entry.Outcome = Malformed
		c.write(malformedAnswers[backend.random.Below(len(malformedAnswers))])
	default:
		c.write(wire.Answer(200, entry.ID+" "+backend.Name+" "+backend.padding))
	}
}

// malformedAnswers are sent by a backend that is set to answer in a malformed way; the connection stays open
// after them.
var malformedAnswers = [][]byte{
	[]byte("\x00\x17noise\xff\xfe\r\n\r\n"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: twelve\r\n\r\nhello, world"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 12\r\n\r\nhello, world"),
	[]byte("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand so on"),
	append([]byte("HTTP/1.1 200 OK\r\nX-Endless: "), bytes.Repeat([]byte("e"), 40<<10)...),
}

// probeAnswer returns the answer to a probe. The load report in it is refreshed once per report period.
func (b *Backend) probeAnswer(now Micros, path string) []byte {
	if b.report == "" || now >= b.reportAt+b.Config.ReportEvery.M() {
		b.core.Advance(now)
		b.report, b.reportAt = fmt.Sprintf(`{"inflight":%d}`, b.core.Visits()), now
	}
	status := 200
	if b.draining {
		status = 503
	}
	if path == "/-/load" {
		return wire.Answer(status, b.report, "X-Server-Load: "+b.report)
	}
	return wire.Answer(status, "", "X-Server-Load: "+b.report)
}
