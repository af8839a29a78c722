package outbound

import (
	"errors"
	"io"
	"os"
	"sync"
	"time"

	"ledgespread/brain"
	"ledgespread/internal/counters"
	"ledgespread/internal/exchange"
	"ledgespread/internal/memory"
)

const (
	stallTimeout = 5 * time.Second  // limit for a server to accept the next data of a long request
	maxHold      = stallTimeout / 5 // limit for holding back data of a server, whether or not its answer proves to be a long one

	// answerStallTimeout is the limit for a server to send the next data of a long answer. It covers a way that is cut for
	// 6 s, after which TCP may wait for as long again until it sends anew.
	answerStallTimeout = 15 * time.Second
	wantedInterval     = time.Second // between two questions whether an answer that stalls is still wanted

	startGrowth = 4 // the held beginning of an answer grows by this factor: most bodies are short, and each copy is garbage to collect
)

// stream is the rest of a long answer. It is read at the client's pace and closed by its reader.
type stream struct {
	body     io.Reader
	conn     *conn
	server   brain.ServerID
	outbound *Outbound
	reusable bool // the connection may be reused
	complete bool
	readErr  error // why it is incomplete; nil: the reader closed it early
	unwanted func() bool
	once     sync.Once
}

// errUnwanted means that nobody waits for the answer any more.
var errUnwanted = errors.New("the answer is not wanted any more")

// StopIf sets the function that tells whether the answer is unwanted.
func (s *stream) StopIf(unwanted func() bool) { s.unwanted = unwanted }

// Read reads the next data. It returns io.EOF only at the end of a complete answer: the client must not take
// a truncated answer for a complete one.
func (s *stream) Read(p []byte) (n int, err error) {
	for until := time.Now().Add(answerStallTimeout); ; {
		s.conn.deadline = time.Now().Add(wantedInterval)
		s.conn.SetReadDeadline(s.conn.deadline)
		n, err = s.body.Read(p)
		switch {
		case err == io.EOF:
			s.complete = true
			return n, err
		case err == nil:
			return n, nil
		case n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || !time.Now().Before(until):
			s.readErr = err
			return n, err
		case s.unwanted != nil && s.unwanted():
			return 0, errUnwanted
		}
		s.conn.readErr = nil
	}
}

// Close returns the connection to the pool, or closes it if the answer is incomplete.
func (s *stream) Close() error {
	s.once.Do(func() {
		if s.readErr != nil {
			s.outbound.counts.Add(counters.AnswersTruncated)
			s.outbound.log.Debug().Err(s.readErr).Msg("answer truncated")
		}
		if s.complete && s.reusable && s.conn.buffered() == 0 {
			s.outbound.pool.putIdle(s.server, s.conn)
			return
		}
		s.conn.Close()
		s.outbound.pool.release()
	})
	return nil
}

// readStart reads a body of unknown length until it is complete, is too long to be held, or the time holdUntil is
// reached; the rest is then read by a stream. After failAfter it fails. The hold keeps an answer that the
// client could already have from being delayed for long, while a short answer is read completely and can
// still be retried if it breaks off. Without memory for it, less of the answer is held.
func (c *conn) readStart(body io.Reader, reserved *memory.Reservation, holdUntil, failAfter time.Time) (first []byte, complete bool, err error) {
	first = make([]byte, 0, memory.FreeBytes)
	c.SetReadDeadline(holdUntil)
	c.deadline = time.Time{} // the next reader sets its own deadline
	for {
		if len(first) == cap(first) {
			larger := min(startGrowth*cap(first), exchange.MaxBufferedBody)
			if larger == cap(first) || !reserved.Grow(int64(larger-cap(first))) {
				return first, false, nil
			}
			first = append(make([]byte, 0, larger), first...)
		}
		n, err := body.Read(first[len(first):cap(first)])
		first = first[:len(first)+n]
		switch {
		case err == io.EOF:
			return first, true, nil
		case errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(failAfter): // ETIMEDOUT of a broken connection is not a deadline that was set here
			c.readErr = nil
			return first, false, nil
		case err != nil:
			return first, false, err
		}
	}
}
