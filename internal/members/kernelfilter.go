package members

// kernelfilter.go: a temporary kernel socket filter that drops floods of unwanted datagrams.

import (
	"encoding/binary"
	"syscall"
	"time"
	"unsafe"

	"golang.org/x/net/bpf"
	"golang.org/x/sys/unix"

	"ledgespread/decide/membership"
)

// kernelFilter makes the kernel drop datagrams of another protocol version or group, or above the maximum size, for
// filterDuration. Reading and rejecting 50,000 of these per second would take a fifth of a core. The process never
// sees what the kernel drops, so all of it is counted as one kind, "flood".
type kernelFilter struct {
	socket        syscall.RawConn
	attachedUntil time.Time // zero if no filter is attached
	dropsBefore   uint32    // the socket's drop counter when the filter was attached
}

const (
	udpHeaderBytes = 8 // a socket filter sees the UDP header before the payload
	filterDuration = time.Second
)

// attach installs the filter. prefix holds the first 6 bytes of this group's messages: the version, the message kind
// (ignored), and the group in four bytes.
func (f *kernelFilter) attach(prefix []byte) error {
	program, err := bpf.Assemble([]bpf.Instruction{
		bpf.LoadExtension{Num: bpf.ExtLen},
		bpf.JumpIf{Cond: bpf.JumpGreaterThan, Val: membership.MaxDatagram + udpHeaderBytes, SkipTrue: 5},
		bpf.LoadAbsolute{Off: udpHeaderBytes, Size: 1},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: uint32(prefix[0]), SkipTrue: 3},
		bpf.LoadAbsolute{Off: udpHeaderBytes + 2, Size: 4},
		bpf.JumpIf{Cond: bpf.JumpNotEqual, Val: binary.BigEndian.Uint32(prefix[2:]), SkipTrue: 1},
		bpf.RetConstant{Val: 1 << 16},
		bpf.RetConstant{Val: 0},
	})
	if err != nil {
		return err
	}
	rawProgram := make([]unix.SockFilter, len(program))
	for i, instruction := range program {
		rawProgram[i] = unix.SockFilter{Code: instruction.Op, Jt: instruction.Jt, Jf: instruction.Jf, K: instruction.K}
	}
	return f.control(func(fd int) error {
		f.attachedUntil, f.dropsBefore = time.Now().Add(filterDuration), kernelDrops(fd)
		return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{Len: uint16(len(rawProgram)), Filter: &rawProgram[0]})
	})
}

// detach removes the filter and returns how many datagrams the kernel dropped since attach.
func (f *kernelFilter) detach() (dropped uint32) {
	f.attachedUntil = time.Time{}
	f.control(func(fd int) error {
		dropped = kernelDrops(fd) - f.dropsBefore
		return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_DETACH_FILTER, 0)
	})
	return dropped
}

// control runs call with the socket's file descriptor.
func (f *kernelFilter) control(call func(fd int) error) error {
	var err error
	if failed := f.socket.Control(func(fd uintptr) { err = call(int(fd)) }); failed != nil {
		return failed
	}
	return err
}

// kernelDrops returns the kernel's counter of datagrams dropped at a socket, or 0 if it can't be read.
func kernelDrops(fd int) uint32 {
	var info [9]uint32 // the fields of SK_MEMINFO; the last one, SK_MEMINFO_DROPS, counts drops
	size := uint32(unsafe.Sizeof(info))
	if _, _, failed := unix.Syscall6(unix.SYS_GETSOCKOPT, uintptr(fd), unix.SOL_SOCKET, unix.SO_MEMINFO, uintptr(unsafe.Pointer(&info)),
		uintptr(unsafe.Pointer(&size)), 0); failed != 0 {
		return 0
	}
	return info[8]
}
