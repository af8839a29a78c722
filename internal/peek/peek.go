// Package peek tells what has come on a connection without reading any of it.
package peek

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// State is what can be seen.
type State uint8

const (
	Unknown State = iota // its deadline has passed, or it is no socket
	Quiet                // nothing has come
	Waiting              // bytes that nobody read yet
	Closed               // the other side closed it, or it broke
)

// Look tells the state now or, with wait, once something happens; a read deadline ends the wait.
func Look(c net.Conn, wait bool) (seen State) {
	socket, ok := c.(syscall.Conn)
	if !ok {
		return Unknown
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return Unknown
	}
	raw.Read(func(fd uintptr) bool {
		n, err := first(fd)
		switch {
		case err == syscall.EAGAIN || err == syscall.EINTR:
			seen = Quiet
			return !wait
		case n > 0:
			seen = Waiting
		default:
			seen = Closed
		}
		return true
	})
	return seen
}

// first looks for a first byte, and leaves it there.
func first(fd uintptr) (n int, err error) {
	var one [1]byte
	n, _, err = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return n, err
}

// Sent tells whether bytes have come that nobody read yet. Unlike Look it does not wait for a read that is under way.
func Sent(c net.Conn) (sent bool) {
	control(c, func(fd uintptr) {
		n, _ := first(fd)
		sent = n > 0
	})
	return sent
}

// Gone tells whether the other side has closed a connection, or broke it. Like Sent it waits for nobody. Behind bytes that nobody
// read yet only the kernel can tell, if it does.
func Gone(c net.Conn) (gone bool) {
	control(c, func(fd uintptr) {
		n, err := first(fd)
		if gone = n <= 0 && err != syscall.EAGAIN && err != syscall.EINTR; n <= 0 {
			return
		}
		look := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err = unix.Poll(look, 0)
		gone = err == nil && n > 0 && look[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return gone
}

func control(c net.Conn, do func(fd uintptr)) {
	if socket, ok := c.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			raw.Control(do)
		}
	}
}
