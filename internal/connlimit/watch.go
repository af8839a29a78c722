package connlimit

import (
	"net"
	"slices"
	"time"

	"ledgespread/internal/peek"
)

const (
	maxPipelinedBytes = 16 << 10 // bytes of the next messages that are buffered while a request is in progress
	pipelinedReadSize = 1 << 10  // bytes of one read into that buffer
)

// WatchForClose closes the channel closed when the peer closes the connection. Received bytes are a pipelined
// request, whose client is still connected. WatchForClose buffers them for the next reader, up to
// maxPipelinedBytes, because a close shows only behind them. stop ends the watch; until it has returned, the
// caller must not read the connection.
func WatchForClose(conn net.Conn) (closed <-chan struct{}, stop func()) {
	closeSeen, ended, stopped := make(chan struct{}), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			switch peek.Inspect(conn, true) {
			case peek.Closed:
				if c, ok := conn.(*clientConn); ok {
					c.peerClosed.Store(true)
				}
				close(closeSeen)
				return
			case peek.Readable:
				if c, ok := conn.(*clientConn); ok && len(c.pipelined) < maxPipelinedBytes {
					c.readPipelined()
					continue
				}
				if pollForClose(conn, stopped) {
					close(closeSeen)
				}
				return
			default:
				return
			}
		}
	}()
	return closeSeen, func() {
		close(stopped)
		conn.SetReadDeadline(time.Unix(1, 0))
		<-ended
		conn.SetReadDeadline(time.Time{})
	}
}

// readPipelined reads bytes of the next messages into the buffer for the next reader.
func (c *clientConn) readPipelined() {
	n := len(c.pipelined)
	c.pipelined = slices.Grow(c.pipelined, pipelinedReadSize)
	read, err := c.TCPConn.Read(c.pipelined[n : n+pipelinedReadSize])
	c.pipelined = c.pipelined[:n+read]
	c.input.countRead(read)
	c.noteReadError(err)
}

// pollForClose reports whether the peer closes the connection before stopped is closed. It polls, because
// unread bytes beyond those that are buffered hide the close from a read.
func pollForClose(conn net.Conn, stopped <-chan struct{}) bool {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stopped:
			return false
		case <-ticker.C:
			if peek.PeerClosed(conn) {
				return true
			}
		}
	}
}
