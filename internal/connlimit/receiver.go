package connlimit

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"

	"ledgespread/internal/peek"
	"ledgespread/internal/turn"
)

// A socket whose unread bytes fill this part of its buffer may keep its peer from sending: the kernel counts more for
// each byte than the byte.
const (
	filledDivisor  = 4
	minFilledBytes = 16 << 10
)

// receiver reads a connection's socket and records that part of a message was received. One lock covers both,
// so that a connection can only be closed as silent before any byte of a message is read from it.
type receiver struct {
	conn   *net.TCPConn
	socket syscall.RawConn
	try    func(fd uintptr) (done bool) // the method value readOnce, bound once
	look   func(fd uintptr)             // the method value lookAtUnread, bound once
	peek   func(fd uintptr)             // the method value lookForData, bound once

	// Buffer and results of the read in progress. There is only one at a time.
	buffer []byte
	n      int
	err    error
	waited bool      // nothing had come when it began
	turn   turn.Turn // of the goroutine that reads

	mu       sync.Mutex
	received bool // part of a message has been received, and its handling has not ended
	total    int  // bytes read from the socket since the accept
	unread   int  // bytes that lay unread in the socket at the last look
	filled   bool // they filled a good part of its buffer
	hasData  bool // data lay unread in the socket at the last call of lookForData
}

// newReceiver returns a receiver for a connection.
func newReceiver(conn *net.TCPConn) *receiver {
	r := &receiver{conn: conn}
	r.try, r.look, r.peek = r.readOnce, r.lookAtUnread, r.lookForData
	r.socket, r.err = conn.SyscallConn() // an error is returned by the first read
	return r
}

// SyscallConn returns the socket, which the connection itself would make anew for each call.
func (r *receiver) SyscallConn() (syscall.RawConn, error) {
	if r.socket == nil {
		return nil, r.err
	}
	return r.socket, nil
}

// Read waits until bytes are received or the read deadline passes.
func (r *receiver) Read(p []byte) (n int, err error) {
	if r.socket == nil {
		return 0, r.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	r.buffer, r.n, r.err, r.waited = p, 0, nil, false
	err = r.socket.Read(r.try)
	r.buffer = nil
	if r.waited {
		r.turn.Waited()
	}
	if err != nil {
		return 0, err
	}
	return r.n, r.err
}

// readOnce reads available bytes into the buffer; done is false if there are none yet.
func (r *receiver) readOnce(fd uintptr) (done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for {
		n, err := syscall.Read(int(fd), r.buffer)
		switch {
		case err == syscall.EINTR:
			continue
		case err == syscall.EAGAIN:
			r.waited = true
			return false
		case err != nil:
			r.err = &net.OpError{Op: "read", Net: "tcp", Source: r.conn.LocalAddr(), Addr: r.conn.RemoteAddr(),
				Err: os.NewSyscallError("read", err)}
		case n == 0:
			r.err = io.EOF
		default:
			r.n = n
			r.total += n
			r.received = true
		}
		return true
	}
}

// countRead counts bytes that were read from the socket without the receiver.
func (r *receiver) countRead(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.total += n
}

// readSoFar returns how many bytes have been read since the accept.
func (r *receiver) readSoFar() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// arrived returns how many bytes have been received since the accept, read or not. Nothing is read in the
// meantime.
func (r *receiver) arrived() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unread = 0
	if r.socket != nil {
		r.socket.Control(r.look)
	}
	return r.total + r.unread
}

// lookAtUnread asks how many bytes lie unread in the socket, and whether these fill a good part of its buffer. The lock
// is held.
func (r *receiver) lookAtUnread(fd uintptr) {
	r.unread = peek.UnreadAt(fd)
	r.filled = false
	if r.unread >= minFilledBytes {
		size := peek.ReceiveBufferAt(fd)
		r.filled = size > 0 && r.unread >= size/filledDivisor
	}
}

// lookForData looks whether data lies unread in the socket. The lock is held.
func (r *receiver) lookForData(fd uintptr) { r.hasData = peek.HasDataAt(fd) }

// backlogged reports whether the unread bytes filled a good part of the socket's buffer at the last look.
func (r *receiver) backlogged() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.filled
}

// messageHandled records that a message's handling has ended, and whether part of the next one has been
// received.
func (r *receiver) messageHandled(next bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.received = next
}

// ifSilent calls action and returns true, unless part of a message was received or is unread in the socket.
// Nothing is read in the meantime.
func (r *receiver) ifSilent(action func()) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hasData = false
	if r.socket != nil {
		r.socket.Control(r.peek)
	}
	if r.received || r.hasData {
		return false
	}
	action()
	return true
}
