package handover

import (
	"errors"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"ledgespread/internal/durable"
)

const (
	lockRetryInterval = 2 * time.Millisecond   // while another process holds the lock
	lockTimeout       = 500 * time.Millisecond // after it, waiting for the lock counts as a failed write
)

// errLocked means that another process held the lock for all of lockTimeout.
var errLocked = errors.New("another process holds the lock")

// disk abstracts the file operations that tests replace.
type disk interface {
	// WriteFile writes a file. If synced is set, it survives a crash of the machine once it returns without an error.
	WriteFile(path string, text []byte, synced bool) error
	// Rename renames a file. If synced is set, that survives a crash of the machine once it returns without an error.
	Rename(from, to string, synced bool) error
	// Lock gets an exclusive lock, which the kernel releases if the process ends. A file is created for it.
	Lock(path string) (unlock func(), err error)
}

// osDisk implements disk with the operating system's files.
type osDisk struct{}

// WriteFile syncs the file before it returns, if it shall. Otherwise a renamed file can be empty after a crash.
func (osDisk) WriteFile(path string, text []byte, synced bool) error {
	if !synced {
		return os.WriteFile(path, text, 0o600)
	}
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	return durable.WriteAndClose(file, text)
}

// Rename syncs the directory before it returns, if it shall.
func (osDisk) Rename(from, to string, synced bool) error {
	if err := os.Rename(from, to); err != nil || !synced {
		return err
	}
	if err := durable.SyncDir(filepath.Dir(to)); !errors.Is(err, syscall.EINVAL) { // some file systems cannot sync directories
		return err
	}
	return nil
}

// Lock waits for at most lockTimeout. Where the file system has no locks it succeeds without one.
func (osDisk) Lock(path string) (unlock func(), err error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	for end := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB)
		switch {
		case err == nil || errors.Is(err, unix.EOPNOTSUPP) || errors.Is(err, unix.ENOSYS) || errors.Is(err, unix.ENOLCK) || errors.Is(err, unix.EINVAL):
			return func() { file.Close() }, nil
		case !errors.Is(err, unix.EWOULDBLOCK) && !errors.Is(err, unix.EINTR):
			file.Close()
			return nil, &os.PathError{Op: "flock", Path: path, Err: err}
		case time.Now().After(end):
			file.Close()
			return nil, errLocked
		}
	}
}
