package members

import (
	"encoding/binary"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"ledgespread/decide/membership"
)

// dam has the kernel drop, for a while, what is of another version or group, or too long, before it is read: reading 50,000 of
// those a second would take a fifth of a core. What it dropped is counted as one kind, since it is not seen.
type dam struct {
	socket syscall.RawConn
	until  time.Time // zero: it is open
	before uint32    // the socket's drops when it was closed
}

const (
	udpHead  = 8 // before the payload, as a filter sees it
	floodFor = time.Second
)

// close begins it; head is a message's first bytes, up to the group's last.
func (d *dam) close(head []byte) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadExtension{Num: bpf.ExtLen},
		bpf.JumpIf{Cond: bpf.JumpGreaterThan, Val: membership.Longest + udpHead, SkipTrue: 5},
		bpf.LoadAbsolute{Off: udpHead, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: uint32(head[0]), SkipTrue: 3},
		bpf.LoadAbsolute{Off: udpHead + 2, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: binary.BigEndian.Uint32(head[2:]), SkipTrue: 1},
		bpf.RetConstant{Val: 1 << 16},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return err
	}
	filter := make([]unix.SockFilter, len(program))
	for i, x := range program {
		filter[i] = unix.SockFilter{Code: x.Op, Jt: x.Jt, Jf: x.Jf, K: x.K}
	}
	return d.control(func(fd int) error {
		d.until, d.before = time.Now().Add(floodFor), kernelDrops(fd)
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(filter)), Filter: &filter[0]})
	})
}

// open ends it, and tells how many were dropped meanwhile.
func (d *dam) open() (many uint32) {
	d.until = time.Time{}
	d.control(func(fd int) error {
		many = kernelDrops(fd) - d.before
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	return many
}

func (d *dam) control(do func(fd int) error) error {
	var err error
	if failed := d.socket.Control(func(fd uintptr) { err = do(int(fd)) }); failed != nil {
		return failed
	}
	return err
}

// kernelDrops is how many datagrams the kernel dropped at a socket, by its own count.
func kernelDrops(fd int) uint32 {
	var info [9]uint32 // SK_MEMINFO; the last is the drops
	size := uint32(unsafe.Sizeof(info))
	if _, _, failed := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)),
		uintptr(unsafe.Pointer(&size)), 0); failed != 0 {
		return 0
	}
	return info[8]
}
