package connlimit

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"ledgespread/internal/peek"
)

// receiver reads a connection's socket and records that part of a message was received. One lock covers both, so that a connection is
// closed as silent either before a message is read from it or not at all.
type receiver struct {
	conn   *net.TCPConn
	socket syscall.RawConn
	try    func(fd uintptr) (done bool) // readOnce, bound to this receiver

	// The read under way. There is one at a time.
	into []byte
	n    int
	err  error

	mu       sync.Mutex
	received bool // part of a message, whose handling has not ended
}

// newReceiver makes the receiver of a connection.
func newReceiver(conn *net.TCPConn) *receiver {
	r := &receiver{conn: conn}
	r.try = r.readOnce
	r.socket, r.err = conn.SyscallConn() // an error is returned by the first read
	return r
}

// Read waits until bytes have come, or the read deadline has passed.
func (r *receiver) Read(p []byte) (n int, err error) {
	if r.socket == nil {
		return 0, r.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	r.into, r.n, r.err = p, 0, nil
	err = r.socket.Read(r.try)
	r.into = nil
	if err != nil {
		return 0, err
	}
	return r.n, r.err
}

// readOnce reads what has come; done is false if that is nothing yet.
func (r *receiver) readOnce(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		n, err := syscall.Read(int(fd), r.into)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			r.err = &net.OpError{Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(),
				Err: os.NewSyscallError("read", err)}
		case n == 0:
			r.err = io.EOF
		default:
			r.n = n
			r.received = true
		}
		return true
	}
}

// handled records that a message's handling has ended, and whether part of the next one is here already.
func (r *receiver) handled(next bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = next
}

// ifSilent calls shut unless part of a message was received, or lies in the socket. Nothing is read meanwhile.
func (r *receiver) ifSilent(shut func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.received || peek.Sent(r.conn) {
		return false
	}
	shut()
	return true
}
