package outbound

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// queueRequest is the ioctl request that asks for bytes in a connection's send queue.
type queueRequest uint

const (
	unacknowledgedBytes queueRequest = unix.SIOCOUTQ    // written, and not acknowledged by the peer's machine
	unsentBytes         queueRequest = unix.SIOCOUTQNSD // written, and not sent yet
)

// queued returns how many bytes of a kind the kernel holds in the send queue. Where that can't be asked it returns 0.
func (c *conn) queued(request queueRequest) (bytes int) {
	c.control(func(fd int) {
		if held, err := unix.IoctlGetInt(fd, uint(request)); err == nil {
			bytes = held
		}
	})
	return bytes
}

// discardUnsent has the next Close reset the connection, so that the kernel sends nothing any more of what was written.
func (c *conn) discardUnsent() {
	if socket, ok := c.Conn.(interface{ SetLinger(seconds int) error }); ok {
		socket.SetLinger(0)
	}
}

// limitUnsent limits how much of what is written the kernel holds unsent. Where that can't be set, writes only
// tell later that the server accepts nothing.
func (c *conn) limitUnsent() {
	c.control(func(fd int) { unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes) })
}

// control calls do with the connection's descriptor, if it has one.
func (c *conn) control(do func(fd int)) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return
	}
	if raw, err := socket.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}
