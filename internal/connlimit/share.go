package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"ledgespread/internal/machine"
)

// Share has two processes of one sidecar listen at the same address. Where that is not to be had, the address is taken
// alone, and a second process is refused.
func Share(shared bool) net.ListenConfig {
	if !shared {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
}

// Listen takes a TCP address.
func Listen(address string, shared bool) (*net.TCPListener, error) {
	with := Share(shared)
	ln, err := machine.Listen(func() (net.Listener, error) { return with.Listen(context.Background(), "tcp", address) })
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// Steer sends whatever newly comes at a shared address to the socket that was opened second: this one, where an older
// process has the first. Connections that wait at a socket whose process is about to close it would be
// reset. When the older one is gone there is no second, and the kernel takes the one that is left.
func Steer(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	second := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	var refused error
	if err := raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(second)), Filter: &second[0]})
	}); err != nil {
		return err
	}
	return refused
}
