package connlimit

import (
	"net"
	"time"

	"ledgespread/internal/peek"
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
