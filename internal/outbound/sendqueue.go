package outbound

import (
	"golang.org/x/sys/unix"

	"ledgespread/internal/peek"
)

// abandon closes the connection after an attempt. What the kernel still holds of the request is discarded by a reset:
// after a plain close the kernel would go on sending, and the server execute a request that was given up.
func (c *conn) abandon() {
	socket, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if ok && peek.Unacknowledged(c.Conn) > 0 {
		socket.SetLinger(0)
	}
	c.Close()
}

// limitUnsent limits how much of what is written the kernel holds unsent. Where that can't be set, writes only
// tell later that the server accepts nothing.
func (c *conn) limitUnsent() {
	peek.Control(c.Conn, func(fd uintptr) {
		unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_NOTSENT_LOWAT, maxUnsentBytes)
	})
}
