package connlimit

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"ledgespread/internal/machine"
)

// ListenConfig returns the configuration for a listening socket. If shared is set, the socket gets SO_REUSEPORT, so
// that the old and the new process of a sidecar can listen on one address during a restart. If the option
// cannot be set, the address is bound exclusively, and a second process fails to bind it.
func ListenConfig(shared bool) net.ListenConfig {
	if !shared {
		return net.ListenConfig{}
	}
	return net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
	}}
}

// Listen listens on a TCP address; see ListenConfig for shared.
func Listen(address string, shared bool) (*net.TCPListener, error) {
	config := ListenConfig(shared)
	ln, err := machine.Listen(func() (net.Listener, error) { return config.Listen(context.Background(), "tcp", address) })
	if err != nil {
		return nil, err
	}
	return ln.(*net.TCPListener), nil
}

// Steer makes the kernel deliver all new connections or packets for a shared address to the socket that was
// opened second, which is this process's if an older process holds the first. Otherwise connections in the
// backlog of the older process would be reset when it closes its socket. Once the older process has gone
// there is no second socket, and the kernel chooses the remaining one.
func Steer(socket syscall.Conn) error {
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	selectSecond := []unix.SockFilter{{Code: unix.BPF_RET | unix.BPF_K, K: 1}}
	var attachErr error
	if err := raw.Control(func(fd uintptr) {
		attachErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_REUSEPORT_CBPF,
			&unix.SockFprog{Len: uint16(len(selectSecond)), Filter: &selectSecond[0]})
	}); err != nil {
		return err
	}
	return attachErr
}
