// Package sharedids keeps the request IDs in use in a file that the processes of one sidecar map into their memory, so
// that a request whose client leaves one of them is not executed anew by the other.
package sharedids

import (
	"fmt"
	"hash/fnv"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	slotCount = 1 << 14 // more IDs than a sidecar has in use at a time
	maxProbes = 32      // slots that an ID may be in
	fileBytes = int64(slotCount * unsafe.Sizeof(slot{}))
)

// slot holds one ID. An expired slot is free.
type slot struct {
	expiry atomic.Int64  // by the machine's boot clock, in nanoseconds
	hash   atomic.Uint64 // of the ID
}

// Set is a set of IDs that expire. It is safe for concurrent use, by several processes.
type Set struct {
	slots  *[slotCount]slot
	failed atomic.Bool // the disk could not read a page
}

// Open maps the set in a file, which is created if there is none.
func Open(path string) (*Set, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	defer file.Close()
	// A page for which the disk has no room would end the process when it is written.
	if err := unix.Fallocate(int(file.Fd()), 0, 0, fileBytes); err != nil {
		return nil, fmt.Errorf("allocating %s: %w", path, err)
	}
	mapped, err := unix.Mmap(int(file.Fd()), 0, int(fileBytes), unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
	if err != nil {
		return nil, fmt.Errorf("mapping %s: %w", path, err)
	}
	return &Set{slots: (*[slotCount]slot)(unsafe.Pointer(unsafe.SliceData(mapped)))}, nil
}

// Reserve reserves an ID for a time. It returns false if the ID is reserved already. Without a free slot, or after an
// error of the disk, it reserves nothing, and returns true.
func (s *Set) Reserve(id string, lifetime time.Duration) (reserved bool) {
	if s.failed.Load() {
		return true
	}
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if recover() != nil {
			s.failed.Store(true)
			reserved = true
		}
	}()
	return s.reserve(id, lifetime)
}

func (s *Set) reserve(id string, lifetime time.Duration) bool {
	hash, now := hashOf(id), bootTime()
	expiry := now + int64(lifetime)
	var free *slot
	var freeSince int64
	for probe := range uint64(maxProbes) {
		candidate := &s.slots[(hash+probe)%slotCount]
		switch expires := candidate.expiry.Load(); {
		case expires <= now:
			if free == nil {
				free, freeSince = candidate, expires
			}
		case candidate.hash.Load() == hash:
			return false
		}
	}
	if free != nil && free.expiry.CompareAndSwap(freeSince, expiry) {
		free.hash.Store(hash)
	}
	return true
}

func hashOf(id string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(id))
	return hash.Sum64()
}

// bootTime returns the time since the machine was started, which is the same for all processes.
func bootTime() int64 {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0
	}
	return now.Nano()
}
