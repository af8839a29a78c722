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

// abandon closes the connection after an attempt. What the kernel still holds of the request is discarded by a reset:
// after a plain close the kernel would go on sending, and the server execute a request that was given up.
func (c *conn) abandon() {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if ok && c.queued(unacknowledgedBytes) > 0 {
		socket.SetLinger(0)
	}
	c.Close()
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
