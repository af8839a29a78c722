// Package peek inspects a connection for received data, or its end, without consuming any data, and tells what the
// kernel holds of what was written to it. A connection that is no syscall.Conn is not a socket.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is the state of the receiving side of a connection.
type State uint8

const (
	Unknown  State = iota // the read deadline has passed, or the connection is not a socket
	Empty                 // no data has arrived
	Readable              // data can be read
	Closed                // the peer closed the connection, or it broke
)

// Inspect returns the state of a connection. With wait it blocks until the state is no longer Empty; a read
// deadline ends the wait. It also blocks while another read of the connection is in progress.
func Inspect(c net.Conn, wait bool) (state State) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Unknown
	}
	raw.Read(func(fd uintptr) bool {
		n, err := peekByte(fd)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			state = Empty
			return !wait
		case n > 0:
			state = Readable
		default:
			state = Closed
		}
		return true
	})
	return state
}

// peekByte receives one byte without blocking, and leaves it in the socket's buffer.
func peekByte(fd uintptr) (n int, err error) {
	var buffer [1]byte
	n, _, err = syscall.Recvfrom(int(fd), buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// HasDataAt reports whether data can be read from the socket with this descriptor. Unlike Inspect it does not block while
// another read is in progress.
func HasDataAt(fd uintptr) bool {
	n, _ := peekByte(fd)
	return n > 0
}

// PeerClosed reports whether the peer has closed the connection, or it broke. Like HasDataAt it does not block. While
// unread data is in the buffer, the end of the stream cannot be peeked at, and the result relies on the
// kernel's report of a hangup.
func PeerClosed(c net.Conn) (gone bool) {
	Control(c, func(fd uintptr) {
		n, err := peekByte(fd)
		if gone = n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR; n <= 0 {
			return
		}
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err = unix.Poll(poll, 0)
		gone = err == nil && n > 0 && poll[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}

// UnreadAt returns how many received bytes lie unread in the socket with this descriptor, or 0 if that can't be asked.
// It does not block.
func UnreadAt(fd uintptr) (bytes int) { return queuedAt(fd, unix.SIOCINQ) }

// ReceiveBufferAt returns the size of the receive buffer of the socket with this descriptor, or 0 if that can't be asked.
func ReceiveBufferAt(fd uintptr) (bytes int) {
	size, err := unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF)
	if err != nil {
		return 0
	}
	return size
}

// Unacknowledged returns how many bytes were written that the peer's machine has not acknowledged, or 0 if that can't be
// asked.
func Unacknowledged(c net.Conn) (bytes int) { return queued(c, unix.SIOCOUTQ) }

// Unsent returns how many bytes were written that the kernel has not sent yet, or 0 if that can't be asked.
func Unsent(c net.Conn) (bytes int) { return queued(c, unix.SIOCOUTQNSD) }

// queued returns how many bytes a queue of the socket holds, by an ioctl request.
func queued(c net.Conn, request uint) (bytes int) {
	Control(c, func(fd uintptr) { bytes = queuedAt(fd, request) })
	return bytes
}

// queuedAt is queued for a descriptor.
func queuedAt(fd uintptr, request uint) (bytes int) {
	held, err := unix.IoctlGetInt(int(fd), request)
	if err != nil {
		return 0
	}
	return held
}

// Control calls do with the file descriptor of the connection, if it is a socket.
func Control(c net.Conn, do func(fd uintptr)) {
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			raw.Control(do)
		}
	}
}
