package rig4

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Arrived returns how many bytes have come on a connection so far, read or not, as the kernel counts them.
func Arrived(conn net.Conn) (bytes uint64) {
	if raw, err := conn.(syscall.Conn).SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				bytes = info.Bytes_received
			}
		})
	}
	return bytes
}
